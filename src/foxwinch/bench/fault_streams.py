"""One direction of a proxied TCP connection."""

import asyncio
from collections.abc import Callable

CHUNK_BYTES = 16 * 1024
MAX_CHUNKS_IN_FLIGHT = 64
"""Maximum number of delayed chunks; more block the sender, like a full TCP window."""


class Gate:
    """A gate that blocks its waiters while it is closed."""

    def __init__(self) -> None:
        """Create an open gate."""
        self._open = asyncio.Event()
        self._open.set()

    def set_open(self, is_open: bool) -> None:
        """Open or close the gate."""
        if is_open:
            self._open.set()
        else:
            self._open.clear()

    async def wait_open(self) -> None:
        """Wait until the gate is open."""
        await self._open.wait()


class Pump:
    """Copies bytes from a reader to a writer, with delay, bandwidth limit and gate.

    While the gate is closed, nothing is lost and nothing is forwarded: neither bytes nor the end
    of the stream. That is a half-open connection; opening the gate resumes it.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: Gate,
        delay_seconds: Callable[[], float],
        bytes_per_second: Callable[[], float | None],
    ) -> None:
        """Take delay and rate as functions, called for each chunk because faults may change."""
        self._reader = reader
        self._writer = writer
        self._gate = gate
        self._delay_seconds = delay_seconds
        self._bytes_per_second = bytes_per_second
        self._in_flight: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)

    async def run(self) -> None:
        """Copy until the end of the stream or a connection error, then end or abort the writer."""
        reading = asyncio.create_task(self._read())
        try:
            await self._write()
        except ConnectionError:
            self._writer.transport.abort()
        finally:
            reading.cancel()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            try:
                data = await self._reader.read(CHUNK_BYTES)
            except ConnectionError:
                data = b""
            await self._in_flight.put((loop.time() + self._delay_seconds(), data))

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at, data = await self._in_flight.get()
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            await self._gate.wait_open()
            if not data:
                self._writer.write_eof()
                return
            self._writer.write(data)
            await self._writer.drain()
            rate = self._bytes_per_second()
            if rate is not None:
                await asyncio.sleep(len(data) / rate)
