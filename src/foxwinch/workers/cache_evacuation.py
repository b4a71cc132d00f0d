"""Moves useful cache off a leaving worker, where copying is cheaper than computing it again."""

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

PROGRAMS_MOVED = 32
"""The programs that ran last; a worker that leaves seldom gives time for more."""
TRANSFER_SECONDS = 5.0

log = EventLog("worker")


def moving_pays() -> bool:
    """Tell whether copying a block is predicted to cost less than computing it again."""
    return INITIAL_TRANSFER_BLOCK_SECONDS < PREFILL_TOKEN_SECONDS * BLOCK_TOKENS


class CacheEvacuation:
    """One task for each leaving worker; the moves go one after another to spare the link."""

    def __init__(self, engine: EnginePort) -> None:
        """Move by the engines' export and import."""
        self._engine = engine
        self._tasks: dict[WorkerId, asyncio.Task[None]] = {}

    def begin(
        self, source: WorkerId, targets: list[WorkerId], programs: Iterable[ProgramId]
    ) -> None:
        """Move the caches of `programs` to `targets` in turn; nothing without a target."""
        if not targets or not moving_pays():
            return
        self.cancel(source)
        moving = self._move(source, targets, list(programs)[:PROGRAMS_MOVED])
        self._tasks[source] = asyncio.get_running_loop().create_task(moving)

    def cancel(self, source: WorkerId) -> None:
        """Stop moving: the worker is gone, or back."""
        task = self._tasks.pop(source, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Stop every move."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.clear()

    async def _move(
        self, source: WorkerId, targets: list[WorkerId], programs: list[ProgramId]
    ) -> None:
        moved = 0
        for number, program_id in enumerate(programs):
            target = targets[number % len(targets)]
            try:
                async with asyncio.timeout(TRANSFER_SECONDS):
                    moved += await copy_cache(self._engine, source, target, program_id)
            except TimeoutError:
                break
        log.info("cache_moved", worker=source, moved=moved, programs=len(programs))
