"""The `foxwinch bench schedule` command."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa


@cappa.command(
    name="schedule", help="Compare scheduling policies on the same arrivals in virtual time."
)
@dataclass
class BenchScheduleCommand:
    """Compare scheduling policies on the same arrivals in virtual time."""

    deployment: Annotated[
        Literal["physio", "cledwyn"], cappa.Arg(long="--deployment", help="Workload to run")
    ]
    load: Annotated[str, cappa.Arg(long="--load", help="Comma-separated list of loads")] = (
        "0.5,0.7,0.85,0.95"
    )
    seeds: Annotated[int, cappa.Arg(long="--seeds", help="Number of seeds; runs seeds 1 to N")] = 3
    measured: Annotated[
        float, cappa.Arg(long="--measured", help="Measured seconds of arrivals; default: 500")
    ] = 500.0
    json: Annotated[Path | None, cappa.Arg(long="--json", help="Output file for the results")] = (
        None
    )
    report: Annotated[
        Path | None, cappa.Arg(long="--report", help="Output directory for the report")
    ] = None
    policies: Annotated[
        str, cappa.Arg(long="--policies", help="Comma-separated list of policies; default: all")
    ] = ""
    ablation: Annotated[
        bool,
        cappa.Arg(long="--ablation", help="Also run foxwinch with each feature disabled in turn"),
    ] = False
    decisions: Annotated[
        bool, cappa.Arg(long="--decisions", help="Also measure the time per scheduling decision")
    ] = False

    def __call__(self) -> None:
        """Run the experiment, write the requested files and print the table."""
        # Imported here so that other commands do not load the plotting and statistics packages.
        from foxwinch.bench.schedule.command import Experiment, run_experiment

        run_experiment(
            Experiment(
                deployment=self.deployment,
                loads=tuple(float(part) for part in self.load.split(",")),
                seeds=tuple(range(1, self.seeds + 1)),
                policies=tuple(part for part in self.policies.split(",") if part),
                measured_seconds=self.measured,
                ablation=self.ablation,
                decisions=self.decisions,
                json_file=self.json,
                report_directory=self.report,
            )
        )
