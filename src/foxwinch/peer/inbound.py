"""Server side of a peer connection."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from foxwinch._generated.peer_pb2 import Envelope, PeerRequest
from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, not_run
from foxwinch.peer import envelopes
from foxwinch.peer.frames import FrameError, FrameProtocol
from foxwinch.peer.handlers import HandlerTable
from foxwinch.peer.limits import (
    HELLO_TIMEOUT_SECONDS,
    INBOUND_IDLE_TIMEOUT_SECONDS,
    MAX_PENDING_REQUESTS,
    STREAM_CREDIT,
)
from foxwinch.peer.ports import PeerContext


class InboundConnection(FrameProtocol):
    """Runs the requests of one other node against the handlers."""

    def __init__(
        self,
        node: NodeId,
        handlers: HandlerTable,
        on_opened: Callable[["InboundConnection"], bool],
        on_closed: Callable[["InboundConnection"], None],
    ) -> None:
        """Serve as `node`; `on_opened` returns whether another connection is allowed."""
        super().__init__()
        self._node = node
        self._handlers = handlers
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._sender: NodeId | None = None
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._credits: dict[int, asyncio.Semaphore] = {}
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the hello timeout, or abort if there are too many connections."""
        super().connection_made(transport)
        if not self._on_opened(self):
            self.log.warning(
                "peer_connection_refused", peer=self.remote(), cause="too many connections"
            )
            self.abort()
            return
        self._timer = self.loop.call_later(HELLO_TIMEOUT_SECONDS, self._check_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests that are running for the lost peer."""
        super().connection_lost(exc)
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks.values()):
            task.cancel()
        self._on_closed(self)

    def envelope_received(self, envelope: Envelope) -> None:
        """Process an envelope from the client."""
        kind = envelope.WhichOneof("body")
        if self._sender is None:
            self._handle_hello(envelope, kind)
        elif kind == "request":
            self._start_request(envelope.correlation_id, envelope.request)
        elif kind == "cancel":
            self._cancel_request(envelope.correlation_id)
        elif kind == "credit":
            self._add_credit(envelope.correlation_id, envelope.credit.answers)
        elif kind == "ping" and not envelope.ping.reply:
            self.send(envelopes.ping(reply=True))

    def _handle_hello(self, envelope: Envelope, kind: str | None) -> None:
        if kind != "hello" or not envelope.hello.node:
            raise FrameError("first frame is not a valid hello")
        self.send(envelopes.hello(self._node))
        if not envelopes.are_versions_compatible(envelope.hello):
            self.log.warning(
                "peer_version_refused", node=envelope.hello.node, version=envelope.hello.version
            )
            self.close()
            return
        self._sender = NodeId(envelope.hello.node)
        self.hello_received()

    def _start_request(self, correlation: int, request: PeerRequest) -> None:
        if correlation in self._tasks:
            raise FrameError(f"correlation ID {correlation} is already in use")
        if len(self._tasks) >= MAX_PENDING_REQUESTS:
            refusal = not_run(Reason.OVERLOADED, "too many open requests on this connection", 0.1)
            self.send(envelopes.answer(correlation, refusal, last=True))
            return
        if request.stream:
            self._credits[correlation] = asyncio.Semaphore(STREAM_CREDIT)
        run = self._run_stream if request.stream else self._run
        self._tasks[correlation] = self.loop.create_task(run(correlation, request))

    def _cancel_request(self, correlation: int) -> None:
        task = self._tasks.get(correlation)
        if task is not None:
            task.cancel()

    def _add_credit(self, correlation: int, answers: int) -> None:
        semaphore = self._credits.get(correlation)
        if semaphore is None:
            return
        if answers > STREAM_CREDIT:
            raise FrameError(f"stream credit of {answers}; allowed: {STREAM_CREDIT}")
        for _ in range(answers):
            semaphore.release()

    async def _run(self, correlation: int, request: PeerRequest) -> None:
        try:
            result = await self._handlers.run(
                self._context(request), request.method, request.payload
            )
            await self.drain()
            self.send(envelopes.answer(correlation, result, last=True))
        finally:
            self._tasks.pop(correlation, None)

    async def _run_stream(self, correlation: int, request: PeerRequest) -> None:
        semaphore = self._credits[correlation]
        answers = self._handlers.run_stream(self._context(request), request.method, request.payload)
        try:
            async with aclosing(answers):
                async for result in answers:
                    await semaphore.acquire()
                    await self.drain()
                    self.send(envelopes.answer(correlation, result, last=False))
            self.send(envelopes.end_of_stream(correlation))
        finally:
            self._tasks.pop(correlation, None)
            self._credits.pop(correlation, None)

    def _context(self, request: PeerRequest) -> PeerContext:
        assert self._sender is not None
        return PeerContext(self._sender, request.deadline_milliseconds / 1000)

    def _check_idle(self) -> None:
        silent_seconds = self.loop.time() - self.received_at_seconds
        if self._sender is None or silent_seconds > INBOUND_IDLE_TIMEOUT_SECONDS:
            self.log.warning("peer_connection_silent", peer=self.remote(), seconds=silent_seconds)
            self.abort()
            return
        self._timer = self.loop.call_later(INBOUND_IDLE_TIMEOUT_SECONDS, self._check_idle)
