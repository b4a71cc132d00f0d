"""Stand-in for a client: connections that send requests and read answers in order."""

import asyncio
import secrets
import socket
from dataclasses import dataclass, field

from standins.wire import Head, encode_message, read_chunk, read_head

CONNECT_SECONDS = 1.0
"""The time that the pages' clients give a new connection."""
PIECE_BYTES = 16_384
RECEIVE_BUFFER_BYTES = 65_536
ETHERNET_SEGMENT_BYTES = 1_460
"""The segment size of a usual network; that of the loopback device is 45 times as large."""


def new_request_id() -> str:
    """Return a request id of 16 hexadecimal digits."""
    return secrets.token_hex(8)


@dataclass
class Answer:
    """What a client received for one request."""

    status: int | None = None
    """None if the connection ended before a head."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    def describe(self) -> str:
        """Return a short text for the record."""
        body = "whole" if self.whole else "cut short"
        answered = self.headers.get("request-id")
        return f"{self.status} for {answered}, {len(self.body)} bytes, {body}"


@dataclass
class Connection:
    """One connection to a node."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    bytes_per_second: float | None = None
    """The rate of the client's link; None for one without a limit."""

    @classmethod
    async def open(cls, port: int, bytes_per_second: float | None = None) -> "Connection":
        """Connect to a loopback port; a link with a rate has the usual small windows."""
        sock = socket.socket()
        sock.setblocking(False)
        if bytes_per_second is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        except BaseException:
            sock.close()
            raise
        reader, writer = await asyncio.open_connection(sock=sock, limit=PIECE_BYTES)
        return cls(reader, writer, bytes_per_second)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def send(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Send one request."""
        self.writer.write(encode_message(f"{method} {path} HTTP/1.1", headers, body))
        await self.writer.drain()

    async def receive(self) -> Answer:
        """Read the next answer; an end of the connection makes it incomplete."""
        answer = Answer()
        try:
            head = await read_head(self.reader)
            if head is None:
                return answer
            answer.status, answer.headers = head.status, head.headers
            await self._receive_body(head, answer)
            answer.whole = True
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        return answer

    async def _receive_body(self, head: Head, answer: Answer) -> None:
        if head.headers.get("transfer-encoding", "").lower() != "chunked":
            await self._receive_sized(int(head.headers.get("content-length", 0)), answer)
            return
        while chunk := await read_chunk(self.reader):
            answer.body += chunk

    async def _receive_sized(self, size: int, answer: Answer) -> None:
        pieces = []
        while size > 0:
            piece = await self.reader.read(min(size, PIECE_BYTES))
            if not piece:
                raise asyncio.IncompleteReadError(b"", size)
            pieces.append(piece)
            size -= len(piece)
            if self.bytes_per_second is not None:
                await asyncio.sleep(len(piece) / self.bytes_per_second)
        answer.body = b"".join(pieces)
