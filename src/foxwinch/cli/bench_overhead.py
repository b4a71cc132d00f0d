"""The `foxwinch bench overhead` command."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.bench.overhead import run_overhead
from foxwinch.cli.help import examples


@cappa.command(
    name="overhead",
    help="Compare a node with a minimal pass-through proxy to the same engine.",
    description=examples("foxwinch bench overhead --json overhead.json"),
)
@dataclass(kw_only=True)
class OverheadCommand:
    """Compare a node with a minimal pass-through proxy to the same engine."""

    json: Annotated[Path, cappa.Arg(long="--json", help="Output file for the results")]
    rounds: Annotated[
        int, cappa.Arg(long="--rounds", help="Rounds per case, in alternating order")
    ] = 5

    def __call__(self) -> None:
        """Run the benchmark, printing a line for each case, and write the report."""
        report = run_overhead(self.rounds, print)
        self.json.write_text(report.to_json(), encoding="utf-8")
        print(
            f"throughput_ratio={report.throughput_ratio:.3f} "
            f"chunk_ratio={report.chunk_ratio:.3f} "
            f"added_latency_ratio={report.added_latency_ratio:.3f}"
        )
