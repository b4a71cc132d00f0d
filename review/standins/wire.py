"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
from typing import NamedTuple


class Head(NamedTuple):
    """The first line and the headers of a message, header names in lower case."""

    first: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Return the status of a response head."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read one message head; None if the peer closed the connection before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = raw.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(first, headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body that follows a head with a length or with chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_head(first: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a message head."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{lines}\r\n".encode("latin-1")


def encode_message(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message with a length."""
    return encode_head(first, {**headers, "Content-Length": str(len(body))}) + body


def encode_chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
