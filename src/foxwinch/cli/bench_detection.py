"""The `foxwinch bench detection` command."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.help import examples
from foxwinch.cli.output import write_report


@cappa.command(
    name="detection",
    help="Measure failure detection under packet loss and pauses, in virtual time.",
    description=examples("foxwinch bench detection --nodes 71 --json detection.json"),
)
@dataclass(kw_only=True)
class DetectionCommand:
    """Measure failure detection under packet loss and pauses, in virtual time."""

    json: Annotated[Path, cappa.Arg(long="--json", help="Output file for the results")]
    nodes: Annotated[int, cappa.Arg(long="--nodes", help="Number of nodes in the region")] = 71
    seconds: Annotated[float, cappa.Arg(long="--seconds", help="Virtual duration of each case")] = (
        300.0
    )
    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed of the random generators")] = 1

    def __call__(self) -> None:
        """Run all cases, then write and print the report."""
        from foxwinch.bench.fleet.detection import run_detection

        report = run_detection(self.nodes, self.seconds, self.seed)
        write_report(self.json, report)
