"""Runs a case and writes its record."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Outcomes of a case."""
BROKEN_EXIT_CODE = 3
"""Exit code for a broken rule; Python itself ends with 1 after an error. `run.sh` translates it."""
MAX_SECONDS = 105.0
"""Time after which a case is given up and ends its processes."""


def main(case: str, run: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case, write `record.txt` beside the file `case`, and exit with its code."""
    record = Record(Path(case).parent / "record.txt")
    outcome = NOT_RUN
    try:
        outcome = asyncio.run(_run_in_time(run(record)))
    except (TimeoutError, asyncio.CancelledError) as error:
        record.add("given_up", reason=type(error).__name__)
    finally:
        record.write()
    sys.exit(BROKEN_EXIT_CODE if outcome == BROKEN else outcome)


async def _run_in_time(running: Awaitable[int]) -> int:
    """Await a case; when it is stopped or takes too long, it still ends its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(MAX_SECONDS):
        return await running
