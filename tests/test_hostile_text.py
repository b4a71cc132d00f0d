"""Texts from workers that no sound one sends, read by real nodes."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from fake_platform import RETAINED, SAFE, STREAM, FakePlatform, configuration, wait_until
from fake_worker import FakeResponse, FakeWorker, events
from foxwinch.service_tasks import FAILED_SERVICE

START_MS = 1_790_000_000_000
LAST_EVENT = 6
LISTING_SECONDS = 0.1
"""Time from the first worker's request to its response, in which the second one is listed."""
REPORTS = {
    "deep": b"[" * 20_000,
    "deep objects": b'{"born":' * 10_000,
    "large number": b'{"born": %s}' % (b"9" * 4_000),
    "too many digits": b'{"born": %s}' % (b"9" * 5_000),
    "number with an exponent": b'{"born": 1e400}',
    "not UTF-8": b'{"born": "\xff"}',
    "surrogate": b'{"born": "\\ud800"}',
    "text": b"born",
    "empty": b"",
}
EVENT_IDS = {
    "many digits": b"9" * 5_000,
    "20 digits": b"9" * 20,
    "skips events": b"6",
    "falls": b"1",
    "negative": b"-4",
    "not a number": b"four",
    "other digits": "\u0664".encode(),
}


class FailedTasks:
    """Collects the contexts of failed tasks, each of which would end a node's process."""

    def __init__(self):
        self.failures = []
        asyncio.get_running_loop().set_exception_handler(self._handle)

    def _handle(self, loop, context):
        self.failures.append(context)

    def check(self):
        assert not [each for each in self.failures if FAILED_SERVICE in each], self.failures


@asynccontextmanager
async def two_workers(first, second):
    """Provide a platform with a node; only the first worker is listed."""
    async with FakePlatform([first, second]) as platform:
        platform.model.put("op", "config", configuration())
        platform.model.remove("servers", "w1")
        await platform.start_node()
        failed = FailedTasks()
        yield platform
        failed.check()


# Guards against a report whose decoding fails in a way that counts as a violated invariant and ends
# each node that reads it.
@pytest.mark.parametrize("report", REPORTS)
@pytest.mark.parametrize("started_ms", [None, START_MS])
async def test_no_report_of_a_worker_ends_a_node(started_ms, report):
    odd = FakeWorker(FakeResponse(drop=True))
    odd.report = REPORTS[report]
    async with two_workers(odd, FakeWorker(FakeResponse())) as platform:
        (node,) = platform.nodes
        if started_ms is not None:
            platform.list_worker(0, born=started_ms)
            await wait_until(lambda: started_of(node, "w0"), started_ms)
        assert (await platform.request(node, SAFE, "r1")).status == 502
        await wait_until(lambda: was_checked(odd), True)
        platform.list_worker(1)
        await wait_until(lambda: count_workers(node), 2)
        for number in range(4):
            reply = await platform.request(node, SAFE, f"s{number}")
            assert reply.status == 200


async def started_of(node, worker_id):
    """Return the start of a worker as a node knows it."""
    workers = node.node.routing.directory.known_workers()
    return next((each.started_ms for each in workers if each.worker_id == worker_id), None)


async def was_checked(worker):
    """Return whether a worker's report or health was asked for."""
    return worker.health_checks > 0


async def count_workers(node):
    """Return the number of workers that a node knows."""
    return len(node.node.routing.directory.known_workers())


def with_id(number, event_id):
    """Return an event whose id is replaced."""
    return events(number, number)[0].replace(b"id: %d" % number, b"id: " + event_id)


# Guards against an event id that is taken for progress or stops the stream's request with 500: the
# caller got a complete response without the events between (ORDER).
@pytest.mark.parametrize("position", [1, 4])
@pytest.mark.parametrize("event_id", EVENT_IDS)
@pytest.mark.parametrize("path", [STREAM, RETAINED])
async def test_a_stream_with_an_odd_event_id_is_complete_or_cut(path, event_id, position):
    if EVENT_IDS[event_id] == b"%d" % position:
        pytest.skip("the id is the expected one")
    odd = [*events(1, position - 1), with_id(position, EVENT_IDS[event_id])]
    first = FakeWorker(FakeResponse(body=None, chunks=odd, cut=True, delay_seconds=LISTING_SECONDS))
    rest = events(position, LAST_EVENT) if path == STREAM else events(1, LAST_EVENT)
    second = FakeWorker(FakeResponse(body=None, chunks=rest))
    async with two_workers(first, second) as platform:
        (node,) = platform.nodes
        opening = asyncio.ensure_future(platform.request_turn(node, "r1", path=path))
        await wait_until(lambda: count_received(first), 1)
        platform.list_worker(1)
        reply = await opening
        if reply.is_complete and reply.status == 200:
            assert reply.body == b"".join(events(1, LAST_EVENT))
        else:
            assert reply.status in (200, 502, 503)


async def count_received(worker):
    """Return the number of requests that a worker received."""
    return len(worker.received)
