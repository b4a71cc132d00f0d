"""`foxwinch bench fleet`."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.help import examples

EXAMPLE = (
    "foxwinch bench fleet --nodes 570 --workers 5100 --regions 8 --zones 22 "
    "--programs 820000 --json fleet.json"
)

ALL_SCENARIOS = "steady,day,rack,zone,region_cut,store_down,rolling"


@cappa.command(
    name="fleet",
    help="Run the control code of a whole fleet in one process on virtual time.",
    description=examples(EXAMPLE),
)
@dataclass(kw_only=True)
class FleetCommand:
    """Run the control code of a whole fleet in one process on virtual time."""

    json: Annotated[Path, cappa.Arg(long="--json", help="File for the figures")]
    nodes: Annotated[int, cappa.Arg(long="--nodes", help="Nodes of the largest run")] = 570
    workers: Annotated[int, cappa.Arg(long="--workers", help="Back-end workers")] = 5_100
    regions: Annotated[int, cappa.Arg(long="--regions", help="Regions")] = 8
    zones: Annotated[int, cappa.Arg(long="--zones", help="Zones over all regions")] = 22
    programs: Annotated[int, cappa.Arg(long="--programs", help="Live programs")] = 820_000
    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed of every random choice")] = 1

    processes: Annotated[
        int, cappa.Arg(long="--processes", help="Fleets run at a time, one core each")
    ] = 2
    scenarios: Annotated[
        str, cappa.Arg(long="--scenarios", help="Scenarios to run, separated by commas")
    ] = ALL_SCENARIOS

    def __call__(self) -> None:
        """Run the bench; prints the worst figures of the largest run."""
        from foxwinch.bench.fleet.fleet import FleetShape
        from foxwinch.bench.fleet.run import run_fleet, to_text  # needs the bench libraries

        report = run_fleet(
            FleetShape(self.nodes, self.regions, self.zones),
            self.workers,
            self.programs,
            self.seed,
            self.processes,
            self.scenarios.split(","),
        )
        self.json.write_text(to_text(report), encoding="utf-8")
        for name, value in report.items():
            if isinstance(value, int | float):
                print(f"{name}={value}")
