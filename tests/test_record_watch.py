"""Tests of table watches on virtual time: changes, truncated history, stale reads, outages."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from foxwinch.emulator.record_store import RecordStoreModel, StoreFault
from foxwinch.platform.connections import CONNECT_TIMEOUT_SECONDS
from foxwinch.records.ports import MAX_CONDITIONS
from foxwinch.records.watch import (
    RESPONSE_GRACE_SECONDS,
    RETRY_BACKOFF,
    WAIT_SECONDS,
    TableWatch,
    watch_wait_seconds,
)
from foxwinch.service_tasks import ServiceTasks
from virtual_clock import VirtualClock

pytestmark = pytest.mark.looptime
NEW_RESPONSE_SECONDS = 0.1
"""Time for a new connection and its first response, several times that of the platform's store."""


class WatchRecorder:
    """A running watch and the changes that it delivered."""

    def __init__(self, model, keys=()):
        self.values = {}
        self.versions = []
        self.since = []
        self.watch = TableWatch(model, VirtualClock(), "t", self.take, keys=keys)
        self.tasks = ServiceTasks("watch")
        self.tasks.start(self.watch.run())

    def take(self, read, is_full):
        if is_full:
            self.values.clear()
        self.versions.append(read.version)
        self.since.append(self.watch.changes_since)
        for row in read.rows:
            if row.value is None:
                self.values.pop(row.row.key, None)
            else:
                self.values[row.row.key] = row.value


@pytest.fixture
async def model():
    return RecordStoreModel(VirtualClock())


@asynccontextmanager
async def watching(model, keys=()):
    """Run a watch within the test, because fixtures are set up outside its virtual time."""
    model.put("t", "a", b"1")
    recorder = WatchRecorder(model, keys)
    await asyncio.sleep(0.1)
    yield recorder
    await recorder.tasks.stop()


async def test_changes_and_removals_arrive(model):
    async with watching(model) as recorder:
        assert recorder.values == {"a": b"1"}
        model.put("t", "b", b"2")
        model.put("other", "c", b"3")
        model.remove("t", "a")
        await asyncio.sleep(0.1)
        assert recorder.values == {"b": b"2"}


async def test_watch_recovers_from_truncated_history(model):
    async with watching(model) as recorder:
        model.store_faults.fault = StoreFault.BUSY
        await asyncio.sleep(1.0)
        model.remove("t", "a")
        model.put("t", "b", b"2")
        model.drop_history()
        model.store_faults.fault = StoreFault.NONE
        await asyncio.sleep(3.0)
        assert recorder.values == {"b": b"2"}


async def test_stale_read_never_reverts_the_table(model):
    async with watching(model) as recorder:
        model.serve_stale_reads()
        model.put("t", "a", b"2")
        await asyncio.sleep(0.1)
        model.drop_history()
        model.put("t", "a", b"3")
        model.drop_history()
        await asyncio.sleep(2.0)
        assert recorder.values == {"a": b"3"}
        model.store_faults.stale_reads = False
        await asyncio.sleep(2.0)
        assert recorder.values == {"a": b"3"}
        assert recorder.versions == sorted(recorder.versions)


@asynccontextmanager
async def disconnected_then_stale_reads(model):
    """Hide changes made within the context: the watch is disconnected, then history is truncated.

    Reads stay stale afterwards.
    """
    await asyncio.sleep(0.5)
    model.store_faults.delay_seconds = 0.004
    model.serve_stale_reads()
    model.store_faults.fault = StoreFault.UNRESPONSIVE
    yield
    model.drop_history()
    await asyncio.sleep(1.0)
    model.store_faults.fault = StoreFault.NONE


async def test_missed_removal_arrives_despite_stale_reads(model):
    async with watching(model) as recorder:
        async with disconnected_then_stale_reads(model):
            model.remove("t", "a")
        await asyncio.sleep(4.0)
        assert recorder.values == {}


async def test_missed_row_with_a_watched_key_arrives_despite_stale_reads(model):
    async with watching(model, keys=("b",)) as recorder:
        async with disconnected_then_stale_reads(model):
            model.put("t", "b", b"2")
        await asyncio.sleep(4.0)
        assert recorder.values == {"a": b"1", "b": b"2"}


async def test_missed_new_row_arrives_once_reads_are_current(model):
    async with watching(model) as recorder:
        async with disconnected_then_stale_reads(model):
            model.put("t", "b", b"2")
        await asyncio.sleep(4.0)
        assert recorder.watch.age_seconds() > 4.0
        model.store_faults.stale_reads = False
        await asyncio.sleep(2.0)
        assert recorder.values == {"a": b"1", "b": b"2"}
        assert recorder.watch.age_seconds() < 2.5


async def test_table_beyond_the_condition_limit_is_read_until_it_is_current(model):
    for number in range(MAX_CONDITIONS):
        model.put("t", f"k{number}", b"1")
    async with watching(model) as recorder:
        async with disconnected_then_stale_reads(model):
            model.put("t", "a", b"2")
        await asyncio.sleep(4.0)
        assert recorder.values["a"] == b"1"
        model.store_faults.stale_reads = False
        await asyncio.sleep(2.0)
        assert recorder.values["a"] == b"2"


@pytest.mark.parametrize("nodes", [1, 3])
async def test_call_rate_is_limited_while_reads_are_stale(model, nodes):
    async with watching(model):
        other_recorders = [WatchRecorder(model) for _ in range(nodes - 1)]
        async with disconnected_then_stale_reads(model):
            model.put("t", "b", b"2")
        await asyncio.sleep(3.0)
        before = replace(model.calls)
        await asyncio.sleep(10.0)
        assert model.calls.writes - before.writes <= 10 * nodes
        assert model.calls.reads - before.reads <= 60 * nodes
        assert model.calls.feeds == before.feeds
        for other_recorder in other_recorders:
            await other_recorder.tasks.stop()


async def test_changes_since_covers_the_gap_in_the_watch(model):
    async with watching(model) as recorder:
        await asyncio.sleep(5.0)
        model.put("t", "a", b"2")
        await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        assert recorder.since[0] == float("-inf")
        assert now - recorder.since[-1] < 0.2
        model.store_faults.fault = StoreFault.BUSY
        await asyncio.sleep(4.0)
        outage_end = asyncio.get_running_loop().time()
        model.put("t", "a", b"3")
        model.store_faults.fault = StoreFault.NONE
        await asyncio.sleep(1.0)
        assert recorder.values == {"a": b"3"}
        assert outage_end - recorder.since[-1] > 2.0


async def test_refused_transaction_does_not_block_a_current_read(model):
    async with watching(model) as recorder:
        model.store_faults.partitions = frozenset([""])
        model.put("t", "a", b"2")
        model.drop_history()
        await asyncio.sleep(1.0)
        assert recorder.values == {"a": b"2"}


@pytest.mark.parametrize(
    "fault", [StoreFault.BUSY, StoreFault.RATE_LIMITED, StoreFault.UNRESPONSIVE]
)
async def test_age_grows_while_the_store_is_unavailable(model, fault):
    async with watching(model) as recorder:
        await asyncio.sleep(2.5)
        assert recorder.watch.age_seconds() < 2.5
        model.store_faults.fault = fault
        await asyncio.sleep(10.0)
        assert recorder.watch.age_seconds() > 7.0
        model.store_faults.fault = StoreFault.NONE
        model.put("t", "a", b"9")
        await asyncio.sleep(4.0)
        assert recorder.values == {"a": b"9"}


# Guards against changes that arrive late after an outage, delayed by the hold time of calls.
@pytest.mark.parametrize("away_seconds", [1.9, 4.0, 4.5, 7.3])
async def test_changes_arrive_soon_after_an_unresponsive_store_recovers(model, away_seconds):
    async with watching(model) as recorder:
        await asyncio.sleep(3.0)
        model.store_faults.fault = StoreFault.UNRESPONSIVE
        await asyncio.sleep(away_seconds + 2 * WAIT_SECONDS)
        model.store_faults.fault = StoreFault.NONE
        model.put("t", "a", b"2")
        await asyncio.sleep(
            RESPONSE_GRACE_SECONDS + RETRY_BACKOFF.cap_seconds + NEW_RESPONSE_SECONDS
        )
        assert recorder.values == {"a": b"2"}


async def test_call_rate_is_limited_while_the_store_is_down(model):
    async with watching(model):
        model.store_faults.fault = StoreFault.BUSY
        await asyncio.sleep(1.0)
        before = model.calls.feeds
        await asyncio.sleep(10.0)
        assert model.calls.feeds - before < 10.0 / 0.1


# Guards against a late configuration: the hold time, response timeout, backoff waits and connect
# timeout of one lost call and one failed attempt together exceeded the bound.
@pytest.mark.parametrize("bound_seconds", [3.0, 4.0, 10.0])
def test_longest_recovery_from_an_unresponsive_connection_is_within_the_bound(bound_seconds):
    lost = watch_wait_seconds(bound_seconds) + RESPONSE_GRACE_SECONDS
    waits = sum(RETRY_BACKOFF.wait_seconds(attempt, 1.0) for attempt in range(2))
    assert lost + waits + CONNECT_TIMEOUT_SECONDS + NEW_RESPONSE_SECONDS <= bound_seconds


@pytest.mark.parametrize("seconds", [2.0, 3.0, 4.0])
async def test_lost_response_of_a_watch_is_detected_in_time(seconds):
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    model.put("t", "a", b"1")
    received_event = asyncio.Event()

    def take(read, _):
        if b"2" in [row.value for row in read.rows]:
            received_event.set()

    wait_seconds = watch_wait_seconds(seconds)
    watch = TableWatch(model, clock, "t", take, wait_seconds)
    following = asyncio.ensure_future(watch.run())
    await asyncio.sleep(0.5)
    model.store_faults.fault = StoreFault.UNRESPONSIVE
    await asyncio.sleep(wait_seconds + 0.1)
    model.put("t", "a", b"2")
    model.store_faults.fault = StoreFault.NONE
    began = clock.monotonic()
    await received_event.wait()
    following.cancel()
    assert clock.monotonic() - began <= seconds
