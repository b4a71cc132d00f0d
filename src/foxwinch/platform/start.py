"""Entry point of a deployed node, with few imports because startup CPU time is limited there.

`foxwinch serve` does the same through the command line.
"""

import os
import sys
from pathlib import Path
from typing import NoReturn

from foxwinch.platform.process import serve
from foxwinch.platform.settings import ENVIRONMENT_VARIABLE

EXIT_INVALID = 2
"""Same value as in `foxwinch.cli.exit_codes`, which is slower to import."""


def main() -> None:
    """Run a node with the settings file named by the environment until it is stopped."""
    path = os.environ.get(ENVIRONMENT_VARIABLE)
    if path is None:
        _fail(f"settings: set {ENVIRONMENT_VARIABLE}")
    problems = serve(Path(path))
    if problems:
        _fail("\n".join(problems))


def _fail(problem: str) -> NoReturn:
    print(problem, file=sys.stderr)
    sys.exit(EXIT_INVALID)
