"""Runs a case and writes its record."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from record import Record

IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case is made."""
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Outcomes of a case."""
BROKEN_EXIT_CODE = 3
"""Exit code for a broken rule; Python itself ends with 1 after an error. `run.sh` translates it."""


def main(case: str, run: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case, write `record.txt` beside the file `case`, and exit with its code."""
    record = Record(Path(case).parent / "record.txt")
    outcome = NOT_RUN
    try:
        outcome = asyncio.run(run(record))
    finally:
        record.write()
    sys.exit(BROKEN_EXIT_CODE if outcome == BROKEN else outcome)
