"""A fake of the platform's workers that writes raw bytes, so that it can misbehave."""

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum


class CrashKind(StrEnum):
    """What the callers of a worker notice of its crash."""

    REFUSES = "refuses"
    """Its connections are reset, and new ones are refused."""
    UNREACHABLE = "unreachable"
    """Its connections stay open without a byte, and new ones are not accepted."""
    HANGS = "hangs"
    """Its connections are reset, and new ones are accepted and get no response."""
    RESTARTS = "restarts"
    """Its connections are reset, and its successor of the same id accepts new ones at once."""


@dataclass
class ReceivedRequest:
    """A request that the worker received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int

    def __getitem__(self, name: str) -> str | None:
        return self.headers.get(name.lower())


def events(first: int, last: int, text: str = "token") -> list[bytes]:
    """Return the server-sent events with ids from `first` to `last`."""
    return [f"id: {number}\ndata: {text}{number}\n\n".encode() for number in range(first, last + 1)]


@dataclass
class FakeResponse:
    """A response that the worker sends."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = b"done"
    """Body with a Content-Length; None: `chunks` are sent with chunked encoding."""
    chunks: list[bytes] = field(default_factory=list)
    pause_seconds: float = 0.0
    """Delay between chunks."""
    cut: bool = False
    """Close the connection instead of sending the last chunk."""
    unframed: bool = False
    """Send no length; the body ends when the connection is closed."""
    reset: bool = False
    """Reset the connection at the end instead of closing it."""
    extra_after: bytes = b""
    """Extra bytes sent after the response."""
    extra_before: bytes = b""
    """Extra bytes sent before the response."""
    signed: bool = True
    silent: bool = False
    """Never respond."""
    drop: bool = False
    """Close the connection without a response, after `extra_before`."""
    endless: bytes = b""
    """Bytes that are repeated after the head until the connection is closed."""
    headless: bool = False
    """Send no head before the endless bytes."""
    crash: bool = False
    """Crash in place of the last chunk, or of the whole response if it has no chunks."""
    delay_seconds: float = 0.0
    """Time from the receipt of the request to the start of the response."""
    crash_after_seconds: float = 0.0
    """Time from the receipt of the request to the crash without any response."""
    crash_after_reset_seconds: float | None = None
    """Time from the reset of the connection, in place of a response, to the crash."""


def raw_response(request_id: str, body: bytes = b"other") -> bytes:
    """Return a complete response to another request."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: other\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class FakeWorker:
    """Listens on loopback and sends the given responses."""

    def __init__(self, *responses: FakeResponse) -> None:
        self.responses = list(responses)
        """Responses in order; the last one is repeated."""
        self.received: list[ReceivedRequest] = []
        self.connections = 0
        self.health_checks = 0
        self.disconnects = 0
        """Number of requests whose connection was closed before the end of the response."""
        self.address = ""
        self.fatal_body: bytes | None = None
        """Part of a body on which the worker crashes, whatever its responses are."""
        self.endless_bytes = 0
        """Number of endless bytes that could be written until the connection was closed."""
        self.crashes: list[ReceivedRequest] = []
        """The requests that the worker crashed on."""
        self.crash_kind = CrashKind.REFUSES
        self.on_crash: Callable[[], None] = lambda: None
        """Called when the worker crashes on a request, before its callers can notice."""
        self.is_running = False
        self.starts = 0
        """Number of times that the worker has started."""
        self.started_ms: int | None = None
        """Time of the start that the worker reports, if any."""
        self.worker_id: str | None = None
        """Id that requests must expect; None accepts any."""
        self.report: bytes | None = None
        """Body of all health checks and reports in place of a proper one."""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._blockers: list[socket.socket] = []
        self._hangs = False
        self._reserved: socket.socket | None = None

    async def __aenter__(self) -> "FakeWorker":
        await self._listen(0)
        return self

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.is_running = True
        self.starts += 1

    def crash(self) -> None:
        """Lose all connections and stop listening, as a process that is killed."""
        assert self._server is not None
        self.is_running = False
        self._hangs = self.crash_kind is CrashKind.HANGS
        if self.crash_kind in (CrashKind.REFUSES, CrashKind.UNREACHABLE):
            self._server.close()
        port = int(self.address.rpartition(":")[2])
        if self.crash_kind is CrashKind.UNREACHABLE:
            self._blockers = _block_port(port)
        else:
            self.reset_connections()
        if self.crash_kind is CrashKind.REFUSES:
            # Keeps the port from being given to another socket until the successor listens.
            self._reserved = _bind(port)

    def reset_connections(self) -> None:
        """Reset all connections while the worker lives on."""
        for writer in list(self._writers):
            _reset(writer)

    async def restart(self) -> None:
        """Listen again at the same address after a crash."""
        for blocker in self._blockers:
            blocker.close()
        self._blockers.clear()
        if self._hangs or self.crash_kind is CrashKind.UNREACHABLE:
            self.reset_connections()
        self._hangs = False
        if self.crash_kind in (CrashKind.RESTARTS, CrashKind.HANGS):
            self.is_running = True
            self.starts += 1
            return
        await self._listen(int(self.address.rpartition(":")[2]))
        self._release_port()

    def _release_port(self) -> None:
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        for blocker in self._blockers:
            blocker.close()
        self._release_port()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        self.connections += 1
        number = self.connections
        try:
            while await self._serve_one(reader, writer, number):
                await self._wait_if_silent()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.disconnects += 1
        except asyncio.CancelledError:
            # The streams of asyncio would log it as an error.
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            return False
        await self._wait_if_silent()
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if "request-id" not in headers:
            self.health_checks += 1
        if "request-id" not in headers:
            self._answer_check(writer, headers)
            return True
        if self.worker_id is not None and headers.get("expect-instance") != self.worker_id:
            request_id = headers["request-id"]
            lines = f"Request-Id: {request_id}\r\nInstance: {self.worker_id}\r\n"
            head = f"HTTP/1.1 421 Some\r\n{lines}Content-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return True
        received = ReceivedRequest(method, target, headers, body, number)
        self.received.append(received)
        response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        if self.fatal_body is not None and self.fatal_body in body:
            response = replace(response, crash=True)
        if response.crash:
            starts = self.starts
            await asyncio.sleep(response.crash_after_seconds)
            if starts != self.starts or not self.is_running:
                return False
            self.crashes.append(received)
            if not response.chunks:
                self.on_crash()
        disconnect = asyncio.ensure_future(reader.read(1)) if response.pause_seconds else None
        try:
            return await self._respond(writer, response, headers.get("request-id", ""), disconnect)
        finally:
            if disconnect is not None:
                disconnect.cancel()
                await asyncio.gather(disconnect, return_exceptions=True)

    def _answer_check(self, writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
        """Answer a health check or a request for a report, whichever worker it expects."""
        worker_id = self.worker_id or headers.get("expect-instance", "")
        report = self.report
        if report is None:
            report = json.dumps({"born": self.started_ms} if self.started_ms else {}).encode()
        head = f"HTTP/1.1 200 OK\r\nInstance: {worker_id}\r\nContent-Length: {len(report)}\r\n\r\n"
        writer.write(head.encode() + report)

    async def _wait_if_silent(self) -> None:
        """Never return while the crashed worker's connections get no bytes."""
        if self._blockers or self._hangs:
            await asyncio.sleep(3600)

    async def _send_chunks(
        self,
        writer: asyncio.StreamWriter,
        response: FakeResponse,
        disconnect: "asyncio.Future[bytes] | None",
    ) -> None:
        for chunk in response.chunks:
            await self._wait_if_silent()
            writer.write(chunk if response.unframed else _chunk(chunk))
            await writer.drain()
            if disconnect is not None:
                await asyncio.wait([disconnect], timeout=response.pause_seconds)
                if disconnect.done():
                    raise ConnectionError

    async def _send_endlessly(self, writer: asyncio.StreamWriter, response: FakeResponse) -> None:
        """Repeat bytes until the connection is closed."""
        block = response.endless if response.body is not None else _chunk(response.endless)
        while True:
            writer.write(block)
            await writer.drain()
            self.endless_bytes += len(block)

    async def _drop(self, writer: asyncio.StreamWriter, response: FakeResponse) -> None:
        """Lose the connection, and crash after it if the response says so."""
        writer.write(response.extra_before)
        await writer.drain()
        if response.crash_after_reset_seconds is not None:
            _reset(writer)
            await asyncio.sleep(response.crash_after_reset_seconds)
            if response.crash and self.is_running:
                self.crash()
        elif response.reset:
            await asyncio.sleep(0.02)
            _reset(writer)

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        response: FakeResponse,
        request_id: str,
        disconnect: "asyncio.Future[bytes] | None",
    ) -> bool:
        await asyncio.sleep(response.delay_seconds)
        if response.silent:
            await asyncio.sleep(3600)
        if response.drop or response.crash_after_reset_seconds is not None:
            await self._drop(writer, response)
            return False
        if response.crash and (response.crash_after_seconds or not response.chunks):
            self.crash()
            return self.crash_kind is CrashKind.UNREACHABLE
        head = b"" if response.headless else _head(response, request_id)
        writer.write(response.extra_before + head + (response.body or b""))
        await self._send_chunks(writer, response, disconnect)
        if response.endless:
            await self._send_endlessly(writer, response)
        await writer.drain()
        if response.crash:
            self.on_crash()
            self.crash()
            return self.crash_kind is CrashKind.UNREACHABLE
        if response.reset:
            await asyncio.sleep(0.02)
            _reset(writer)
            return False
        if response.cut or response.unframed:
            return False
        writer.write((b"0\r\n\r\n" if response.body is None else b"") + response.extra_after)
        await writer.drain()
        return True


def _reset(writer: asyncio.StreamWriter) -> None:
    if writer.transport.is_closing():
        return
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _bind(port: int) -> socket.socket:
    """Return a socket that is bound to a loopback port and does not listen."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", port))
    return bound


def _block_port(port: int) -> list[socket.socket]:
    """Return sockets that keep a loopback port open without accepting connections."""
    listener = _bind(port)
    listener.listen(0)
    blockers = [listener]
    # A queue of length 0 still holds one connection.
    for _ in range(2):
        blocker = socket.socket()
        blocker.setblocking(False)
        blocker.connect_ex(("127.0.0.1", port))
        blockers.append(blocker)
    return blockers


def _head(response: FakeResponse, request_id: str) -> bytes:
    headers = {"Request-Id": request_id, **response.headers}
    if response.signed:
        headers["Response-Stamp"] = "stamp-" + request_id
    if not response.unframed and response.body is not None:
        headers["Content-Length"] = str(len(response.body))
    elif not response.unframed:
        headers["Transfer-Encoding"] = "chunked"
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {response.status} Some\r\n{lines}\r\n".encode()


def _chunk(chunk: bytes) -> bytes:
    return f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n"
