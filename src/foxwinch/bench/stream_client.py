"""A lightweight HTTP client for load tests: it sends prepared bytes and only counts chunks.

A client library would use more CPU time than the servers under comparison and hide their
difference.
"""

import asyncio
import time
from dataclasses import dataclass
from urllib.parse import urlsplit

END_OF_BODY = b"\r\n0\r\n\r\n"
END_OF_STREAM = b"data: [DONE]"
STATUS_OK = b"HTTP/1.1 200"
CHUNK_MARKER = b'"content"'
"""Appears in every event that has text, whichever server wrote the event."""
TAIL_BYTES = 256


@dataclass(frozen=True, slots=True)
class Load:
    """Requests to send, how many of them concurrently, and the expected chunks of each response."""

    url: str
    request: bytes
    requests: int
    outstanding: int
    chunks: int


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Totals of a load run in which every response was complete."""

    seconds: float
    requests: int
    chunks: int
    latencies_seconds: tuple[float, ...]

    @property
    def requests_per_second(self) -> float:
        """Complete responses per second."""
        return self.requests / self.seconds

    @property
    def chunks_per_second(self) -> float:
        """Chunks per second."""
        return self.chunks / self.seconds


class IncompleteResponseError(Exception):
    """A server under test did not return a complete response."""


def prepare_request(url: str, body: bytes, headers: dict[str, str]) -> bytes:
    """Return the bytes of an HTTP/1.1 POST request for a chat completion."""
    lines = [
        f"POST {urlsplit(url).path}/v1/chat/completions HTTP/1.1",
        f"Host: {urlsplit(url).netloc}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def run_load(load: Load) -> LoadResult:
    """Send the load over `outstanding` persistent connections.

    Raises IncompleteResponseError on the first response that is not complete.
    """
    remaining = iter(range(load.requests))
    latencies: list[float] = []
    chunks = 0

    async def send_requests() -> None:
        nonlocal chunks
        parts = urlsplit(load.url)
        reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
        for _ in remaining:
            started = time.perf_counter()
            writer.write(load.request)
            received = await _read_response(reader, load.chunks)
            chunks += received
            latencies.append(time.perf_counter() - started)
        writer.close()

    started = time.perf_counter()
    await asyncio.gather(*(send_requests() for _ in range(load.outstanding)))
    seconds = time.perf_counter() - started
    return LoadResult(seconds, len(latencies), chunks, tuple(latencies))


async def _read_response(reader: asyncio.StreamReader, expected_chunks: int) -> int:
    reads: list[bytes] = []
    tail = b""
    while not tail.endswith(END_OF_BODY):
        data = await reader.read(65_536)
        if not data:
            raise IncompleteResponseError(b"".join(reads)[-TAIL_BYTES:].decode(errors="replace"))
        reads.append(data)
        tail = (tail + data)[-len(END_OF_BODY) :]
        if len(reads) == 1 and not data.startswith(STATUS_OK):
            raise IncompleteResponseError(data[:TAIL_BYTES].decode(errors="replace"))
    response = b"".join(reads)
    chunks = response.count(CHUNK_MARKER)
    if chunks != expected_chunks or END_OF_STREAM not in response[-TAIL_BYTES:]:
        raise IncompleteResponseError(
            f"response has {chunks} of {expected_chunks} chunks, or no end of stream"
        )
    return chunks
