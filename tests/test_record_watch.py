"""Watches of the shared store on virtual time: changes, lost history, old reads, outages."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from foxwinch.emulator.record_store import Mood, RecordStoreModel
from foxwinch.platform.connections import CONNECT_TIMEOUT_SECONDS
from foxwinch.records.ports import MAX_CONDITIONS
from foxwinch.records.watch import (
    ANSWER_SECONDS,
    RETRY_BACKOFF,
    WAIT_SECONDS,
    TableWatch,
    watch_wait_seconds,
)
from foxwinch.service_tasks import ServiceTasks
from virtual_clock import VirtualClock

pytestmark = pytest.mark.looptime
NEW_ANSWER_SECONDS = 0.1
"""For a new connection and its first answer: some times what the platform's store takes."""


class Seen:
    """A watch and what it told."""

    def __init__(self, model, keys=()):
        self.values = {}
        self.versions = []
        self.since = []
        self.watch = TableWatch(model, VirtualClock(), "t", self.take, keys=keys)
        self.tasks = ServiceTasks("watch")
        self.tasks.start(self.watch.run())

    def take(self, read, whole):
        if whole:
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
    """Watch within a test: fixtures are set up outside its virtual time."""
    model.put("t", "a", b"1")
    watched = Seen(model, keys)
    await asyncio.sleep(0.1)
    yield watched
    await watched.tasks.stop()


async def test_changes_and_removals_arrive(model):
    async with watching(model) as seen:
        assert seen.values == {"a": b"1"}
        model.put("t", "b", b"2")
        model.put("other", "c", b"3")
        model.remove("t", "a")
        await asyncio.sleep(0.1)
        assert seen.values == {"b": b"2"}


async def test_a_lost_history_is_made_good(model):
    async with watching(model) as seen:
        model.moods.mood = Mood.BUSY
        await asyncio.sleep(1.0)
        model.remove("t", "a")
        model.put("t", "b", b"2")
        model.forget_history()
        model.moods.mood = Mood.WELL
        await asyncio.sleep(3.0)
        assert seen.values == {"b": b"2"}


async def test_an_old_read_never_takes_the_table_back(model):
    async with watching(model) as seen:
        model.hold_reads()
        model.put("t", "a", b"2")
        await asyncio.sleep(0.1)
        model.forget_history()
        model.put("t", "a", b"3")
        model.forget_history()
        await asyncio.sleep(2.0)
        assert seen.values == {"a": b"3"}
        model.moods.stale_reads = False
        await asyncio.sleep(2.0)
        assert seen.values == {"a": b"3"}
        assert seen.versions == sorted(seen.versions)


@asynccontextmanager
async def deaf_while_reads_are_old(model):
    """Within, the store changes unheard; then its history is gone and its reads stay old."""
    await asyncio.sleep(0.5)
    model.moods.delay_seconds = 0.004
    model.hold_reads()
    model.moods.mood = Mood.SILENT
    yield
    model.forget_history()
    await asyncio.sleep(1.0)
    model.moods.mood = Mood.WELL


async def test_a_removal_of_a_deaf_moment_is_heard_while_reads_are_old(model):
    async with watching(model) as seen:
        async with deaf_while_reads_are_old(model):
            model.remove("t", "a")
        await asyncio.sleep(4.0)
        assert seen.values == {}


async def test_a_row_that_is_asked_for_by_name_is_heard_while_reads_are_old(model):
    async with watching(model, keys=("b",)) as seen:
        async with deaf_while_reads_are_old(model):
            model.put("t", "b", b"2")
        await asyncio.sleep(4.0)
        assert seen.values == {"a": b"1", "b": b"2"}


async def test_a_new_row_of_a_deaf_moment_is_heard_once_reads_are_new(model):
    async with watching(model) as seen:
        async with deaf_while_reads_are_old(model):
            model.put("t", "b", b"2")
        await asyncio.sleep(4.0)
        assert seen.watch.age_seconds() > 4.0
        model.moods.stale_reads = False
        await asyncio.sleep(2.0)
        assert seen.values == {"a": b"1", "b": b"2"}
        assert seen.watch.age_seconds() < 2.5


async def test_a_table_of_more_rows_than_a_transaction_takes_is_read_until_it_is_new(model):
    for number in range(MAX_CONDITIONS):
        model.put("t", f"k{number}", b"1")
    async with watching(model) as seen:
        async with deaf_while_reads_are_old(model):
            model.put("t", "a", b"2")
        await asyncio.sleep(4.0)
        assert seen.values["a"] == b"1"
        model.moods.stale_reads = False
        await asyncio.sleep(2.0)
        assert seen.values["a"] == b"2"


@pytest.mark.parametrize("nodes", [1, 3])
async def test_while_reads_are_old_the_store_is_asked_seldom(model, nodes):
    async with watching(model):
        others = [Seen(model) for _ in range(nodes - 1)]
        async with deaf_while_reads_are_old(model):
            model.put("t", "b", b"2")
        await asyncio.sleep(3.0)
        before = replace(model.calls)
        await asyncio.sleep(10.0)
        assert model.calls.writes - before.writes <= 10 * nodes
        assert model.calls.reads - before.reads <= 60 * nodes
        assert model.calls.feeds == before.feeds
        for other in others:
            await other.tasks.stop()


async def test_news_are_as_old_as_the_gap_in_the_watch(model):
    async with watching(model) as seen:
        await asyncio.sleep(5.0)
        model.put("t", "a", b"2")
        await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        assert seen.since[0] == float("-inf")
        assert now - seen.since[-1] < 0.2
        model.moods.mood = Mood.BUSY
        await asyncio.sleep(4.0)
        gone = asyncio.get_running_loop().time()
        model.put("t", "a", b"3")
        model.moods.mood = Mood.WELL
        await asyncio.sleep(1.0)
        assert seen.values == {"a": b"3"}
        assert gone - seen.since[-1] > 2.0


async def test_a_transaction_that_is_refused_does_not_keep_a_new_read_away(model):
    async with watching(model) as seen:
        model.moods.partitions = frozenset([""])
        model.put("t", "a", b"2")
        model.forget_history()
        await asyncio.sleep(1.0)
        assert seen.values == {"a": b"2"}


@pytest.mark.parametrize("mood", [Mood.BUSY, Mood.LIMITED, Mood.SILENT])
async def test_its_age_tells_how_long_the_store_is_gone(model, mood):
    async with watching(model) as seen:
        await asyncio.sleep(2.5)
        assert seen.watch.age_seconds() < 2.5
        model.moods.mood = mood
        await asyncio.sleep(10.0)
        assert seen.watch.age_seconds() > 7.0
        model.moods.mood = Mood.WELL
        model.put("t", "a", b"9")
        await asyncio.sleep(4.0)
        assert seen.values == {"a": b"9"}


# Guards against changes that are heard late after an outage, by the time for which calls are held.
@pytest.mark.parametrize("away_seconds", [1.9, 4.0, 4.5, 7.3])
async def test_a_store_that_was_silent_is_heard_soon_after_its_return(model, away_seconds):
    async with watching(model) as seen:
        await asyncio.sleep(3.0)
        model.moods.mood = Mood.SILENT
        await asyncio.sleep(away_seconds + 2 * WAIT_SECONDS)
        model.moods.mood = Mood.WELL
        model.put("t", "a", b"2")
        await asyncio.sleep(ANSWER_SECONDS + RETRY_BACKOFF.cap_seconds + NEW_ANSWER_SECONDS)
        assert seen.values == {"a": b"2"}


async def test_a_store_that_is_down_is_asked_seldom(model):
    async with watching(model):
        model.moods.mood = Mood.BUSY
        await asyncio.sleep(1.0)
        before = model.calls.feeds
        await asyncio.sleep(10.0)
        assert model.calls.feeds - before < 10.0 / 0.1


# Guards against a configuration that was late because hold, slack, waits and connects of one lost
# call and one failed try added up to more than the bound.
@pytest.mark.parametrize("bound_seconds", [3.0, 4.0, 10.0])
def test_the_longest_way_back_from_a_silent_connection_fits_the_bound(bound_seconds):
    lost = watch_wait_seconds(bound_seconds) + ANSWER_SECONDS
    waits = sum(RETRY_BACKOFF.wait_seconds(attempt, 1.0) for attempt in range(2))
    assert lost + waits + CONNECT_TIMEOUT_SECONDS + NEW_ANSWER_SECONDS <= bound_seconds


@pytest.mark.parametrize("seconds", [2.0, 3.0, 4.0])
async def test_a_lost_answer_of_a_watch_is_noticed_in_time(seconds):
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    model.put("t", "a", b"1")
    heard = asyncio.Event()

    def take(read, _):
        if b"2" in [row.value for row in read.rows]:
            heard.set()

    wait_seconds = watch_wait_seconds(seconds)
    watch = TableWatch(model, clock, "t", take, wait_seconds)
    following = asyncio.ensure_future(watch.run())
    await asyncio.sleep(0.5)
    model.moods.mood = Mood.SILENT
    await asyncio.sleep(wait_seconds + 0.1)
    model.put("t", "a", b"2")
    model.moods.mood = Mood.WELL
    began = clock.monotonic()
    await heard.wait()
    following.cancel()
    assert clock.monotonic() - began <= seconds
