"""Orders to engines that must succeed in the end: repeated until done or without object."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from foxwinch.backends.ports import Completed
from foxwinch.clock import Clock
from foxwinch.identifiers import WorkerId
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused

FIRST_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 5.0
"""An engine that is back is told what it missed within this time."""

log = EventLog("engine")


class RetriedKind(StrEnum):
    """What is repeated."""

    RELEASE = "release"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True)
class RetriedKey:
    """Identifies one matter: a second order about it joins the first."""

    kind: RetriedKind
    worker: WorkerId
    subject: str
    """A program for `RELEASE`, a call for `CANCEL`."""


Operation = Callable[[], Awaitable[Completed | Refused]]


class EngineRetries:
    """Runs operations until the engine answers `Completed`; waits with full jitter in between."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing to do."""
        self._clock = clock
        self._tasks: dict[RetriedKey, asyncio.Task[None]] = {}
        self._when_done: dict[RetriedKey, list[Callable[[], None]]] = {}

    def submit(
        self, key: RetriedKey, operation: Operation, when_done: Callable[[], None] | None = None
    ) -> None:
        """Repeat `operation` until done; one that is being done already is only waited for."""
        if when_done is not None:
            self._when_done.setdefault(key, []).append(when_done)
        if key in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(self._repeat(key, operation))
        self._tasks[key] = task

    def is_pending(self, key: RetriedKey) -> bool:
        """Tell whether an operation is not done yet."""
        return key in self._tasks

    def pending(self, worker: WorkerId) -> int:
        """Count the operations on a worker that are not done yet."""
        return sum(key.worker == worker for key in self._tasks)

    def drop(self, key: RetriedKey) -> None:
        """Give up one operation that has become wrong."""
        self._when_done.pop(key, None)
        task = self._tasks.pop(key, None)
        if task is not None:
            task.cancel()

    def drop_subject(self, kind: RetriedKind, subject: str) -> None:
        """Give up operations on one subject at every worker."""
        for key in [k for k in self._tasks if k.kind is kind and k.subject == subject]:
            self.drop(key)

    def drop_worker(self, worker: WorkerId) -> None:
        """Give up what concerns a worker that is gone, or is another coordinator's now."""
        for key in [key for key in self._tasks if key.worker == worker]:
            self.drop(key)

    async def stop(self) -> None:
        """Stop repeating."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        self._tasks.clear()
        self._when_done.clear()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(self, key: RetriedKey, operation: Operation) -> None:
        pause = FIRST_PAUSE_SECONDS
        while isinstance(refused := await operation(), Refused):
            log.debug(
                "retrying",
                kind=key.kind,
                worker=key.worker,
                subject=key.subject,
                reason=refused.reason,
            )
            await self._clock.sleep(pause * (0.5 + self._clock.uniform() / 2))
            pause = min(2 * pause, MAX_PAUSE_SECONDS)
        self._tasks.pop(key, None)
        for when_done in self._when_done.pop(key, ()):
            when_done()
