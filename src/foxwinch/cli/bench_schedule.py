"""`foxwinch bench schedule`."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa


@cappa.command(name="schedule", help="Compare scheduling policies on the same arrivals.")
@dataclass
class BenchScheduleCommand:
    """Compare scheduling policies on the same arrivals, on virtual time."""

    deployment: Annotated[
        Literal["physio", "cledwyn"], cappa.Arg(long="--deployment", help="Workload to run")
    ]
    load: Annotated[str, cappa.Arg(long="--load", help="Loads, separated by commas")] = (
        "0.5,0.7,0.85,0.95"
    )
    seeds: Annotated[int, cappa.Arg(long="--seeds", help="Seeds 1 to N")] = 3
    measured: Annotated[
        float, cappa.Arg(long="--measured", help="Seconds of arrivals measured; 500 when not given")
    ] = 500.0
    json: Annotated[Path | None, cappa.Arg(long="--json", help="File for the figures")] = None
    report: Annotated[Path | None, cappa.Arg(long="--report", help="Directory for the report")] = (
        None
    )
    policies: Annotated[
        str, cappa.Arg(long="--policies", help="Policies, separated by commas; all when empty")
    ] = ""
    ablation: Annotated[
        bool, cappa.Arg(long="--ablation", help="Run foxwinch without each feature, too")
    ] = False
    decisions: Annotated[
        bool, cappa.Arg(long="--decisions", help="Measure the time that a decision takes, too")
    ] = False

    def __call__(self) -> None:
        """Run the experiment, write what was asked for and print the table."""
        # The bench's plotting and statistics are loaded by this command only.
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
