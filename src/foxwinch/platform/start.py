"""Starts a node on the platform with few imports: a start costs processor time there.

`foxwinch serve` is the same with the command line around it.
"""

import os
import sys
from pathlib import Path
from typing import NoReturn

from foxwinch.platform.process import serve
from foxwinch.platform.settings import ENVIRONMENT_VARIABLE

EXIT_INVALID = 2
"""As `foxwinch.cli.exit_codes` has it, which costs more to import."""


def main() -> None:
    """Run a node by the settings file that the platform names, until its planned stop."""
    path = os.environ.get(ENVIRONMENT_VARIABLE)
    if path is None:
        _fail(f"settings: set {ENVIRONMENT_VARIABLE}")
    problems = serve(Path(path))
    if problems:
        _fail("\n".join(problems))


def _fail(problem: str) -> NoReturn:
    print(problem, file=sys.stderr)
    sys.exit(EXIT_INVALID)
