"""The `foxwinch fuzz` command."""

import json
import logging
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.output import fail, fail_settings
from foxwinch.settings.base import SettingsError
from foxwinch.settings.load import load_cluster_configuration


@cappa.command(
    name="fuzz",
    help="Fuzz simulated clusters in virtual time against an oracle; prints a replayable seed.",
    description=examples(
        "foxwinch fuzz --configuration examples/physio.toml --minutes 5",
        "foxwinch fuzz --configuration examples/physio.toml --seed 42 --minutes 0",
        "foxwinch fuzz --minutes 5 --seed 1",
    ),
)
@dataclass(kw_only=True)
class FuzzCommand:
    """Fuzz simulated clusters in virtual time."""

    configuration: Annotated[
        Path | None,
        cappa.Arg(
            long="--configuration",
            help="Cluster configuration (TOML); default: generated clusters of the property oracle",
        ),
    ] = None
    minutes: Annotated[
        float, cappa.Arg(long="--minutes", help="Duration; 0 runs the first seed only")
    ] = 1.0
    seed: Annotated[int, cappa.Arg(long="--seed", help="First seed")] = 1
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Run seeds and print the result; exit with code 11 on a property violation."""
        if self.configuration is None:
            self._check_properties()
            return
        document = load_cluster_configuration(self.configuration)
        if isinstance(document, SettingsError):
            fail_settings(document)
        try:
            from foxwinch.bench.fuzz.run import run_for
        except ImportError as error:
            fail(ExitCode.INVALID, f"this command requires the extra `test`: {error}")
        logging.disable(logging.CRITICAL)
        report = run_for(document, self.seed, self.minutes, self._print_progress)
        if self.json:
            print(json.dumps(asdict(report), indent=2))
        elif report.failed_seed is None:
            print(f"held: {report.seeds} seeds, at most {report.runs} clusters")
        if report.failed_seed is not None:
            detail = f"seed {report.failed_seed}: {report.problem}"
            fail(ExitCode.PROPERTY_BROKEN, detail)

    def _check_properties(self) -> None:
        """Run consecutive seeds of `foxwinch.bench.cluster_fuzz`."""
        try:
            from foxwinch.bench.cluster_fuzz.runner import run_for
        except ImportError as error:
            fail(ExitCode.INVALID, f"this command requires the extra `test`: {error}")
        logging.disable(logging.CRITICAL)
        failure = run_for(self.seed, self.minutes, self._print_progress)
        if self.json:
            print(json.dumps(asdict(failure) if failure else None, indent=2))
        if failure is not None:
            detail = f"seed {failure.seed}: {failure.detail}\n{failure.steps}"
            fail(ExitCode.PROPERTY_BROKEN, detail)

    def _print_progress(self, line: str) -> None:
        print(line, file=sys.stderr if self.json else sys.stdout, flush=True)
