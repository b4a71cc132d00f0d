"""Program trees in the shared store: one node serves each, whatever becomes of answers."""

import asyncio
import random

import pytest

from foxwinch._generated.journal_pb2 import JournalRecord, ProgramFinished
from foxwinch.emulator.faults import ServiceFaults
from foxwinch.emulator.in_process import InProcessRecords
from foxwinch.emulator.record_store import Mood, RecordStoreModel
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.records.partitions import partition_of
from foxwinch.records.program_trees import OpenedTree, OwnedElsewhere
from foxwinch.records.tree_rows import HEADS_TABLE, JOURNALS_TABLE
from foxwinch.records.tree_store import RecordTreeStore
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]
ROOT = ProgramId("tenant/program")
LOST = ServiceFaults(lose_answer_probability=1.0)


def record(text, size=0):
    return JournalRecord(program_finished=ProgramFinished(program_id=text, reason="x" * size))


def texts(records):
    return [entry.program_finished.program_id for entry in records]


class World:
    """One store; each node has a way of its own to it, with faults of its own."""

    def __init__(self):
        self.clock = VirtualClock()
        self.store = RecordStoreModel(self.clock)
        self.ways = {}

    def node(self, name, store=None):
        self.ways[name] = InProcessRecords(self.store, self.clock)
        address = f"127.0.0.1:{7000 + len(self.ways)}"
        return RecordTreeStore(store or self.ways[name], self.clock, NodeId(name), address)


@pytest.fixture
def world():
    return World()


async def test_what_is_appended_is_read_by_the_next_node(world):
    first, second = world.node("a"), world.node("b")
    opened = await first.open(ROOT)
    assert opened.records == []
    assert await opened.journal.append([record("one"), record("two")]) is None
    assert await opened.journal.append([record("three")]) is None
    assert await second.open(ROOT) == OwnedElsewhere(NodeId("a"), "127.0.0.1:7001")
    taken = await second.open(ROOT, previous_owner=NodeId("a"))
    assert texts(taken.records) == ["one", "two", "three"]
    assert taken.journal.batches == 2


async def test_asking_for_a_program_that_was_never_written_writes_nothing(world):
    opened = await world.node("a").open(ROOT)
    assert isinstance(opened, OpenedTree)
    assert await opened.journal.confirm() is None
    assert world.store.calls.commits == 0
    assert await world.node("b").read(ROOT) == []


async def test_a_node_that_was_replaced_finds_out_by_its_next_append_or_read(world):
    first, second = world.node("a"), world.node("b")
    old = (await first.open(ROOT)).journal
    await old.append([record("one")])
    new = (await second.open(ROOT, previous_owner=NodeId("a"))).journal
    assert (await old.confirm()).reason is Reason.FENCED
    refused = await old.append([record("late")])
    assert (refused.reason, refused.run_state) == (Reason.FENCED, RunState.NOT_RUN)
    assert await new.append([record("two")]) is None
    assert texts(await first.read(ROOT)) == ["one", "two"]


async def test_two_nodes_that_begin_the_same_program_do_not_both_write(world):
    first = (await world.node("a").open(ROOT)).journal
    second = (await world.node("b").open(ROOT)).journal
    outcomes = await asyncio.gather(first.append([record("a")]), second.append([record("b")]))
    assert [isinstance(outcome, Refused) for outcome in outcomes] == [False, True]
    assert texts(await world.node("c").read(ROOT)) == ["a"]


async def test_a_lost_answer_of_an_append_is_settled_by_sending_it_again(world):
    trees = world.node("a")
    journal = (await trees.open(ROOT)).journal
    await journal.append([record("one")])
    world.ways["a"].gate.faults = ServiceFaults(lose_answers=1)
    assert await journal.append([record("two")]) is None
    assert await journal.append([record("three")]) is None
    assert texts(await trees.read(ROOT)) == ["one", "two", "three"]


async def test_an_append_given_up_that_took_effect_is_told_before_the_next_one(world):
    trees = world.node("a")
    journal = (await trees.open(ROOT)).journal
    late = []
    journal.on_late_append(late.extend)
    world.ways["a"].gate.faults = LOST
    refused = await journal.append([record("one")])
    assert refused.run_state is RunState.UNKNOWN
    world.ways["a"].gate.faults = ServiceFaults()
    assert await journal.append([record("two")]) is None
    assert texts(late) == ["one"]
    assert texts(await trees.read(ROOT)) == ["one", "two"]


async def test_an_append_that_the_store_does_late_never_comes_after_a_newer_one(world):
    trees = world.node("a", world.store)
    journal = (await trees.open(ROOT)).journal
    await journal.append([record("one")])
    world.store.moods.mood = Mood.LATE
    assert (await journal.append([record("lost")])).run_state is RunState.UNKNOWN
    world.store.moods.mood = Mood.WELL
    assert await journal.append([record("two")]) is None
    await asyncio.sleep(10)
    found = texts(await trees.read(ROOT))
    assert found in (["one", "two"], ["one", "lost", "two"])
    assert await journal.append([record("three")]) is None
    assert texts(await trees.read(ROOT)) == [*found, "three"]


async def test_a_takeover_whose_answer_was_lost_is_in_force(world):
    first, second = world.node("a"), world.node("b")
    await (await first.open(ROOT)).journal.append([record("one")])
    world.ways["b"].gate.faults = ServiceFaults(lose_answers=2)
    taken = await second.open(ROOT, previous_owner=NodeId("a"))
    assert texts(taken.records) == ["one"]
    assert await taken.journal.append([record("two")]) is None


async def test_a_store_that_is_down_refuses_truthfully(world):
    trees = world.node("a")
    journal = (await trees.open(ROOT)).journal
    world.ways["a"].gate.faults = ServiceFaults(down=True)
    refused = await journal.append([record("one")])
    assert (refused.reason, refused.run_state) == (Reason.STORE_UNAVAILABLE, RunState.NOT_RUN)
    assert (await trees.open(ROOT)).run_state is RunState.NOT_RUN
    world.ways["a"].gate.faults = ServiceFaults()
    assert await journal.append([record("one")]) is None


async def test_a_restarted_node_serves_what_its_former_life_served(world):
    before = RecordTreeStore(world.store, world.clock, NodeId("a-1"), "127.0.0.1:7001")
    await (await before.open(ROOT)).journal.append([record("one")])
    after = RecordTreeStore(world.store, world.clock, NodeId("a-2"), "127.0.0.1:7001")
    assert texts((await after.open(ROOT)).records) == ["one"]


async def test_large_records_lie_in_several_rows_and_too_large_ones_are_refused(world):
    trees = world.node("a")
    journal = (await trees.open(ROOT)).journal
    assert await journal.append([record("large", 200_000)]) is None
    assert await journal.append([record("small")]) is None
    refused = await journal.append([record("huge", 600_000)])
    assert (refused.reason, refused.run_state) == (Reason.INVALID_REQUEST, RunState.NOT_RUN)
    assert texts(await trees.read(ROOT)) == ["large", "small"]


async def test_a_removed_tree_leaves_no_row_and_can_begin_again(world):
    trees = world.node("a")
    journal = (await trees.open(ROOT)).journal
    for number in range(150):
        await journal.append([record(str(number))])
    assert await journal.remove() is None
    assert world.store.rows_of(HEADS_TABLE) == {}
    assert world.store.rows_of(JOURNALS_TABLE) == {}
    assert (await journal.append([record("late")])).reason is Reason.FENCED
    again = (await trees.open(ROOT)).journal
    await again.append([record("again")])
    assert texts(await trees.read(ROOT)) == ["again"]


async def test_a_removal_cut_short_leaves_an_empty_tree_that_can_be_removed(world):
    trees = world.node("a")
    journal = (await trees.open(ROOT)).journal
    for number in range(3):
        await journal.append([record(str(number))])
    world.ways["a"].read = _down
    assert isinstance(await journal.remove(), Refused)
    later = world.node("b")
    taken = await later.open(ROOT, previous_owner=NodeId("a"))
    assert taken.records == []
    assert await taken.journal.append([record("new")]) is None
    assert texts(await later.read(ROOT)) == ["new"]
    assert await taken.journal.remove() is None
    assert world.store.rows_of(JOURNALS_TABLE) == {}


async def _down(*_):
    return Refused(Reason.STORE_UNAVAILABLE, RunState.NOT_RUN, "down")


async def test_nodes_tell_who_serves_the_trees_of_a_partition(world):
    trees = world.node("a")
    await (await trees.open(ROOT)).journal.append([record("one")])
    served = await trees.served(partition_of(ROOT))
    assert served == [(ROOT, NodeId("a"))]


@pytest.mark.parametrize("seed", range(40))
async def test_no_acknowledged_record_is_lost_and_none_is_written_after_a_takeover(seed):
    """Nodes append and take over under every fault of their ways to the store."""
    world, chance = World(), random.Random(seed)
    nodes = [world.node(f"n{number}") for number in range(3)]
    journals, acknowledged, refused_for_good = {}, [], set()
    for step in range(60):
        number = chance.randrange(3)
        world.ways[f"n{number}"].gate.faults = chance.choice(
            [
                ServiceFaults(),
                ServiceFaults(lose_answer_probability=0.5, duplicate_probability=0.3),
                ServiceFaults(delay_seconds=1.5),
                ServiceFaults(down=True),
            ]
        )
        if chance.random() < 0.25 or number not in journals:
            other = NodeId(f"n{chance.randrange(3)}")
            opened = await nodes[number].open(ROOT, previous_owner=other)
            if isinstance(opened, OpenedTree):
                journals[number] = opened.journal
                assert set(acknowledged) <= set(texts(opened.records))
            continue
        refused = await journals[number].append([record(str(step))])
        if refused is None:
            acknowledged.append(str(step))
        elif refused.run_state is RunState.NOT_RUN:
            refused_for_good.add(str(step))
    for way in world.ways.values():
        way.gate.faults = ServiceFaults()
    await asyncio.sleep(30)
    found = texts(await nodes[0].read(ROOT))
    assert set(acknowledged) <= set(found)
    assert not refused_for_good & set(found)
    assert sorted(found, key=int) == found
