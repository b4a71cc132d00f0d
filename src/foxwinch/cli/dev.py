"""The `foxwinch dev` command."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.node import print_addresses
from foxwinch.cli.output import fail, fail_settings
from foxwinch.log import configure_logging
from foxwinch.node.dev import run_dev
from foxwinch.settings.base import SettingsError
from foxwinch.settings.load import load_cluster_configuration


@cappa.command(
    name="dev",
    help="Run one node with emulated services on loopback; prints addresses and keys.",
    description=examples("foxwinch dev --configuration examples/cledwyn.toml"),
)
@dataclass(kw_only=True)
class DevCommand:
    """Run one node with emulated services on loopback."""

    configuration: Annotated[
        Path, cappa.Arg(long="--configuration", help="Cluster configuration (TOML)")
    ]

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT."""
        configure_logging()
        document = load_cluster_configuration(self.configuration)
        if isinstance(document, SettingsError):
            fail_settings(document)
        if not run_dev(document, print_addresses):
            fail(ExitCode.DRAIN_CUT_SHORT, "drain timed out with work in progress")
