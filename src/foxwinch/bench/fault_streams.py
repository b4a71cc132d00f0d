"""One direction of a proxied TCP connection."""

import asyncio
from collections.abc import Callable

CHUNK_BYTES = 16 * 1024
CHUNKS_ON_THE_WAY = 64
"""Chunks delayed at a time; beyond that the sender is held back, as by a full window."""


class Gate:
    """Open or shut; whoever passes waits while it is shut."""

    def __init__(self) -> None:
        """Start open."""
        self._open = asyncio.Event()
        self._open.set()

    def set_open(self, is_open: bool) -> None:
        """Open or shut."""
        if is_open:
            self._open.set()
        else:
            self._open.clear()

    async def passed(self) -> None:
        """Wait until it is open."""
        await self._open.wait()


class Pump:
    """Carries bytes from a reader to a writer, with delay, throttle and gate.

    While the gate is shut nothing is lost and nothing is told: neither bytes nor the end of the
    stream. That is a half-open connection; opening the gate lets everything go on.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: Gate,
        delay_seconds: Callable[[], float],
        bytes_per_second: Callable[[], float | None],
    ) -> None:
        """Ask for delay and rate at each chunk, since they may be changed."""
        self._reader = reader
        self._writer = writer
        self._gate = gate
        self._delay_seconds = delay_seconds
        self._bytes_per_second = bytes_per_second
        self._on_the_way: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(CHUNKS_ON_THE_WAY)

    async def run(self) -> None:
        """Pump until the reader's end or a broken connection, then end the writer."""
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
            await self._on_the_way.put((loop.time() + self._delay_seconds(), data))

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await self._on_the_way.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            await self._gate.passed()
            if not data:
                self._writer.write_eof()
                return
            self._writer.write(data)
            await self._writer.drain()
            rate = self._bytes_per_second()
            if rate is not None:
                await asyncio.sleep(len(data) / rate)
