"""A call between its arrival and its end, and those who follow its answer.

One task drives the call and any number of callers follow it. Chunks are kept until the end, so a
caller who reconnects can go on from any offset. Followers wake once for all chunks that came in
together; there is no task and no lock for a chunk.
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
    """One call that has not ended, or has just ended."""

    def __init__(
        self,
        call_id: CallId,
        program: Program,
        keyed: bool,
        on_unfollowed: Callable[["RunningCall"], None],
    ) -> None:
        """Start without followers; `on_unfollowed` runs when the last one goes before the end."""
        self.call_id = call_id
        self.program = program
        self.keyed = keyed
        self.cancellable = True
        """False for calls that must not be cut when nobody follows them."""
        self.started: CallStarted | None = None
        self.chunks: list[CallChunk] = []
        self.final: FinalEvent | None = None
        self.followers = 0
        self.task: asyncio.Task[None] | None = None
        self.turn: asyncio.Future[None] | None = None
        """Set while the call waits for its turn in the program."""
        self.intent_sent = False
        """True once the intent may be in the journal: from then on the call may have an effect."""
        self.rerun = False
        """True when an earlier owner may have sent chunks of another run of this call."""
        self.cancel_cause = ""
        self.unfollowed_at_seconds: float | None = None
        self._interruptible = False
        self._on_unfollowed = on_unfollowed
        self._waiters: list[asyncio.Future[None]] = []

    def start(self, started: CallStarted) -> None:
        """Tell that a worker was granted; a retry on another worker is not told again."""
        if self.started is None:
            self.started = started
            self._wake()

    def add(self, chunk: CallChunk) -> None:
        """Add a piece of the answer."""
        self.chunks.append(chunk)
        if self._waiters:
            self._wake()

    def end(self, final: FinalEvent) -> None:
        """Tell the end; a second end is ignored."""
        if self.final is None:
            self.final = final
            self._wake()

    def cancel(self, cause: str) -> None:
        """Ask the call to end; it does so at its next interruptible wait."""
        if self.cancel_cause or self.final is not None or self.task is None:
            return
        self.cancel_cause = cause
        if self._interruptible:
            self.task.cancel()

    @contextmanager
    def interruptible(self) -> Iterator[None]:
        """Mark a wait that `cancel` may cut; raises `CancelledError` when it was asked before."""
        if self.cancel_cause:
            raise asyncio.CancelledError(self.cancel_cause)
        self._interruptible = True
        try:
            yield
        finally:
            self._interruptible = False

    async def follow(self, offset: int = 0) -> AsyncIterator[ProgramEvent]:
        """Iterate over the events, chunks from number `offset` on."""
        self.followers += 1
        self.unfollowed_at_seconds = None
        told_start = False
        position = offset
        try:
            while True:
                if self.started is not None and not told_start:
                    told_start = True
                    yield self.started
                elif position < len(self.chunks):
                    batch = self.chunks[position:]
                    position += len(batch)
                    yield CallChunks(batch, more=self.final is not None)
                elif self.final is not None:
                    yield self.final
                    return
                else:
                    await self._changed()
        finally:
            self.followers -= 1
            if self.followers == 0 and self.final is None:
                self._on_unfollowed(self)

    async def _changed(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
