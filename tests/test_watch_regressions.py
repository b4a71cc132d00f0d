"""Regression tests: a node's configuration and worker list must not stay behind the store."""

import asyncio

import pytest

from fake_platform import SAFE, FakePlatform, configuration, wait_until
from fake_worker import FakeResponse, FakeWorker, events
from foxwinch.emulator.record_store import RecordStoreModel, StoreFault
from foxwinch.records.watch import TableWatch
from foxwinch.service_tasks import TaskFailedError
from virtual_clock import VirtualClock

IDLE_CONNECTIONS = 8
WATCHES = 2
STREAM_RESPONSE = FakeResponse(body=None, chunks=events(1, 3))


def platform_with_workers(*workers):
    platform = FakePlatform(list(workers))
    platform.model.put("op", "config", configuration())
    return platform


async def version_in_force(node):
    return node.node.routing.configuration.version


def lost_watch_calls(node):
    """Return the number of held watch calls that ended without a response."""
    counter = node.node.metrics.store_calls.labels("rows-feed", "store_unavailable")
    return counter._value.get()


# Guards against a late configuration: a watch that timed out on an unresponsive connection retried
# on another unresponsive connection from the pool.
async def test_watch_does_not_retry_on_an_unresponsive_idle_connection():
    async with platform_with_workers(FakeWorker(STREAM_RESPONSE)) as platform:
        node = await platform.start_node()

        async def programs():
            return node.node.budgets.programs

        platform.model.store_faults.delay_seconds = 0.1
        turns = (
            platform.request_turn(node, f"r{number}", Program=f"p{number}")
            for number in range(IDLE_CONNECTIONS)
        )
        assert {reply.status for reply in await asyncio.gather(*turns)} == {200}
        platform.model.store_faults.delay_seconds = 0.0
        await wait_until(programs, 0)
        platform.store_proxy.stall()
        platform.model.put("op", "config", configuration(version=2))
        while await version_in_force(node) != 2:
            assert lost_watch_calls(node) <= WATCHES
            await asyncio.sleep(0.01)


UNDECODABLE_ROWS = {
    "value is no base64": {"value": "abc"},
    "value is a number": {"value": 7},
    "value is missing": {"value": None},
    "version is missing": {"ver": None},
}
MALFORMED_ENTRIES = {
    "bytes of no encoding": b"\xff\xfe\x00",
    "a list": b"[]",
    "nothing": b"",
    "no fields": b"{}",
    "slots as text": {"slots": "many"},
    "cold time beyond all numbers": {"cold_left_ms": float("inf")},
    "slots beyond all numbers": {"slots": float("inf")},
    "nested too deeply": b"[" * 100_000,
    "no slots": {"slots": None},
    "no slots at all": {"slots": 0},
    "slots as a truth value": {"slots": True},
    "count of entries as text": {"seq": "1"},
    "a start that is no whole number": {"born": 1.5},
    "service as an object": {"service": {"name": "s"}},
    "service as a list": {"service": ["s"]},
    "address as a number": {"address": 17},
    "address without a port": {"address": "127.0.0.1"},
    "zone as a list": {"zone": ["z"]},
    "an unknown state": {"state": "retired"},
    "state as a number": {"state": 1},
    "cold time as an object": {"cold_left_ms": {}},
    "start as text": {"born": "yesterday"},
}


def entry_of(platform, number, changes):
    return changes if isinstance(changes, bytes) else platform.entry_of(number, **changes)


async def wait_until_listed(node, slots):
    """Wait until exactly these workers are listed; `slots` maps worker ids to slots."""
    directory = node.node.routing.directory

    async def listed():
        return {worker.worker_id: worker.slots for worker in directory.all_workers()}

    await wait_until(listed, slots)


async def statuses(platform, node, count, first=0):
    return [
        (await platform.request(node, SAFE, f"r{first + number}")).status for number in range(count)
    ]


# Guards against drains that went unnoticed while one row of the worker list could not be decoded.
@pytest.mark.parametrize("found", ["on the first read", "as a change"])
@pytest.mark.parametrize("document", UNDECODABLE_ROWS.values(), ids=UNDECODABLE_ROWS)
async def test_undecodable_row_hides_no_drain(document, found):
    async with platform_with_workers(
        FakeWorker(FakeResponse()), FakeWorker(FakeResponse())
    ) as platform:
        platform.handlers.row_overrides["x"] = document
        if found == "on the first read":
            platform.model.put("servers", "x", b"{}")
        node = await platform.start_node()
        platform.model.put("servers", "x", b"{}")
        platform.list_worker(0, state="draining")
        await wait_until_listed(node, {"w1": 4})


# Guards against malformed entries of other writers that ended the watch or counted as workers.
@pytest.mark.parametrize("entry", MALFORMED_ENTRIES.values(), ids=MALFORMED_ENTRIES)
async def test_malformed_entry_is_skipped_and_others_are_applied(entry):
    async with platform_with_workers(
        FakeWorker(FakeResponse()), FakeWorker(FakeResponse())
    ) as platform:
        node = await platform.start_node()
        platform.model.put("servers", "x", entry_of(platform, 0, entry))
        platform.list_worker(1, slots=5)
        await wait_until_listed(node, {"w0": 4, "w1": 5})
        assert await statuses(platform, node, 4) == [200] * 4


# Guards against sending requests to a worker whose newest entry is malformed or says that it left.
@pytest.mark.parametrize("entry", MALFORMED_ENTRIES.values(), ids=MALFORMED_ENTRIES)
async def test_worker_whose_entry_becomes_malformed_gets_no_work(entry):
    async with platform_with_workers(
        FakeWorker(FakeResponse()), FakeWorker(FakeResponse())
    ) as platform:
        node = await platform.start_node()
        platform.model.put("servers", "w0", entry_of(platform, 0, entry))
        platform.list_worker(1, slots=5)
        await wait_until_listed(node, {"w1": 5})
        assert await statuses(platform, node, 4) == [200] * 4
        assert platform.workers[0].received == []


# Guards against an entry of another writer that displaced the worker at the same address.
async def test_entry_of_an_unknown_service_displaces_no_worker():
    async with platform_with_workers(FakeWorker(FakeResponse())) as platform:
        node = await platform.start_node()
        platform.model.put("servers", "x", entry_of(platform, 0, {"service": "nobody"}))
        await wait_until_listed(node, {"w0": 4, "x": 4})
        assert await statuses(platform, node, 4) == [200] * 4


# Guards against a missed change: it was made while the watch was disconnected, the history was then
# truncated, and stale reads hid it as long as they lasted.
@pytest.mark.looptime
async def test_missed_change_arrives_despite_stale_reads():
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    model.store_faults.delay_seconds = 0.004
    model.put("t", "a", b"1")
    values = {}

    def take(read, is_full):
        values.update({row.row.key: row.value for row in read.rows})

    watch = TableWatch(model, clock, "t", take)
    following = asyncio.ensure_future(watch.run())
    await asyncio.sleep(0.5)
    model.serve_stale_reads()
    model.store_faults.fault = StoreFault.UNRESPONSIVE
    model.put("t", "a", b"2")
    model.drop_history()
    await asyncio.sleep(1.0)
    model.store_faults.fault = StoreFault.NONE
    calls_before = model.calls.reads + model.calls.feeds
    await asyncio.sleep(4.0)
    following.cancel()
    assert values == {"a": b"2"}
    assert model.calls.reads + model.calls.feeds - calls_before < 40, "asked without a pause"


# Guards against a node that kept running on stale state after the task of a watch had ended.
async def test_failed_watch_ends_the_process():
    async with platform_with_workers(FakeWorker(FakeResponse())) as platform:
        node = await platform.start_node()
        running = asyncio.ensure_future(node.run())
        routing = node.node.routing

        def fail(row):
            raise RuntimeError("a broken invariant")

        routing._decode_worker = fail
        platform.list_worker(0, slots=5)
        await wait_until(lambda: platform.ready(node), 503)
        with pytest.raises(TaskFailedError, match="serving"):
            await running
