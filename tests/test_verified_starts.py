"""Workers that are back under their id, and are not listed yet."""

import asyncio

import pytest

from fake_platform import STREAM, FakePlatform, configuration, routes
from fake_worker import FakeResponse, FakeWorker, events

LISTED_MS = 1_790_000_000_000
COMPLETE = FakeResponse(body=None, chunks=events(1, 5))
REQUESTS = 12


def started_worker(worker_id, started_ms):
    worker = FakeWorker(COMPLETE)
    worker.worker_id, worker.started_ms = worker_id, started_ms
    return worker


async def listed_platform(platform):
    """Start a node that knows all workers as started at `LISTED_MS`."""
    platform.model.put("op", "config", configuration(routes=routes(attempts=1)))
    for number in range(len(platform.workers)):
        platform.list_worker(number, born=LISTED_MS)
    return await platform.start_node()


# Guards against a stream that is bound to the version of a start that has ended (ORDER).
async def test_a_stream_does_not_begin_at_another_start_than_the_listed_one():
    workers = [started_worker("w0", LISTED_MS + 1), started_worker("w1", LISTED_MS)]
    async with FakePlatform(workers) as platform:
        node = await listed_platform(platform)
        for number in range(REQUESTS):
            response = await platform.request(node, STREAM, f"s{number}")
            assert response.status == 200
        assert not workers[0].received
        assert len(workers[1].received) == REQUESTS


# Guards against the same for streams that run at once, each on a connection of its own.
async def test_verified_connections_are_not_shared_by_streams_that_run_at_once():
    workers = [started_worker("w0", LISTED_MS)]
    workers[0].responses = [FakeResponse(body=None, chunks=events(1, 5), pause_seconds=0.02)]
    async with FakePlatform(workers) as platform:
        node = await listed_platform(platform)
        for turn in range(3):
            sent = [platform.request(node, STREAM, f"s{turn}-{number}") for number in range(4)]
            for response in await asyncio.gather(*sent):
                assert (response.status, response.is_complete) == (200, True)
        assert workers[0].connections < 3 * 4


# Guards against a service without streams as its workers tell their starts in the list only.
@pytest.mark.parametrize("report", [b"", b"{}", b'{"born": "x"}', b'{"born": true}', b"\xff"])
async def test_a_stream_begins_at_a_worker_whose_report_tells_no_start(report):
    workers = [started_worker("w0", LISTED_MS)]
    workers[0].report = report
    async with FakePlatform(workers) as platform:
        node = await listed_platform(platform)
        assert (await platform.request(node, STREAM, "s")).status == 200
