"""The `foxwinch bench peer` command."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.help import examples
from foxwinch.cli.output import write_report


@cappa.command(
    name="peer",
    help="Measure peer requests between two nodes on loopback.",
    description=examples("foxwinch bench peer --json peer.json"),
)
@dataclass(kw_only=True)
class PeerCommand:
    """Measure peer requests between two nodes on loopback."""

    json: Annotated[Path, cappa.Arg(long="--json", help="Output file for the results")]
    calls: Annotated[int, cappa.Arg(long="--calls", help="Calls per round")] = 32_000
    rounds: Annotated[int, cappa.Arg(long="--rounds", help="Number of rounds")] = 3

    def __call__(self) -> None:
        """Run the benchmark, then write and print its report."""
        from foxwinch.bench.peer_echo import run_echo

        report = run_echo(self.calls, self.rounds)
        write_report(self.json, report)
