"""Client side of a peer connection."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator

from foxwinch._generated.peer_pb2 import Envelope, PeerAnswer
from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.peer import envelopes
from foxwinch.peer.frames import FrameError, FrameProtocol
from foxwinch.peer.limits import (
    IDLE_TIMEOUT_SECONDS,
    MAX_PENDING_REQUESTS,
    PING_SECONDS,
    SILENCE_TIMEOUT_SECONDS,
    STREAM_CREDIT,
)

RESPONSE_LOST = outcome_unknown(Reason.PEER_UNREACHABLE, "connection lost before the response")
OVERLOADED = not_run(Reason.OVERLOADED, "too many in-flight requests to this peer", 0.1)


class OutboundConnection(FrameProtocol):
    """Sends requests to one peer and matches responses to them by correlation ID."""

    def __init__(self, node: NodeId) -> None:
        """Identify as `node` in the hello."""
        super().__init__()
        self._node = node
        self.handshake: asyncio.Future[bool] = self.loop.create_future()
        self._last_correlation_id = 0
        self._pending_calls: dict[int, asyncio.Future[bytes | Refused]] = {}
        self._pending_streams: dict[int, asyncio.Queue[PeerAnswer | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._last_used_at_seconds = self.loop.time()
        self._pinged_at_seconds = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello and start the keep-alive timer."""
        super().connection_made(transport)
        self.send(envelopes.hello(self._node))
        self._timer = self.loop.call_later(PING_SECONDS, self._check_keepalive)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail every in-flight request."""
        super().connection_lost(exc)
        if self._timer is not None:
            self._timer.cancel()
        if not self.handshake.done():
            self.handshake.set_result(False)
        for future in self._pending_calls.values():
            if not future.done():
                future.set_result(RESPONSE_LOST)
        for queue in self._pending_streams.values():
            queue.put_nowait(None)

    def envelope_received(self, envelope: Envelope) -> None:
        """Process an envelope from the server."""
        kind = envelope.WhichOneof("body")
        if not self.handshake.done():
            self._handle_hello(envelope, kind)
        elif kind == "answer":
            self._handle_answer(envelope.correlation_id, envelope.answer)
        elif kind == "ping" and not envelope.ping.reply:
            self.send(envelopes.ping(reply=True))

    async def call(self, method: str, payload: bytes, deadline_seconds: float) -> bytes | Refused:
        """Send a request and return its response; the outcome is unknown after the deadline."""
        if len(self._pending_calls) >= MAX_PENDING_REQUESTS or self.is_congested:
            return OVERLOADED
        correlation = self._next_correlation_id()
        future: asyncio.Future[bytes | Refused] = self.loop.create_future()
        self._pending_calls[correlation] = future
        self.send(envelopes.request(correlation, method, payload, deadline_seconds, stream=False))
        try:
            async with asyncio.timeout(deadline_seconds):
                return await future
        except TimeoutError:
            self.send(envelopes.cancel(correlation))
            return outcome_unknown(Reason.DEADLINE, "no response before the deadline")
        except asyncio.CancelledError:
            self.send(envelopes.cancel(correlation))
            raise
        finally:
            del self._pending_calls[correlation]

    async def stream(
        self, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncGenerator[bytes | Refused, None]:
        """Send a request and yield its responses until the end, a refusal or the deadline."""
        if len(self._pending_streams) >= MAX_PENDING_REQUESTS or self.is_congested:
            yield OVERLOADED
            return
        correlation = self._next_correlation_id()
        queue: asyncio.Queue[PeerAnswer | None] = asyncio.Queue()
        self._pending_streams[correlation] = queue
        deadline_at = self.loop.time() + deadline_seconds
        self.send(envelopes.request(correlation, method, payload, deadline_seconds, stream=True))
        complete = False
        try:
            async for item in self._read_answers(correlation, queue, deadline_at):
                complete = item.last
                if not item.empty:
                    yield envelopes.read_answer(item)
                if complete:
                    return
            complete = self.closed
            is_late = self.loop.time() >= deadline_at
            yield (
                outcome_unknown(Reason.DEADLINE, "deadline exceeded before the end of the stream")
                if is_late
                else RESPONSE_LOST
            )
        finally:
            if not complete:
                self.send(envelopes.cancel(correlation))
            del self._pending_streams[correlation]

    async def _read_answers(
        self, correlation: int, queue: asyncio.Queue[PeerAnswer | None], deadline_at: float
    ) -> AsyncIterator[PeerAnswer]:
        """Yield responses; stop early if the connection is lost or the deadline passes."""
        consumed = 0
        while True:
            try:
                async with asyncio.timeout_at(deadline_at):
                    item = await queue.get()
            except TimeoutError:
                return
            if item is None:
                return
            consumed += 1
            if consumed == STREAM_CREDIT // 2:
                self.send(envelopes.credit(correlation, consumed))
                consumed = 0
            yield item

    def _handle_hello(self, envelope: Envelope, kind: str | None) -> None:
        if kind != "hello":
            raise FrameError("first frame is not a hello")
        agreed = envelopes.are_versions_compatible(envelope.hello)
        self.handshake.set_result(agreed)
        if agreed:
            self.hello_received()
            return
        self.log.warning(
            "peer_version_refused", node=envelope.hello.node, version=envelope.hello.version
        )
        self.abort()

    def _handle_answer(self, correlation: int, body: PeerAnswer) -> None:
        future = self._pending_calls.get(correlation)
        if future is not None:
            if not future.done():
                future.set_result(envelopes.read_answer(body))
            return
        queue = self._pending_streams.get(correlation)
        if queue is None:
            return  # cancelled or past its deadline
        if queue.qsize() > STREAM_CREDIT:
            raise FrameError("stream exceeds its credit")
        queue.put_nowait(body)

    def _next_correlation_id(self) -> int:
        self._last_used_at_seconds = self.loop.time()
        self._last_correlation_id += 1
        return self._last_correlation_id

    def _check_keepalive(self) -> None:
        """Ping a quiet connection, abort an unresponsive one or close an idle one."""
        now = self.loop.time()
        self._timer = self.loop.call_later(PING_SECONDS, self._check_keepalive)
        if not self._pending_calls and not self._pending_streams:
            if now - self._last_used_at_seconds > IDLE_TIMEOUT_SECONDS:
                self.close()
            self._pinged_at_seconds = 0.0
            return
        if not self._pinged_at_seconds or self.received_at_seconds >= self._pinged_at_seconds:
            if now - self.received_at_seconds >= PING_SECONDS:
                self._pinged_at_seconds = now
                self.send(envelopes.ping(reply=False))
        elif now - self._pinged_at_seconds >= SILENCE_TIMEOUT_SECONDS - PING_SECONDS:
            self.log.warning("peer_connection_silent", peer=self.remote())
            self.abort()
