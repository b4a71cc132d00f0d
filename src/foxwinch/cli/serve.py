"""The `foxwinch serve` command."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.output import fail
from foxwinch.platform.process import serve
from foxwinch.platform.settings import ENVIRONMENT_VARIABLE


@cappa.command(
    name="serve",
    help="Run one node on the deployment platform until SIGTERM or SIGINT.",
    description=examples("foxwinch serve --settings examples/serve.toml"),
)
@dataclass(kw_only=True)
class ServeCommand:
    """Run one node on the deployment platform."""

    settings: Annotated[
        Path | None,
        cappa.Arg(
            long="--settings", help=f"Settings (TOML); default: the path in {ENVIRONMENT_VARIABLE}"
        ),
    ] = None

    def __call__(self) -> None:
        """Run until the node is stopped and drained."""
        path = self.settings
        if path is None and ENVIRONMENT_VARIABLE in os.environ:
            path = Path(os.environ[ENVIRONMENT_VARIABLE])
        if path is None:
            fail(ExitCode.INVALID, f"settings: --settings or {ENVIRONMENT_VARIABLE} is required")
        problems = serve(path)
        if problems:
            fail(ExitCode.INVALID, "\n".join(problems))
