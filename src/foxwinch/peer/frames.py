"""Framing of envelopes on a TCP stream: a 4-byte big-endian length, then one protobuf message."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterator

from google.protobuf.message import DecodeError

from foxwinch._generated.peer_pb2 import Envelope
from foxwinch.log import EventLog
from foxwinch.peer.limits import MAX_FRAME_BYTES, MAX_HELLO_FRAME_BYTES, WRITE_BUFFER_BYTES

LENGTH_BYTES = 4


class FrameError(Exception):
    """The received bytes are not a valid frame; the connection is closed."""


class FrameDecoder:
    """Splits received bytes into envelopes; buffers at most one frame of `limit_bytes`."""

    def __init__(self, limit_bytes: int) -> None:
        """Reject frames larger than `limit_bytes`, which may be raised later."""
        self.limit_bytes = limit_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Yield every complete envelope; raise `FrameError` at the first invalid frame."""
        self._buffer += data
        position = 0
        try:
            while len(self._buffer) - position >= LENGTH_BYTES:
                start = position + LENGTH_BYTES
                length = int.from_bytes(self._buffer[position:start], "big")
                if length == 0 or length > self.limit_bytes:
                    raise FrameError(f"frame of {length} bytes; allowed: 1 to {self.limit_bytes}")
                if len(self._buffer) - start < length:
                    break
                position = start + length
                yield _parse(bytes(self._buffer[start:position]))
        finally:
            del self._buffer[:position]


def encode_frame(envelope: Envelope) -> bytes:
    """Return an envelope encoded as a frame."""
    body = envelope.SerializeToString()
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def _parse(body: bytes) -> Envelope:
    try:
        return Envelope.FromString(body)
    except DecodeError as error:
        raise FrameError("frame is not a valid envelope") from error


class FrameProtocol(asyncio.Protocol, ABC):
    """Connection that decodes frames, batches writes per loop iteration and signals congestion."""

    def __init__(self) -> None:
        self.log = EventLog("peer")
        self.decoder = FrameDecoder(MAX_HELLO_FRAME_BYTES)
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.received_at_seconds = self.loop.time()
        self._transport: asyncio.Transport | None = None
        self._outgoing: list[bytes] = []
        self._outgoing_bytes = 0
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its buffer limit."""
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self._transport = transport  # type: ignore[assignment]
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the tasks that wait to write."""
        self.closed = True
        self._outgoing.clear()
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Decode received bytes; an invalid frame closes the connection."""
        self.received_at_seconds = self.loop.time()
        try:
            for envelope in self.decoder.feed(data):
                if self.closed:
                    return
                self.envelope_received(envelope)
        except FrameError as error:
            self.log.warning("peer_frame_refused", peer=self.remote(), cause=str(error))
            self.abort()

    @abstractmethod
    def envelope_received(self, envelope: Envelope) -> None:
        """Process an envelope; raise `FrameError` on a protocol violation."""

    def hello_received(self) -> None:
        """Accept frames up to `MAX_FRAME_BYTES` after a valid hello."""
        self.decoder.limit_bytes = MAX_FRAME_BYTES

    def pause_writing(self) -> None:
        """Block senders, because the transport's buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock senders."""
        self._writable.set()

    @property
    def is_congested(self) -> bool:
        """Whether senders should wait for `drain` before they send more."""
        return not self._writable.is_set() or self._outgoing_bytes > WRITE_BUFFER_BYTES

    async def drain(self) -> None:
        """Wait until the transport accepts more data or the connection is lost."""
        if self._outgoing_bytes > WRITE_BUFFER_BYTES:
            self._flush()
        await self._writable.wait()

    def send(self, envelope: Envelope) -> None:
        """Queue an envelope; all envelopes of one loop iteration are written together."""
        if self.closed:
            return
        if not self._outgoing:
            self.loop.call_soon(self._flush)
        frame = encode_frame(envelope)
        self._outgoing.append(frame)
        self._outgoing_bytes += len(frame)

    def abort(self) -> None:
        """Close immediately and discard buffered data."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after the buffered data has been sent."""
        self._flush()
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def remote(self) -> str:
        """Return `ip:port` of the peer, for logs."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return f"{name[0]}:{name[1]}" if name else "unknown"

    def _flush(self) -> None:
        if self._transport is not None and self._outgoing and not self._transport.is_closing():
            self._transport.write(b"".join(self._outgoing))
        self._outgoing.clear()
        self._outgoing_bytes = 0
