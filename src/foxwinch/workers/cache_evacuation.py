"""Copies useful cache from a leaving worker where this is cheaper than recomputing it."""

import asyncio
from collections.abc import Iterable

from foxwinch.backends.ports import EnginePort
from foxwinch.core.coordinator.estimates import (
    INITIAL_TRANSFER_BLOCK_SECONDS,
    PREFILL_TOKEN_SECONDS,
)
from foxwinch.core.prompt import BLOCK_TOKENS
from foxwinch.identifiers import ProgramId, WorkerId
from foxwinch.log import EventLog
from foxwinch.workers.pool_driver import copy_cache

MAX_COPIED_PROGRAMS = 32
"""Limit of programs per leaving worker, which rarely allows time for more."""
TRANSFER_TIMEOUT_SECONDS = 5.0

log = EventLog("worker")


def is_copy_cheaper() -> bool:
    """Return whether copying a block is predicted to take less time than recomputing it."""
    return INITIAL_TRANSFER_BLOCK_SECONDS < PREFILL_TOKEN_SECONDS * BLOCK_TOKENS


class CacheEvacuation:
    """Runs one task per leaving worker, which copies sequentially to limit the load on the link."""

    def __init__(self, engine: EnginePort) -> None:
        self._engine = engine
        self._tasks: dict[WorkerId, asyncio.Task[None]] = {}

    def start(
        self, source: WorkerId, targets: list[WorkerId], programs: Iterable[ProgramId]
    ) -> None:
        """Copy the caches of `programs` to `targets` round-robin, or nothing without a target."""
        if not targets or not is_copy_cheaper():
            return
        self.cancel(source)
        transfer = self._copy_caches(source, targets, list(programs)[:MAX_COPIED_PROGRAMS])
        self._tasks[source] = asyncio.get_running_loop().create_task(transfer)

    def cancel(self, source: WorkerId) -> None:
        """Stop the transfers from a worker that has left or is no longer leaving."""
        task = self._tasks.pop(source, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Stop all transfers."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.clear()

    async def _copy_caches(
        self, source: WorkerId, targets: list[WorkerId], programs: list[ProgramId]
    ) -> None:
        moved = 0
        for index, program_id in enumerate(programs):
            target = targets[index % len(targets)]
            try:
                async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
                    moved += await copy_cache(self._engine, source, target, program_id)
            except TimeoutError:
                break
        log.info("cache_moved", worker=source, moved=moved, programs=len(programs))
