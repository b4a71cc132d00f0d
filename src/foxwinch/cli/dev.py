"""`foxwinch dev`."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.log import configure_logging
from foxwinch.node.dev import run_dev
from foxwinch.settings.base import SettingsError

EXIT_SETTINGS_REFUSED = 2


@cappa.command(name="dev", help="Run one node with embedded stand-ins on loopback.")
@dataclass
class DevCommand:
    """Run one node with embedded stand-ins on loopback."""

    configuration: Annotated[Path, cappa.Arg(long="--configuration", help="Cluster configuration")]

    def __call__(self) -> None:
        """Run until interrupted."""
        configure_logging()
        outcome = run_dev(self.configuration)
        if isinstance(outcome, SettingsError):
            print(outcome, file=sys.stderr)
            raise cappa.Exit(code=EXIT_SETTINGS_REFUSED)
