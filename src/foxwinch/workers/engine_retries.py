"""Engine operations that must eventually succeed, retried until done or obsolete."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from foxwinch.backends.ports import Completed
from foxwinch.clock import Clock
from foxwinch.identifiers import WorkerId
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused

INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0
"""Maximum backoff, within which an engine that is available again gets pending operations."""

log = EventLog("engine")


class OperationKind(StrEnum):
    """Kind of a retried operation."""

    RELEASE = "release"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True)
class OperationKey:
    """Identity of an operation; submissions with the same key share one execution."""

    kind: OperationKind
    worker: WorkerId
    subject: str
    """Program of a `RELEASE` or call of a `CANCEL`."""


Operation = Callable[[], Awaitable[Completed | Refused]]


class EngineRetries:
    """Runs operations until the engine answers `Completed`, with jittered exponential backoff."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tasks: dict[OperationKey, asyncio.Task[None]] = {}
        self._on_done: dict[OperationKey, list[Callable[[], None]]] = {}

    def submit(
        self, key: OperationKey, operation: Operation, on_done: Callable[[], None] | None = None
    ) -> None:
        """Retry `operation` until it succeeds, then call `on_done`.

        If an operation with this key is pending already, only `on_done` is added to it.
        """
        if on_done is not None:
            self._on_done.setdefault(key, []).append(on_done)
        if key in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(self._retry(key, operation))
        self._tasks[key] = task

    def is_pending(self, key: OperationKey) -> bool:
        """Return whether an operation is pending."""
        return key in self._tasks

    def pending(self, worker: WorkerId) -> int:
        """Return the number of pending operations on a worker."""
        return sum(key.worker == worker for key in self._tasks)

    def cancel(self, key: OperationKey) -> None:
        """Cancel an operation that is obsolete."""
        self._on_done.pop(key, None)
        task = self._tasks.pop(key, None)
        if task is not None:
            task.cancel()

    def cancel_subject(self, kind: OperationKind, subject: str) -> None:
        """Cancel the operations on one subject on all workers."""
        for key in [k for k in self._tasks if k.kind is kind and k.subject == subject]:
            self.cancel(key)

    def drop_worker(self, worker: WorkerId) -> None:
        """Cancel the operations on a worker that is no longer held by this coordinator."""
        for key in [key for key in self._tasks if key.worker == worker]:
            self.cancel(key)

    async def stop(self) -> None:
        """Cancel all operations."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        self._tasks.clear()
        self._on_done.clear()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _retry(self, key: OperationKey, operation: Operation) -> None:
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while isinstance(refused := await operation(), Refused):
            log.debug(
                "retrying",
                kind=key.kind,
                worker=key.worker,
                subject=key.subject,
                reason=refused.reason,
            )
            await self._clock.sleep(backoff_seconds * (0.5 + self._clock.uniform() / 2))
            backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
        self._tasks.pop(key, None)
        for on_done in self._on_done.pop(key, ()):
            on_done()
