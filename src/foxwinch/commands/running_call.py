"""A call between its arrival and its end, and the callers that follow its answer.

One task drives the call, and any number of callers follow it. Chunks are kept until the end, so a
caller that reconnects can resume from any offset. Followers wake up once for all chunks that
arrived together; no task or lock is needed per chunk.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

from foxwinch.core.program.call_events import (
    CallChunk,
    CallChunks,
    CallFinished,
    CallStarted,
    ProgramDetails,
    ProgramEvent,
    ToolFinished,
)
from foxwinch.core.program.state import Program
from foxwinch.identifiers import CallId
from foxwinch.outcomes import Refused

FinalEvent = CallFinished | ToolFinished | ProgramDetails | Refused


class RunningCall:
    """A call whose driver task has not finished."""

    def __init__(
        self,
        call_id: CallId,
        program: Program,
        has_key: bool,
        on_unfollowed: Callable[["RunningCall"], None],
    ) -> None:
        """Start without followers; `on_unfollowed` runs if the last one leaves before the end."""
        self.call_id = call_id
        self.program = program
        self.has_key = has_key
        self.cancellable = True
        """False for calls that run on without followers."""
        self.started: CallStarted | None = None
        self.chunks: list[CallChunk] = []
        self.final: FinalEvent | None = None
        self.followers = 0
        self.task: asyncio.Task[None] | None = None
        self.earlier_calls_ended: asyncio.Future[None] | None = None
        """Set while the call waits for earlier calls of the program."""
        self.intent_sent = False
        """True once the intent may be in the journal; the call may take effect from then on."""
        self.rerun = False
        """True if an earlier owner may have sent chunks of another run of this call."""
        self.cancel_cause = ""
        self.unfollowed_at_seconds: float | None = None
        self._interruptible = False
        self._on_unfollowed = on_unfollowed
        self._waiters: list[asyncio.Future[None]] = []

    def start(self, started: CallStarted) -> None:
        """Publish the start event; retries on other workers do not publish it again."""
        if self.started is None:
            self.started = started
            self._notify_followers()

    def add_chunk(self, chunk: CallChunk) -> None:
        """Append a chunk of the answer."""
        self.chunks.append(chunk)
        if self._waiters:
            self._notify_followers()

    def end(self, final: FinalEvent) -> None:
        """Publish the final event; a second one is ignored."""
        if self.final is None:
            self.final = final
            self._notify_followers()

    def cancel(self, cause: str) -> None:
        """Request the cancellation of the call; it takes effect at an interruptible wait."""
        if self.cancel_cause or self.final is not None or self.task is None:
            return
        self.cancel_cause = cause
        if self._interruptible:
            self.task.cancel()

    @contextmanager
    def interruptible(self) -> Iterator[None]:
        """Mark a wait that `cancel` may interrupt; raises `CancelledError` if already cancelled."""
        if self.cancel_cause:
            raise asyncio.CancelledError(self.cancel_cause)
        self._interruptible = True
        try:
            yield
        finally:
            self._interruptible = False

    async def follow(self, offset: int = 0) -> AsyncIterator[ProgramEvent]:
        """Iterate over the events, with the chunks from index `offset` onwards."""
        self.followers += 1
        self.unfollowed_at_seconds = None
        start_sent = False
        position = offset
        try:
            while True:
                if self.started is not None and not start_sent:
                    start_sent = True
                    yield self.started
                elif position < len(self.chunks):
                    batch = self.chunks[position:]
                    position += len(batch)
                    yield CallChunks(batch, more=self.final is not None)
                elif self.final is not None:
                    yield self.final
                    return
                else:
                    await self._wait_for_change()
        finally:
            self.followers -= 1
            if self.followers == 0 and self.final is None:
                self._on_unfollowed(self)

    async def _wait_for_change(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _notify_followers(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
