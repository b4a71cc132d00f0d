"""Callers that read a large response slowly: each request gets one response, its own."""

import asyncio
import socket

import pytest

from fake_platform import HOST, SAFE, UNSAFE, FakePlatform, configuration, routes
from fake_worker import FakeResponse, FakeWorker

TIMEOUT_SECONDS = 0.4
LARGE_BODY = b"x" * (8 * 1024 * 1024)
RECEIVE_BUFFER_BYTES = 16_384


def routes_with_timeout():
    return [{**route, "timeout_ms": 1e3 * TIMEOUT_SECONDS} for route in routes()]


async def open_connection(node):
    """Return a connection to a node with a small receive buffer, so that its writes wait."""
    host, _, port = node.address_of("callers").rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    return await asyncio.open_connection(sock=connection, limit=RECEIVE_BUFFER_BYTES)


async def send(writer, path, request_id):
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
    writer.write(f"{head}Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n".encode())
    await writer.drain()


async def receive(reader):
    """Return the status, request id and body of the next response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    body = await reader.readexactly(int(headers["content-length"]))
    return int(status.split(" ")[1]), headers["request-id"], body


# Guards against a second response behind a response that is still being sent (MIXED).
@pytest.mark.parametrize("path", [SAFE, UNSAFE])
async def test_a_timeout_while_a_response_is_sent_adds_no_other_response(path):
    worker = FakeWorker(FakeResponse(body=LARGE_BODY), FakeResponse(body=b"second"))
    async with FakePlatform([worker]) as platform:
        platform.model.put("op", "config", configuration(routes=routes_with_timeout()))
        node = await platform.start_node()
        reader, writer = await open_connection(node)
        await send(writer, path, "r1")
        await asyncio.sleep(2 * TIMEOUT_SECONDS)
        assert await receive(reader) == (200, "r1", LARGE_BODY)
        await send(writer, path, "r2")
        assert await receive(reader) == (200, "r2", b"second")
        writer.close()


# Guards against a response that is kept in memory for a caller that never reads it.
async def test_a_response_to_a_caller_that_does_not_read_is_aborted():
    worker = FakeWorker(FakeResponse(body=LARGE_BODY))
    async with FakePlatform([worker]) as platform:
        platform.model.put("op", "config", configuration(routes=routes_with_timeout()))
        node = await platform.start_node()
        reader, writer = await open_connection(node)
        await send(writer, SAFE, "r1")
        await asyncio.sleep(TIMEOUT_SECONDS + 4.0)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await receive(reader)
        writer.close()
