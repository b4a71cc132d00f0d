"""Serving of requests with an event stream as the response.

Only complete events are forwarded to the caller. When a worker aborts a stream and the route is
resumable, the stream resumes at another worker of the same software version after the last complete
event, under the head of the first worker's response. A retained turn is stored before the end of
its response is sent.
"""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import takewhile

from foxwinch.clock import Clock
from foxwinch.core.records.turn import Turn, join_output
from foxwinch.core.streams import EventFramer, EventSequence, StreamEvent
from foxwinch.log import EventLog
from foxwinch.records.turns import TurnRecords
from foxwinch.serving.attempt_state import AcceptedCall, Attempts
from foxwinch.serving.attempts import Dispatcher
from foxwinch.serving.messages import (
    Caller,
    CallFailure,
    CallInterrupted,
    RejectedRequest,
    Rejection,
)
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.prompt import Prompt
from foxwinch.serving.stream_origins import StreamOrigins

MAX_CONVERSATIONS = 20_000
MAX_RETAINED_BYTES = 4 * 1024 * 1024
"""Maximum size of the output of a turn that is collected to be stored."""
SUCCESS = range(200, 300)
log = EventLog("streams")


@dataclass(slots=True)
class StreamSummary:
    """What a stream has sent to its caller."""

    tokens_per_event: int
    events: int = 0
    last_event_id: int | None = None
    has_started: bool = False
    data: list[bytes] = field(default_factory=list)
    """Data of the events, collected only if the turn is retained."""
    retained_bytes: int = 0
    last_received_id: int | None = None
    """Id of the last event that the caller received in an earlier request."""
    sequence: EventSequence = field(default_factory=lambda: EventSequence(None))
    """The order of the events that the worker is to send."""

    def was_received(self, event: StreamEvent) -> bool:
        """Return whether the caller received an event in an earlier request."""
        if self.last_received_id is None or event.event_id is None:
            return False
        return event.event_id <= self.last_received_id

    @property
    def tokens(self) -> int:
        """Return the tokens that the sent events count for."""
        return self.events * self.tokens_per_event


class _StreamResult(StrEnum):
    COMPLETE = "complete"
    FORWARDED = "passed_on"
    """The response was not a stream and was forwarded as a single body."""


class StreamServer:
    """Serves streams and remembers the last worker of each conversation."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        turns: TurnRecords,
        origins: StreamOrigins,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        """Create a server that sends calls through `dispatcher`."""
        self._dispatcher = dispatcher
        self._turns = turns
        self._origins = origins
        self._clock = clock
        self._metrics = metrics
        self._last_workers: dict[str, str] = {}
        """Worker incarnations by conversation id, least recently used first."""

    async def serve(
        self, attempts: Attempts, prompt: Prompt, caller: Caller, summary: StreamSummary
    ) -> str:
        """Serve a stream and return its outcome, a stable identifier for logs and metrics."""
        attempts.body = prompt.body
        if not attempts.has_begun:
            self._origins.record_expected(attempts)
        if attempts.route.retained:
            # The stored turn must be complete, so the worker runs it from the start, and events
            # that the caller already has are not sent again.
            summary.last_received_id = attempts.request.last_event_id
        else:
            attempts.last_event_id = attempts.request.last_event_id
        summary.sequence = EventSequence(attempts.last_event_id)
        try:
            async with asyncio.timeout(max(0.0, attempts.deadline_at - self._clock.monotonic())):
                rejected = await self._serve_with_retries(attempts, prompt, caller, summary)
        except TimeoutError:
            rejected = RejectedRequest(Rejection.LATE, "time_over")
        if rejected is None:
            return "answered"
        if summary.has_started:
            caller.abort()
        else:
            await caller.reject(rejected)
        return rejected.reason

    async def _serve_with_retries(
        self, attempts: Attempts, prompt: Prompt, caller: Caller, summary: StreamSummary
    ) -> RejectedRequest | None:
        while True:
            accepted = await self._dispatcher.dispatch(attempts, self._last_worker(attempts))
            if isinstance(accepted, RejectedRequest):
                return accepted
            with self._dispatcher.count_in_flight(accepted.worker):
                try:
                    result = await self._forward(accepted, attempts, caller, summary)
                finally:
                    accepted.response.close()
            if result is _StreamResult.FORWARDED:
                self._dispatcher.record_response(accepted.worker, attempts, is_success=False)
                return None
            if result is _StreamResult.COMPLETE:
                return await self._finish_stream(accepted, attempts, prompt, caller, summary)
            await self._dispatcher.record_failure(accepted.worker, result, attempts)
            if not self._dispatcher.may_retry(attempts) or not summary.sequence.is_resumable:
                return RejectedRequest(Rejection.FAILED, result.failure.value)
            if summary.last_event_id is not None:
                attempts.last_event_id = summary.last_event_id

    async def _forward(
        self, accepted: AcceptedCall, attempts: Attempts, caller: Caller, summary: StreamSummary
    ) -> _StreamResult | CallInterrupted:
        head = accepted.response.head
        if head.status not in SUCCESS:
            return await self._forward_error(accepted, caller, summary)
        if not head.signed:
            return CallInterrupted(CallFailure.MALFORMED, "the response has no valid signature")
        framer = EventFramer()
        async for chunk in accepted.response.chunks():
            if isinstance(chunk, CallInterrupted):
                return chunk
            received_events = framer.feed(chunk)
            events = list(takewhile(summary.sequence.accept, received_events))
            if framer.is_too_large or summary.retained_bytes > MAX_RETAINED_BYTES:
                return CallInterrupted(CallFailure.MALFORMED, "the stream exceeds its limits")
            if events:
                await self._begin(accepted, attempts, caller, summary)
                unsent_events = self._count_events(events, attempts, summary)
                if unsent_events:
                    await caller.send(b"".join(event.raw for event in unsent_events))
            if len(events) < len(received_events):
                return CallInterrupted(CallFailure.MALFORMED, "an event is out of order")
        if framer.pending or not summary.has_started:
            return CallInterrupted(CallFailure.MALFORMED, "the stream ended within an event")
        return _StreamResult.COMPLETE

    async def _begin(
        self, accepted: AcceptedCall, attempts: Attempts, caller: Caller, summary: StreamSummary
    ) -> None:
        """Record the origin of a stream and send its head, before its first event."""
        if not attempts.has_begun:
            attempts.has_begun = True
            await self._origins.wait_until_recorded(attempts, accepted)
        if not summary.has_started:
            summary.has_started = True
            await caller.begin(accepted.response.head)
            elapsed_seconds = self._clock.monotonic() - attempts.request.received_at
            self._metrics.first_response_seconds.labels("stream").observe(elapsed_seconds)

    async def _forward_error(
        self, accepted: AcceptedCall, caller: Caller, summary: StreamSummary
    ) -> _StreamResult | CallInterrupted:
        body = await accepted.response.read_body()
        if isinstance(body, CallInterrupted):
            return body
        if summary.has_started:
            detail = f"status {accepted.response.head.status} for a resumed stream"
            return CallInterrupted(CallFailure.MALFORMED, detail)
        await caller.respond(accepted.response.head, body)
        return _StreamResult.FORWARDED

    def _count_events(
        self, events: list[StreamEvent], attempts: Attempts, summary: StreamSummary
    ) -> list[StreamEvent]:
        """Count events and return those that the caller does not have.

        Events are counted before they are sent, because tokens count as spent once the caller may
        have received them.
        """
        unsent_events: list[StreamEvent] = []
        for event in events:
            if not summary.was_received(event):
                summary.events += 1
                unsent_events.append(event)
            if event.event_id is not None:
                summary.last_event_id = event.event_id
            if attempts.route.retained:
                summary.data.append(event.data)
                summary.retained_bytes += len(event.data)
        return unsent_events

    async def _finish_stream(
        self,
        accepted: AcceptedCall,
        attempts: Attempts,
        prompt: Prompt,
        caller: Caller,
        summary: StreamSummary,
    ) -> RejectedRequest | None:
        self._dispatcher.record_response(accepted.worker, attempts, is_success=True)
        self._remember_worker(attempts, accepted)
        if attempts.route.retained:
            rejected = await self._store_turn(attempts, prompt, summary)
            if rejected is not None:
                return rejected
        await caller.finish()
        return None

    async def _store_turn(
        self, attempts: Attempts, prompt: Prompt, summary: StreamSummary
    ) -> RejectedRequest | None:
        request = attempts.request
        kept_until_ms = int(1e3 * (self._clock.wall() + attempts.route.retention_seconds))
        turn = Turn(
            request.request_id,
            prompt.ancestors,
            request.body,
            join_output(summary.data),
            kept_until_ms,
        )
        refused = await self._turns.write(turn, attempts.deadline_at)
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

    def _remember_worker(self, attempts: Attempts, accepted: AcceptedCall) -> None:
        program = attempts.request.program
        if program is None:
            return
        while len(self._last_workers) >= MAX_CONVERSATIONS:
            self._last_workers.pop(next(iter(self._last_workers)))
        self._last_workers.pop(program.conversation_id, None)
        self._last_workers[program.conversation_id] = accepted.worker.incarnation
