"""Client side of a peer connection."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator

from foxwinch._generated.peer_pb2 import Envelope, PeerAnswer
from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.peer import envelopes
from foxwinch.peer.frames import FrameError, FrameProtocol
from foxwinch.peer.limits import (
    IDLE_SECONDS,
    PENDING_REQUESTS,
    PING_SECONDS,
    SILENCE_SECONDS,
    STREAM_CREDIT,
)

LOST = outcome_unknown(Reason.PEER_UNREACHABLE, "connection lost before the response")
OVERLOADED = not_run(Reason.OVERLOADED, "too many in-flight requests to this peer", 0.1)


class OutboundConnection(FrameProtocol):
    """Sends requests to one peer and matches responses to them by correlation ID."""

    def __init__(self, node: NodeId) -> None:
        """Identify as `node` in the hello."""
        super().__init__()
        self._node = node
        self.greeted: asyncio.Future[bool] = self.loop.create_future()
        self._next_correlation = 0
        self._calls: dict[int, asyncio.Future[bytes | Refused]] = {}
        self._streams: dict[int, asyncio.Queue[PeerAnswer | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._used_at_seconds = self.loop.time()
        self._pinged_at_seconds = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello and start the keep-alive timer."""
        super().connection_made(transport)
        self.send(envelopes.hello(self._node))
        self._timer = self.loop.call_later(PING_SECONDS, self._check_life)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail every in-flight request."""
        super().connection_lost(exc)
        if self._timer is not None:
            self._timer.cancel()
        if not self.greeted.done():
            self.greeted.set_result(False)
        for future in self._calls.values():
            if not future.done():
                future.set_result(LOST)
        for queue in self._streams.values():
            queue.put_nowait(None)

    def envelope_received(self, envelope: Envelope) -> None:
        """Process an envelope from the server."""
        kind = envelope.WhichOneof("body")
        if not self.greeted.done():
            self._greet(envelope, kind)
        elif kind == "answer":
            self._answered(envelope.correlation_id, envelope.answer)
        elif kind == "ping" and not envelope.ping.reply:
            self.send(envelopes.ping(reply=True))

    async def call(self, method: str, payload: bytes, deadline_seconds: float) -> bytes | Refused:
        """Send a request and return its response; the outcome is unknown after the deadline."""
        if len(self._calls) >= PENDING_REQUESTS or self.congested:
            return OVERLOADED
        correlation = self._correlation()
        future: asyncio.Future[bytes | Refused] = self.loop.create_future()
        self._calls[correlation] = future
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
            del self._calls[correlation]

    async def stream(
        self, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncGenerator[bytes | Refused, None]:
        """Send a request and yield its responses until the end, a refusal or the deadline."""
        if len(self._streams) >= PENDING_REQUESTS or self.congested:
            yield OVERLOADED
            return
        correlation = self._correlation()
        queue: asyncio.Queue[PeerAnswer | None] = asyncio.Queue()
        self._streams[correlation] = queue
        ends_at_seconds = self.loop.time() + deadline_seconds
        self.send(envelopes.request(correlation, method, payload, deadline_seconds, stream=True))
        whole = False
        try:
            async for item in self._answers(correlation, queue, ends_at_seconds):
                whole = item.last
                if not item.empty:
                    yield envelopes.read_answer(item)
                if whole:
                    return
            whole = self.closed
            late = self.loop.time() >= ends_at_seconds
            yield (
                outcome_unknown(Reason.DEADLINE, "deadline exceeded before the end of the stream")
                if late
                else LOST
            )
        finally:
            if not whole:
                self.send(envelopes.cancel(correlation))
            del self._streams[correlation]

    async def _answers(
        self, correlation: int, queue: asyncio.Queue[PeerAnswer | None], ends_at_seconds: float
    ) -> AsyncIterator[PeerAnswer]:
        """Yield responses; stop early if the connection is lost or the deadline passes."""
        taken = 0
        while True:
            try:
                async with asyncio.timeout_at(ends_at_seconds):
                    item = await queue.get()
            except TimeoutError:
                return
            if item is None:
                return
            taken += 1
            if taken == STREAM_CREDIT // 2:
                self.send(envelopes.credit(correlation, taken))
                taken = 0
            yield item

    def _greet(self, envelope: Envelope, kind: str | None) -> None:
        if kind != "hello":
            raise FrameError("first frame is not a hello")
        agreed = envelopes.versions_agree(envelope.hello)
        self.greeted.set_result(agreed)
        if agreed:
            self.hello_received()
            return
        self.log.warning(
            "peer_version_refused", node=envelope.hello.node, version=envelope.hello.version
        )
        self.abort()

    def _answered(self, correlation: int, body: PeerAnswer) -> None:
        future = self._calls.get(correlation)
        if future is not None:
            if not future.done():
                future.set_result(envelopes.read_answer(body))
            return
        queue = self._streams.get(correlation)
        if queue is None:
            return  # cancelled or past its deadline
        if queue.qsize() > STREAM_CREDIT:
            raise FrameError("stream exceeds its credit")
        queue.put_nowait(body)

    def _correlation(self) -> int:
        self._used_at_seconds = self.loop.time()
        self._next_correlation += 1
        return self._next_correlation

    def _check_life(self) -> None:
        """Ping a quiet connection, abort an unresponsive one or close an idle one."""
        now = self.loop.time()
        self._timer = self.loop.call_later(PING_SECONDS, self._check_life)
        if not self._calls and not self._streams:
            if now - self._used_at_seconds > IDLE_SECONDS:
                self.close()
            self._pinged_at_seconds = 0.0
            return
        if not self._pinged_at_seconds or self.received_at_seconds >= self._pinged_at_seconds:
            if now - self.received_at_seconds >= PING_SECONDS:
                self._pinged_at_seconds = now
                self.send(envelopes.ping(reply=False))
        elif now - self._pinged_at_seconds >= SILENCE_SECONDS - PING_SECONDS:
            self.log.warning("peer_connection_silent", peer=self.remote())
            self.abort()
