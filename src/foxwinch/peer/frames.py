"""Framing of envelopes on a TCP stream: a 4-byte big-endian length, then one protobuf message."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterator

from google.protobuf.message import DecodeError

from foxwinch._generated.peer_pb2 import Envelope
from foxwinch.log import EventLog
from foxwinch.peer.limits import FRAME_BYTES, HELLO_FRAME_BYTES, WRITE_BUFFER_BYTES

LENGTH_BYTES = 4


class FrameError(Exception):
    """The bytes received are no frame of this protocol; the connection is closed for it."""


class FrameDecoder:
    """Cuts received bytes into envelopes; holds at most one frame of at most `limit_bytes`."""

    def __init__(self, limit_bytes: int) -> None:
        """Refuse frames above `limit_bytes`, which may be raised later."""
        self.limit_bytes = limit_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Yield every whole envelope; raises `FrameError` at the first bad one."""
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
    """Return the frame of an envelope."""
    body = envelope.SerializeToString()
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def _parse(body: bytes) -> Envelope:
    try:
        return Envelope.FromString(body)
    except DecodeError as error:
        raise FrameError("frame holds no envelope") from error


class FrameProtocol(asyncio.Protocol, ABC):
    """One connection: decodes, coalesces writes of one loop turn, and knows backpressure."""

    def __init__(self) -> None:
        """Start unconnected."""
        self.log = EventLog("peer")
        self.decoder = FrameDecoder(HELLO_FRAME_BYTES)
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.received_at_seconds = self.loop.time()
        self._transport: asyncio.Transport | None = None
        self._outgoing: list[bytes] = []
        self._outgoing_bytes = 0
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and set its buffer limit."""
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self._transport = transport  # type: ignore[assignment]
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever waits to write."""
        self.closed = True
        self._outgoing.clear()
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Decode; a bad frame closes the connection."""
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
        """Act on one envelope; raises `FrameError` where the protocol is broken."""

    def hello_received(self) -> None:
        """Accept frames of full size from now on."""
        self.decoder.limit_bytes = FRAME_BYTES

    def pause_writing(self) -> None:
        """The socket takes no more."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """The socket takes more again."""
        self._writable.set()

    @property
    def congested(self) -> bool:
        """Whether senders should wait for `drain`."""
        return not self._writable.is_set() or self._outgoing_bytes > WRITE_BUFFER_BYTES

    async def drain(self) -> None:
        """Wait until the socket takes more, or the connection is gone."""
        if self._outgoing_bytes > WRITE_BUFFER_BYTES:
            self._flush()
        await self._writable.wait()

    def send(self, envelope: Envelope) -> None:
        """Send an envelope with whatever else this turn of the loop sends."""
        if self.closed:
            return
        if not self._outgoing:
            self.loop.call_soon(self._flush)
        frame = encode_frame(envelope)
        self._outgoing.append(frame)
        self._outgoing_bytes += len(frame)

    def abort(self) -> None:
        """Close at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after what was sent."""
        self._flush()
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def remote(self) -> str:
        """Return `ip:port` of the other side, for logs."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return f"{name[0]}:{name[1]}" if name else "unknown"

    def _flush(self) -> None:
        if self._transport is not None and self._outgoing and not self._transport.is_closing():
            self._transport.write(b"".join(self._outgoing))
        self._outgoing.clear()
        self._outgoing_bytes = 0
