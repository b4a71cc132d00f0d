"""Workers that send bytes without end, in a head or a body, until their caller closes."""

import asyncio

import pytest

from fake_platform import RETAINED, SAFE, STREAM, UNSAFE, FakePlatform, configuration, wait_until
from fake_worker import FakeResponse, FakeWorker, events, raw_response
from foxwinch.core.streams import MAX_EVENT_BYTES
from foxwinch.platform.worker_client import MAX_BUFFERED_BYTES, MAX_RESPONSE_BYTES

BLOCK = b"x" * 65_536
REQUESTS = 6
SOCKET_BUFFER_BYTES = 16 * 1024 * 1024
"""Bytes that the sockets of both sides may hold."""
ENDLESS_HEADS = {
    "junk": FakeResponse(headless=True, body=b"", endless=BLOCK),
    "line": FakeResponse(headless=True, body=b"HTTP/1.1 200 OK\r\nX: ", endless=BLOCK),
    "headers": FakeResponse(
        headless=True, body=b"HTTP/1.1 200 OK\r\n", endless=b"X-Header: value\r\n" * 1_000
    ),
    "interim": FakeResponse(
        headless=True, body=b"", endless=b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000
    ),
    "other": FakeResponse(headless=True, body=b"", endless=raw_response("other") * 100),
    "other-body": FakeResponse(
        headless=True,
        body=b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 99999999999\r\n\r\n",
        endless=BLOCK,
    ),
}
ENDLESS_BODIES = {
    "chunked": FakeResponse(body=None, endless=BLOCK),
    "unframed": FakeResponse(unframed=True, endless=BLOCK),
}


def platform_with(*workers):
    platform = FakePlatform(list(workers))
    platform.model.put("op", "config", configuration())
    return platform


async def open_calls(worker):
    """Return the number of connections on which a worker still sends."""
    return len(worker._tasks)


# Guards against a node that buffers an endless body whole, or keeps its worker sending.
@pytest.mark.parametrize("path", [SAFE, UNSAFE, STREAM, RETAINED])
@pytest.mark.parametrize("kind", [*ENDLESS_HEADS, *ENDLESS_BODIES])
async def test_an_endless_response_is_cut_at_a_bound(path, kind):
    worker = FakeWorker((ENDLESS_HEADS | ENDLESS_BODIES)[kind])
    async with platform_with(worker) as platform:
        node = await platform.start_node()
        async with asyncio.timeout(5):
            reply = await platform.request(node, path, "r1")
        assert reply.status in (502, 504)
        assert reply.headers["Request-Id"] == "r1"
        await wait_until(lambda: open_calls(worker), 0)
        is_plain = path in (SAFE, UNSAFE)
        bound = MAX_RESPONSE_BYTES if is_plain else MAX_EVENT_BYTES
        assert worker.endless_bytes <= bound + SOCKET_BUFFER_BYTES


# Guards against a failed request although another worker could serve it.
@pytest.mark.parametrize("kind", [*ENDLESS_HEADS, *ENDLESS_BODIES])
async def test_a_safe_request_is_served_elsewhere_after_an_endless_response(kind):
    endless = FakeWorker((ENDLESS_HEADS | ENDLESS_BODIES)[kind])
    async with platform_with(endless, FakeWorker(FakeResponse())) as platform:
        node = await platform.start_node()
        number = 0
        # The choice between equal workers is random.
        while number < REQUESTS or not endless.received:
            reply = await platform.request(node, SAFE, f"r{number}")
            assert (reply.status, reply.body) == (200, b"done")
            number += 1
        assert 1 <= len(endless.received) <= 3


# Guards against large bodies that together exceed the memory of a node.
async def test_concurrent_endless_bodies_share_a_bound():
    worker = FakeWorker(ENDLESS_BODIES["chunked"])
    async with platform_with(worker) as platform:
        node = await platform.start_node()
        count = 2 * MAX_BUFFERED_BYTES // MAX_RESPONSE_BYTES
        replies = await asyncio.gather(
            *(platform.request(node, UNSAFE, f"r{number}") for number in range(count))
        )
        assert {reply.status for reply in replies} <= {502, 504}
        worker.responses = [FakeResponse()]
        assert (await platform.request(node, UNSAFE, "last")).status == 200


# Guards against a bound that refuses the large responses of sound workers.
async def test_a_large_response_is_passed_on():
    body = bytes(MAX_RESPONSE_BYTES // 2)
    async with platform_with(FakeWorker(FakeResponse(body=body))) as platform:
        node = await platform.start_node()
        reply = await platform.request(node, SAFE, "r1")
        assert (reply.status, len(reply.body)) == (200, len(body))


# Guards against a stream that is lost after an endless event of one worker.
async def test_a_stream_is_resumed_elsewhere_after_an_endless_event():
    first = FakeResponse(body=None, chunks=events(1, 2), endless=BLOCK)
    rest = FakeResponse(body=None, chunks=events(3, 5))
    async with platform_with(FakeWorker(first, rest), FakeWorker(first, rest)) as platform:
        node = await platform.start_node()
        reply = await platform.request(node, STREAM, "r1")
        assert reply.body.startswith(b"".join(events(1, 2)))
        assert BLOCK[:100] not in reply.body
