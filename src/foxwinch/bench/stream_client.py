"""A client that costs little itself: requests prepared as bytes, answers only counted.

A client library would take more processor time than the servers that are compared, and so hide
their difference.
"""

import asyncio
import time
from dataclasses import dataclass
from urllib.parse import urlsplit

END_OF_ANSWER = b"\r\n0\r\n\r\n"
END_OF_STREAM = b"data: [DONE]"
STATUS_OK = b"HTTP/1.1 200"
CHUNK_MARK = b'"content"'
"""Stands in every event that bears text, whoever wrote it."""
TAIL_BYTES = 256


@dataclass(frozen=True, slots=True)
class Load:
    """What is sent: how many requests, how many of them at once, and what each must give."""

    url: str
    request: bytes
    requests: int
    outstanding: int
    chunks: int


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What came back; an answer that is not whole is an error of the run."""

    seconds: float
    requests: int
    chunks: int
    latencies_seconds: tuple[float, ...]

    @property
    def requests_per_second(self) -> float:
        """Whole answers a second."""
        return self.requests / self.seconds

    @property
    def chunks_per_second(self) -> float:
        """Chunks a second."""
        return self.chunks / self.seconds


class IncompleteAnswerError(Exception):
    """A server under test gave something else than a whole answer."""


def prepare_request(url: str, body: bytes, headers: dict[str, str]) -> bytes:
    """Return a POST of a chat completion as it goes over the wire."""
    lines = [
        f"POST {urlsplit(url).path}/v1/chat/completions HTTP/1.1",
        f"Host: {urlsplit(url).netloc}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def run_load(load: Load) -> LoadResult:
    """Send the load over kept connections, one for each request that is outstanding."""
    left = iter(range(load.requests))
    latencies: list[float] = []
    chunks = 0

    async def one_connection() -> None:
        nonlocal chunks
        parts = urlsplit(load.url)
        reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
        for _ in left:
            started = time.perf_counter()
            writer.write(load.request)
            received = await _read_answer(reader, load.chunks)
            chunks += received
            latencies.append(time.perf_counter() - started)
        writer.close()

    started = time.perf_counter()
    await asyncio.gather(*(one_connection() for _ in range(load.outstanding)))
    seconds = time.perf_counter() - started
    return LoadResult(seconds, len(latencies), chunks, tuple(latencies))


async def _read_answer(reader: asyncio.StreamReader, expected_chunks: int) -> int:
    pieces: list[bytes] = []
    tail = b""
    while not tail.endswith(END_OF_ANSWER):
        piece = await reader.read(65_536)
        if not piece:
            raise IncompleteAnswerError(b"".join(pieces)[-TAIL_BYTES:].decode(errors="replace"))
        pieces.append(piece)
        tail = (tail + piece)[-len(END_OF_ANSWER) :]
        if len(pieces) == 1 and not piece.startswith(STATUS_OK):
            raise IncompleteAnswerError(piece[:TAIL_BYTES].decode(errors="replace"))
    answer = b"".join(pieces)
    chunks = answer.count(CHUNK_MARK)
    if chunks != expected_chunks or END_OF_STREAM not in answer[-TAIL_BYTES:]:
        raise IncompleteAnswerError(f"{chunks} of {expected_chunks} chunks")
    return chunks
