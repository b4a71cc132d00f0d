"""Serving of requests with an event stream as the response.

Only complete events are forwarded to the caller. When a worker aborts a stream and the route is
resumable, the stream resumes at another worker after the last complete event, under the head of the
first worker's response. A retained turn is stored before the end of its response is sent.
"""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from foxwinch.clock import Clock
from foxwinch.core.records.turn import Turn, output_of
from foxwinch.core.streams import EventFramer, StreamEvent
from foxwinch.log import EventLog
from foxwinch.records.turns import TurnRecords
from foxwinch.serving.attempts import Attempts, Dispatcher, Taken
from foxwinch.serving.messages import (
    Caller,
    CallFailure,
    CallInterrupted,
    RejectedRequest,
    Rejection,
)
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.prompt import Prompt

MAX_LINES = 20_000
SUCCESS = range(200, 300)
log = EventLog("streams")


@dataclass(slots=True)
class StreamSummary:
    """What a stream has sent to its caller."""

    tokens_per_event: int
    events: int = 0
    last_event_id: int | None = None
    begun: bool = False
    data: list[bytes] = field(default_factory=list)
    """Data of the events, collected only if the turn is retained."""
    caller_has: int | None = None
    """Id of the last event that the caller received in an earlier request."""

    def had(self, event: StreamEvent) -> bool:
        """Return whether the caller received an event in an earlier request."""
        if self.caller_has is None or event.event_id is None:
            return False
        return event.event_id <= self.caller_has

    @property
    def tokens(self) -> int:
        """Return the tokens that the sent events count for."""
        return self.events * self.tokens_per_event


class _Ended(StrEnum):
    COMPLETE = "complete"
    BROKEN = "broken"
    PASSED_ON = "passed_on"
    """The response was not a stream and was forwarded as a single body."""


class StreamServer:
    """Serves streams and remembers the last worker of each conversation."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        turns: TurnRecords,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        """Create a server that sends calls through `dispatcher`."""
        self._dispatcher = dispatcher
        self._turns = turns
        self._clock = clock
        self._metrics = metrics
        self._last_workers: dict[str, str] = {}
        """Worker incarnations by conversation id, least recently used first."""

    async def serve(
        self, attempts: Attempts, prompt: Prompt, caller: Caller, summary: StreamSummary
    ) -> str:
        """Serve a stream and return its outcome, a stable identifier for logs and metrics."""
        attempts.body = prompt.body
        if attempts.route.retained:
            # The stored turn must be complete, so the worker runs it from the start, and events
            # that the caller already has are not sent again.
            summary.caller_has = attempts.request.last_event_id
        else:
            attempts.last_event_id = attempts.request.last_event_id
        try:
            async with asyncio.timeout(max(0.0, attempts.end_at - self._clock.monotonic())):
                rejected = await self._try_workers(attempts, prompt, caller, summary)
        except TimeoutError:
            rejected = RejectedRequest(Rejection.LATE, "time_over")
        if rejected is None:
            return "answered"
        if summary.begun:
            caller.break_off()
        else:
            await caller.reject(rejected)
        return rejected.reason

    async def _try_workers(
        self, attempts: Attempts, prompt: Prompt, caller: Caller, summary: StreamSummary
    ) -> RejectedRequest | None:
        while True:
            taken = await self._dispatcher.offer(attempts, self._last_worker(attempts))
            if isinstance(taken, RejectedRequest):
                return taken
            with self._dispatcher.counted(taken.worker):
                try:
                    ended = await self._pass_on(taken, attempts, caller, summary)
                finally:
                    taken.answer.close()
            if ended is _Ended.PASSED_ON:
                return None
            if ended is _Ended.COMPLETE:
                return await self._complete(taken, attempts, prompt, caller, summary)
            self._dispatcher.failed(
                taken.worker, CallFailure.CONNECTION_LOST, attempts.request.request_id
            )
            if not self._dispatcher.may_run_again(attempts):
                return RejectedRequest(Rejection.FAILED, CallFailure.CONNECTION_LOST.value)
            if summary.last_event_id is not None:
                attempts.last_event_id = summary.last_event_id

    async def _pass_on(
        self, taken: Taken, attempts: Attempts, caller: Caller, summary: StreamSummary
    ) -> _Ended:
        head = taken.answer.head
        if head.status not in SUCCESS:
            return await self._pass_failure(taken, caller, summary)
        if not head.signed:
            return _Ended.BROKEN
        framer = EventFramer()
        async for piece in taken.answer.pieces():
            if isinstance(piece, CallInterrupted):
                return _Ended.BROKEN
            events = framer.feed(piece)
            if not events:
                continue
            if not summary.begun:
                summary.begun = True
                await caller.begin(head)
                took = self._clock.monotonic() - attempts.request.received_at
                self._metrics.first_seconds.labels("stream").observe(took)
            new = self._count(events, attempts, summary)
            if new:
                await caller.send(b"".join(event.raw for event in new))
        if framer.pending or not summary.begun:
            return _Ended.BROKEN
        return _Ended.COMPLETE

    async def _pass_failure(self, taken: Taken, caller: Caller, summary: StreamSummary) -> _Ended:
        body = await taken.answer.read_whole()
        if summary.begun or isinstance(body, CallInterrupted):
            return _Ended.BROKEN
        await caller.answer(taken.answer.head, body)
        return _Ended.PASSED_ON

    def _count(
        self, events: list[StreamEvent], attempts: Attempts, summary: StreamSummary
    ) -> list[StreamEvent]:
        """Count events and return those that the caller does not have.

        Events are counted before they are sent, because tokens count as spent once the caller may
        have received them.
        """
        new: list[StreamEvent] = []
        for event in events:
            if not summary.had(event):
                summary.events += 1
                new.append(event)
            if event.event_id is not None:
                summary.last_event_id = event.event_id
            if attempts.route.retained:
                summary.data.append(event.data)
        return new

    async def _complete(
        self,
        taken: Taken,
        attempts: Attempts,
        prompt: Prompt,
        caller: Caller,
        summary: StreamSummary,
    ) -> RejectedRequest | None:
        self._dispatcher.answered(taken.worker)
        self._remember(attempts, taken)
        if attempts.route.retained:
            rejected = await self._store(attempts, prompt, summary)
            if rejected is not None:
                return rejected
        await caller.finish()
        return None

    async def _store(
        self, attempts: Attempts, prompt: Prompt, summary: StreamSummary
    ) -> RejectedRequest | None:
        request = attempts.request
        kept_until_ms = int(1e3 * (self._clock.wall() + attempts.route.retain_seconds))
        turn = Turn(
            request.request_id,
            prompt.ancestors,
            request.body,
            output_of(summary.data),
            kept_until_ms,
        )
        refused = await self._turns.write(turn, attempts.end_at)
        if refused is None:
            return None
        log.warning(
            "turn_not_stored",
            request=request.request_id,
            reason=refused.reason.value,
            detail=refused.detail,
        )
        return RejectedRequest(Rejection.FAILED, "turn_not_stored")

    def _last_worker(self, attempts: Attempts) -> str | None:
        program = attempts.request.program
        return self._last_workers.get(program.conversation_id) if program is not None else None

    def _remember(self, attempts: Attempts, taken: Taken) -> None:
        program = attempts.request.program
        if program is None:
            return
        while len(self._last_workers) >= MAX_LINES:
            self._last_workers.pop(next(iter(self._last_workers)))
        self._last_workers.pop(program.conversation_id, None)
        self._last_workers[program.conversation_id] = taken.worker.incarnation
