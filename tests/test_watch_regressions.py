"""Regressions: what a node knows of configuration and workers must never stay behind the store."""

import asyncio

import pytest

from fake_platform import SAFE, FakePlatform, configuration, wait_until
from fake_worker import FakeResponse, FakeWorker, events
from foxwinch.emulator.record_store import Mood, RecordStoreModel
from foxwinch.records.watch import TableWatch
from foxwinch.service_tasks import TaskFailedError
from virtual_clock import VirtualClock

KEPT_CONNECTIONS = 8
WATCHES = 2
STREAM_ANSWER = FakeResponse(body=None, chunks=events(1, 3))


def sited(*workers):
    site = FakePlatform(list(workers))
    site.model.put("op", "config", configuration())
    return site


async def version_in_force(node):
    return node.node.routing.configuration.version


def held_calls_lost(node):
    """Return how many held calls of watches ended without an answer."""
    counter = node.node.metrics.store_calls.labels("rows-feed", "store_unavailable")
    return counter._value.get()


# Guards against a configuration that was late because a watch that had timed out on a silent
# connection took another silent one from the pool.
async def test_a_watch_does_not_wait_again_on_a_kept_connection_that_went_silent():
    async with sited(FakeWorker(STREAM_ANSWER)) as site:
        node = await site.start_node()

        async def programs():
            return node.node.budgets.programs

        site.model.moods.delay_seconds = 0.1
        turns = (
            site.request_turn(node, f"r{number}", Program=f"p{number}")
            for number in range(KEPT_CONNECTIONS)
        )
        assert {reply.status for reply in await asyncio.gather(*turns)} == {200}
        site.model.moods.delay_seconds = 0.0
        await wait_until(programs, 0)
        site.store_proxy.silence()
        site.model.put("op", "config", configuration(version=2))
        while await version_in_force(node) != 2:
            assert held_calls_lost(node) <= WATCHES
            await asyncio.sleep(0.01)


UNREADABLE_DOCUMENTS = {
    "value is no base64": {"value": "abc"},
    "value is a number": {"value": 7},
    "value is missing": {"value": None},
    "version is missing": {"ver": None},
}
UNREADABLE_ENTRIES = {
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


def entry_of(site, number, changes):
    return changes if isinstance(changes, bytes) else site.entry_of(number, **changes)


async def until_listed(node, slots):
    """Wait until just these workers are listed, by id with their slots."""
    directory = node.node.routing.directory

    async def heard():
        return {worker.worker_id: worker.slots for worker in directory.all_workers()}

    await wait_until(heard, slots)


async def statuses(site, node, count, first=0):
    return [
        (await site.request(node, SAFE, f"r{first + number}")).status for number in range(count)
    ]


# Guards against drains that no node heard of while one row of the list could not be decoded.
@pytest.mark.parametrize("found", ["on the first read", "as a change"])
@pytest.mark.parametrize("document", UNREADABLE_DOCUMENTS.values(), ids=UNREADABLE_DOCUMENTS)
async def test_a_row_that_cannot_be_decoded_hides_no_drain(document, found):
    async with sited(FakeWorker(FakeResponse()), FakeWorker(FakeResponse())) as site:
        site.handlers.foreign["x"] = document
        if found == "on the first read":
            site.model.put("servers", "x", b"{}")
        node = await site.start_node()
        site.model.put("servers", "x", b"{}")
        site.list_worker(0, state="draining")
        await until_listed(node, {"w1": 4})


# Guards against entries of other writers that ended the watch, or were taken for workers in use.
@pytest.mark.parametrize("entry", UNREADABLE_ENTRIES.values(), ids=UNREADABLE_ENTRIES)
async def test_an_entry_that_names_no_worker_is_passed_over_and_the_others_hold(entry):
    async with sited(FakeWorker(FakeResponse()), FakeWorker(FakeResponse())) as site:
        node = await site.start_node()
        site.model.put("servers", "x", entry_of(site, 0, entry))
        site.list_worker(1, slots=5)
        await until_listed(node, {"w0": 4, "w1": 5})
        assert await statuses(site, node, 4) == [200] * 4


# Guards against requests at a worker whose newest entry cannot be read or states that it left.
@pytest.mark.parametrize("entry", UNREADABLE_ENTRIES.values(), ids=UNREADABLE_ENTRIES)
async def test_a_worker_whose_entry_becomes_unreadable_gets_no_work(entry):
    async with sited(FakeWorker(FakeResponse()), FakeWorker(FakeResponse())) as site:
        node = await site.start_node()
        site.model.put("servers", "w0", entry_of(site, 0, entry))
        site.list_worker(1, slots=5)
        await until_listed(node, {"w1": 5})
        assert await statuses(site, node, 4) == [200] * 4
        assert site.workers[0].received == []


# Guards against an entry of another writer that displaced the worker at the address it names.
async def test_an_entry_of_an_unknown_service_displaces_no_worker_at_its_address():
    async with sited(FakeWorker(FakeResponse())) as site:
        node = await site.start_node()
        site.model.put("servers", "x", entry_of(site, 0, {"service": "nobody"}))
        await until_listed(node, {"w0": 4, "x": 4})
        assert await statuses(site, node, 4) == [200] * 4


# Guards against a change that was made while the watch was deaf, its history dropped, and that an
# old read then hid for as long as reads were old.
@pytest.mark.looptime
async def test_a_change_of_a_deaf_moment_is_heard_while_reads_are_old():
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    model.moods.delay_seconds = 0.004
    model.put("t", "a", b"1")
    values = {}

    def take(read, whole):
        values.update({row.row.key: row.value for row in read.rows})

    watch = TableWatch(model, clock, "t", take)
    following = asyncio.ensure_future(watch.run())
    await asyncio.sleep(0.5)
    model.hold_reads()
    model.moods.mood = Mood.SILENT
    model.put("t", "a", b"2")
    model.forget_history()
    await asyncio.sleep(1.0)
    model.moods.mood = Mood.WELL
    calls_before = model.calls.reads + model.calls.feeds
    await asyncio.sleep(4.0)
    following.cancel()
    assert values == {"a": b"2"}
    assert model.calls.reads + model.calls.feeds - calls_before < 40, "asked without a pause"


# Guards against a node that went on for ever by what it knew, after the task of a watch had ended.
async def test_a_watch_that_fails_ends_the_process():
    async with sited(FakeWorker(FakeResponse())) as site:
        node = await site.start_node()
        running = asyncio.ensure_future(node.run())
        routing = node.node.routing

        def fail(row):
            raise RuntimeError("a broken invariant")

        routing._decode_worker = fail
        site.list_worker(0, slots=5)
        await wait_until(lambda: site.ready(node), 503)
        with pytest.raises(TaskFailedError, match="serving"):
            await running
