"""A stand-in of the users' workers, byte by byte, so that it can answer wrongly as well."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field


@dataclass
class Received:
    """One request as the worker got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int

    def __getitem__(self, name: str) -> str | None:
        return self.headers.get(name.lower())


def events(first: int, last: int, text: str = "token") -> list[bytes]:
    """Return the events of a stream by their ids."""
    return [f"id: {number}\ndata: {text}{number}\n\n".encode() for number in range(first, last + 1)]


@dataclass
class Answer:
    """What the worker sends."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = b"done"
    """One body with its length; None: the pieces are sent in chunks."""
    pieces: list[bytes] = field(default_factory=list)
    pause_seconds: float = 0.0
    """Between pieces."""
    cut: bool = False
    """Close the connection in place of the end of the chunks."""
    unframed: bool = False
    """No length: the body ends with the connection."""
    reset: bool = False
    """Reset the connection at the end in place of closing it."""
    surplus: bytes = b""
    """Sent behind the answer."""
    surplus_first: bytes = b""
    """Sent before the answer."""
    signed: bool = True
    silent: bool = False
    """Never answer."""
    drop: bool = False
    """Close the connection without an answer."""


def raw_answer(request_id: str, body: bytes = b"other") -> bytes:
    """Return a whole answer to some other request."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: other\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class FakeWorker:
    """Listens on loopback and answers as it is told."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        """In turn; the last one for ever."""
        self.received: list[Received] = []
        self.connections = 0
        self.left = 0
        """Requests whose connection was closed before the answer's end."""
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "FakeWorker":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        number = self.connections
        try:
            while await self._serve_one(reader, writer, number):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            self.left += 1
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            return False
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.received.append(Received(method, target, headers, body, number))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        watch = asyncio.ensure_future(reader.read(1)) if answer.pause_seconds else None
        try:
            return await self._answer(writer, answer, headers.get("request-id", ""), watch)
        finally:
            if watch is not None:
                watch.cancel()

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        answer: Answer,
        request_id: str,
        watch: "asyncio.Future[bytes] | None",
    ) -> bool:
        if answer.silent:
            await asyncio.sleep(3600)
        if answer.drop:
            return False
        writer.write(answer.surplus_first + _head(answer, request_id) + (answer.body or b""))
        for piece in answer.pieces:
            writer.write(piece if answer.unframed else _chunk(piece))
            await writer.drain()
            if watch is not None:
                await asyncio.wait([watch], timeout=answer.pause_seconds)
                if watch.done():
                    raise ConnectionError
        await writer.drain()
        if answer.reset:
            await asyncio.sleep(0.02)
            _reset(writer)
            return False
        if answer.cut or answer.unframed:
            return False
        writer.write((b"0\r\n\r\n" if answer.body is None else b"") + answer.surplus)
        await writer.drain()
        return True


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _head(answer: Answer, request_id: str) -> bytes:
    headers = {"Request-Id": request_id, **answer.headers}
    if answer.signed:
        headers["Response-Stamp"] = "stamp-" + request_id
    if not answer.unframed and answer.body is not None:
        headers["Content-Length"] = str(len(answer.body))
    elif not answer.unframed:
        headers["Transfer-Encoding"] = "chunked"
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {answer.status} Some\r\n{lines}\r\n".encode()


def _chunk(piece: bytes) -> bytes:
    return f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
