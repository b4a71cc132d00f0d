"""The `foxwinch emulator` command."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.node import print_addresses
from foxwinch.cli.output import fail, fail_settings
from foxwinch.emulator.process import run_emulator
from foxwinch.emulator.settings import EmulatorSettings, settings_of_cluster
from foxwinch.log import configure_logging
from foxwinch.settings.base import SettingsError, check, read_toml
from foxwinch.settings.load import load_cluster_configuration


@cappa.command(
    name="emulator",
    help="Run emulated engines, tools and platform services; prints their URLs when ready.",
    description=examples(
        "foxwinch emulator --settings examples/emulator.toml",
        "foxwinch emulator --configuration examples/cledwyn.toml --port 7100",
    ),
)
@dataclass(kw_only=True)
class EmulatorCommand:
    """Run emulated engines, tools and platform services."""

    settings: Annotated[
        Path | None, cappa.Arg(long="--settings", help="Emulator settings (TOML)")
    ] = None
    configuration: Annotated[
        Path | None,
        cappa.Arg(
            long="--configuration",
            help="Cluster configuration whose workers are emulated when no settings are given",
        ),
    ] = None
    port: Annotated[int | None, cappa.Arg(long="--port", help="Port to listen on")] = None

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT."""
        configure_logging()
        settings = self._load()
        if isinstance(settings, SettingsError):
            fail_settings(settings)
        try:
            run_emulator(settings, print_addresses)
        except OSError as error:
            fail(ExitCode.INVALID, f"cannot start: {error}")

    def _load(self) -> EmulatorSettings | SettingsError:
        if self.settings is None and self.configuration is None:
            fail(ExitCode.INVALID, "--settings or --configuration is required")
        if self.settings is not None:
            values = read_toml(self.settings)
            if isinstance(values, SettingsError):
                return values
        else:
            assert self.configuration is not None
            document = load_cluster_configuration(self.configuration)
            if isinstance(document, SettingsError):
                return document
            values = settings_of_cluster(document).model_dump()
        if self.port is not None:
            values["port"] = self.port
        return check(EmulatorSettings, values, str(self.settings or self.configuration))
