"""The `foxwinch bench failover` command."""

import json as json_format
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa

from foxwinch.bench.failover.run import FailoverOptions, run_failover
from foxwinch.bench.failover.scenarios import SCENARIOS
from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.output import fail, fail_settings
from foxwinch.settings.base import SettingsError
from foxwinch.settings.load import load_cluster_configuration

EXAMPLES = Path(__file__).parents[3] / "examples"


@cappa.command(
    name="failover",
    help="Inject faults into real nodes; count lost, duplicated and interrupted calls.",
    description=examples(
        "foxwinch bench failover --deployment cledwyn --json failover.json",
        "foxwinch bench failover --deployment physio --scenario killed_owners --json one.json",
    ),
)
@dataclass(kw_only=True)
class FailoverCommand:
    """Inject faults into real nodes that run programs."""

    json: Annotated[Path, cappa.Arg(long="--json", help="Output file for the results")]
    deployment: Annotated[
        Literal["physio", "cledwyn"],
        cappa.Arg(long="--deployment", help="Example deployment to run"),
    ] = "cledwyn"
    scenario: Annotated[
        list[str],
        cappa.Arg(long="--scenario", help="Run only this scenario; repeatable"),
    ] = None  # type: ignore[assignment]
    callers: Annotated[int, cappa.Arg(long="--callers", help="Number of concurrent programs")] = 24
    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed of the callers' random choices")] = 1
    logs: Annotated[Path | None, cappa.Arg(long="--logs", help="Directory for the node logs")] = (
        None
    )

    def __call__(self) -> None:
        """Run the scenarios, printing a line for each, and write the report."""
        document = load_cluster_configuration(EXAMPLES / f"{self.deployment}.toml")
        if isinstance(document, SettingsError):
            fail_settings(document)
        names = self.scenario or [scenario.name for scenario in SCENARIOS]
        unknown_names = set(names) - {scenario.name for scenario in SCENARIOS}
        if unknown_names:
            allowed = ", ".join(scenario.name for scenario in SCENARIOS)
            fail(
                ExitCode.INVALID, f"unknown scenario {', '.join(unknown_names)}; allowed: {allowed}"
            )
        chosen = [scenario for scenario in SCENARIOS if scenario.name in names]
        options = FailoverOptions(document, chosen, self.callers, self.seed, self.logs)
        report = run_failover(options, print)
        self.json.write_text(json_format.dumps(report, indent=2) + "\n", encoding="utf-8")
