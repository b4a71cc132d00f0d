"""Ownership and journals of whole clusters on virtual time, with nodes and the table failing."""

import asyncio

import pytest

from foxwinch.core.journal.configuration import CommitPlace, GroupMember
from foxwinch.core.shard.epochs import step_of
from foxwinch.node.interfaces import Appended
from foxwinch.outcomes import Reason, Refused, RunState
from shard_cluster import ShardCluster

pytestmark = [pytest.mark.looptime]
PROGRAM = "journey-1"
OUTAGE_SECONDS = 60
"""Long against every time-out of the journal; an hour is run by hand, see the design note."""
ZONES = ["caerdydd", "abertawe", "casnewydd", "wrecsam"]


def on_three_nodes(test):
    """Run a test on a cluster made inside it: virtual time starts anew with each test."""

    async def run():
        cluster = ShardCluster(ZONES[:3])
        await cluster.start()
        await test(cluster)
        await cluster.stop()

    run.__name__ = test.__name__
    return run


async def append_many(node, first, count):
    outcomes = [await node.append(PROGRAM, number) for number in range(first, first + count)]
    assert all(isinstance(outcome, Appended) for outcome in outcomes), outcomes


async def new_owner(cluster, former):
    def found():
        owner = cluster.owner_of(PROGRAM)
        return owner is not None and owner is not former

    await cluster.until(found)
    return cluster.owner_of(PROGRAM)


@on_three_nodes
async def test_killed_owner_loses_nothing(cluster):
    owner = cluster.owner_of(PROGRAM)
    await append_many(owner, 0, 20)
    await cluster.kill(owner)
    successor = await new_owner(cluster, owner)
    assert successor.numbers(PROGRAM) == list(range(20))
    await append_many(successor, 20, 5)


@on_three_nodes
async def test_killed_owner_loses_nothing_while_the_table_is_down(cluster):
    owner = cluster.owner_of(PROGRAM)
    cluster.set_table(down=True)
    await append_many(owner, 0, 20)
    await cluster.kill(owner)
    successor = await new_owner(cluster, owner)
    assert successor.numbers(PROGRAM) == list(range(20))
    await append_many(successor, 20, 5)
    located = successor.part.ownership.locate(PROGRAM)
    assert step_of(located.epoch) > 0


@on_three_nodes
async def test_paused_owner_that_wakes_is_refused(cluster):
    owner = cluster.owner_of(PROGRAM)
    await append_many(owner, 0, 3)
    held = owner.part.ownership.locate(PROGRAM)
    cluster.pause(owner)
    others = [node for node in cluster.nodes if node is not owner]
    await cluster.until(lambda: any(node.numbers(PROGRAM) for node in others))
    successor = next(node for node in others if node.numbers(PROGRAM))
    await append_many(successor, 3, 3)
    cluster.resume(owner)
    outcome = await owner.part.journal.append(held.shard, held.epoch, [])
    if isinstance(outcome, Appended):
        # An empty append commits nothing; a record must be refused.
        outcome = await owner.append(PROGRAM, 99)
    assert isinstance(outcome, Refused)
    assert outcome.reason in (Reason.FENCED, Reason.NOT_OWNER)
    await cluster.until(lambda: not owner.numbers(PROGRAM))
    await append_many(successor, 6, 1)
    assert successor.numbers(PROGRAM) == list(range(7))


@on_three_nodes
async def test_table_down_for_long_is_caught_up_within_the_rate(cluster):
    owner = cluster.owner_of(PROGRAM)
    cluster.set_table(down=True)
    for number in range(60):
        # A shard may move meanwhile; its owner is found again as a caller's node would.
        await append_many(await cluster.some_owner_of(PROGRAM), number, 1)
        await asyncio.sleep(OUTAGE_SECONDS / 60)
    owner = await cluster.some_owner_of(PROGRAM)
    assert owner.numbers(PROGRAM) == list(range(60))
    cluster.set_table(requests_per_second=5.0, burst=2)

    def caught_up():
        owned = [o for node in cluster.nodes for _, o in node.part.journal.owned()]
        stored = [o.journal.stored for o in owned]
        return 60 in [row.record.stored_index for row in stored if row is not None]

    await cluster.until(caught_up, 300)


@on_three_nodes
async def test_lost_answers_of_the_table_are_settled(cluster):
    cluster.set_table(lose_answer_probability=0.3)
    owner = cluster.owner_of(PROGRAM)
    await append_many(owner, 0, 5)
    await cluster.kill(owner)
    successor = await new_owner(cluster, owner)
    assert successor.numbers(PROGRAM) == list(range(5))
    await cluster.until(lambda: cluster.owners() == 64, 120)


@on_three_nodes
async def test_planned_leave_hands_over_without_a_gap(cluster):
    owner = cluster.owner_of(PROGRAM)
    await append_many(owner, 0, 5)
    refused = []

    async def call_all_the_time():
        for number in range(5, 60):
            while True:
                node = cluster.owner_of(PROGRAM)
                outcome = await node.append(PROGRAM, number) if node else None
                if isinstance(outcome, Appended):
                    break
                refused.append(outcome)
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)

    calling = asyncio.create_task(call_all_the_time())
    await asyncio.sleep(0.2)
    owner.membership.announce_leaving()
    await owner.drain()
    assert owner.part.services[1].held_logs() == 0
    assert list(owner.part.journal.owned()) == []
    await calling
    successor = cluster.owner_of(PROGRAM)
    assert successor is not owner
    assert successor.numbers(PROGRAM) == list(range(60))
    known = [r for r in refused if isinstance(r, Refused)]
    assert all(r.run_state is RunState.NOT_RUN for r in known)
    assert len(refused) < 30


@on_three_nodes
async def test_two_owners_in_turn_die(cluster):
    for round_number in range(2):
        owner = cluster.owner_of(PROGRAM)
        await append_many(owner, round_number * 5, 5)
        await cluster.kill(owner)
        await new_owner(cluster, owner)
        await cluster.settle()
    last = cluster.owner_of(PROGRAM)
    assert last.numbers(PROGRAM) == list(range(10))
    await append_many(last, 10, 1)


async def test_alone_and_without_the_table_nothing_runs():
    cluster = ShardCluster(ZONES[:1])
    await cluster.start()
    node = cluster.nodes[0]
    await append_many(node, 0, 3)
    cluster.set_table(down=True)
    outcome = await node.append(PROGRAM, 3)
    assert isinstance(outcome, Refused)
    assert (outcome.reason, outcome.run_state) == (Reason.NO_QUORUM, RunState.NOT_RUN)
    cluster.set_table()
    await cluster.until(lambda: cluster.owner_of(PROGRAM) is not None)
    await asyncio.sleep(5)
    await append_many(node, 3, 2)
    assert node.numbers(PROGRAM) == list(range(5))
    await cluster.stop()


@on_three_nodes
async def test_a_node_that_joins_gets_its_share(cluster):
    joined = cluster.add(ZONES[3])
    await joined.start()
    await cluster.until(lambda: len(list(joined.part.journal.owned())) >= 8, 120)
    await cluster.settle()


@on_three_nodes
async def test_restart_of_every_node_recovers_what_the_table_holds(cluster):
    owner = cluster.owner_of(PROGRAM)
    await append_many(owner, 0, 10)
    flush = owner.part.services[2]
    await cluster.until(lambda: flush.backlog_records() == 0)
    zones = [node.membership.membership.this_member().zone for node in cluster.nodes]
    for node in list(cluster.nodes):
        await cluster.kill(node)
    for number, zone in enumerate(zones):
        cluster.add(zone, number)
    await cluster.start()
    assert cluster.owner_of(PROGRAM).numbers(PROGRAM) == list(range(10))


@on_three_nodes
async def test_long_journals_are_compacted_and_recovered(cluster):
    cluster.compact_after(20_000)
    cluster.split_messages_after(1_000)
    owner = cluster.owner_of(PROGRAM)
    await append_many(owner, 0, 400)
    shard = owner.part.ownership.locate(PROGRAM).shard

    def compacted():
        journal = owner.part.journal.get(shard).journal
        stored = journal.stored
        return stored is not None and stored.record.snapshot_index > 0

    await cluster.until(compacted)
    journal_rows = [k for k in cluster.table.rows if k.startswith(f"journal/cymru/{shard:04d}/")]
    await append_many(owner, 400, 5)
    await cluster.kill(owner)
    successor = await new_owner(cluster, owner)
    assert successor.numbers(PROGRAM) == list(range(405))
    assert len(journal_rows) <= 1
    assert len(cluster.objects.objects) >= 1


async def owner_by_a_step(cluster, former):
    """Let a replica raise the step while the table is down and its former owner is cut off."""
    cluster.set_table(down=True)
    cluster.pause(former)
    others = [node for node in cluster.nodes if node is not former]
    await cluster.until(lambda: any(node.numbers(PROGRAM) for node in others))
    return next(node for node in others if node.numbers(PROGRAM))


async def test_an_owner_by_a_step_changes_its_replicas_although_the_row_names_another():
    cluster = ShardCluster([*ZONES[:3], ZONES[2]])
    await cluster.start()
    former = cluster.owner_of(PROGRAM)
    await append_many(former, 0, 5)
    owner = await owner_by_a_step(cluster, former)
    shard = owner.part.ownership.locate(PROGRAM).shard
    owned = dict(owner.part.journal.owned())[shard]
    group = owned.journal.configuration.nodes()
    third = next(n for n in cluster.nodes if n.name in group and n not in (owner, former))
    await cluster.kill(third)
    await asyncio.sleep(10)
    cluster.resume(former)
    await asyncio.sleep(2)
    cluster.set_table()

    await cluster.settle(60)
    last = cluster.owner_of(PROGRAM)
    assert last.numbers(PROGRAM) == list(range(5))
    await append_many(last, 5, 1)


@on_three_nodes
async def test_a_node_that_does_not_know_of_its_raise_is_told(cluster):
    owner = cluster.owner_of(PROGRAM)
    await append_many(owner, 0, 5)
    shard = owner.part.ownership.locate(PROGRAM).shard
    other = next(node for node in cluster.nodes if node is not owner)
    store = owner.part.services[2]._store
    held = await store.read(shard)
    configuration = owner.part.journal.get(shard).journal.configuration
    named = next(m for m in configuration.group if m.node == other.name)
    await store.raise_term(shard, held, named, configuration.group, CommitPlace.REPLICAS)
    await owner.part.ownership._lose(shard)
    assert cluster.owner_of(PROGRAM) is None

    await cluster.until(lambda: cluster.owner_of(PROGRAM) is not None, 60)
    assert (await cluster.some_owner_of(PROGRAM)).numbers(PROGRAM) == list(range(5))


@on_three_nodes
async def test_a_raise_that_leads_to_nothing_does_not_stop_the_flush(cluster):
    owner = cluster.owner_of(PROGRAM)
    shard = owner.part.ownership.locate(PROGRAM).shard
    store = owner.part.services[2]._store
    held = await store.read(shard)
    ghost = GroupMember("ghost", ZONES[0], "127.0.0.1", 6999)
    await store.raise_term(shard, held, ghost, (ghost,), CommitPlace.TABLE)
    await append_many(owner, 0, 5)

    await asyncio.sleep(30)
    assert (await store.read(shard)).record.stored_index == 5
    assert owner.numbers(PROGRAM) == list(range(5))


@on_three_nodes
async def test_rolling_replacement_of_every_node_loses_and_doubles_nothing(cluster):
    uncertain = []
    done = asyncio.Event()
    count = 0

    async def call_all_the_time():
        nonlocal count
        while not done.is_set():
            node = cluster.owner_of(PROGRAM)
            outcome = await node.append(PROGRAM, count) if node else None
            if isinstance(outcome, Appended):
                count += 1
            elif outcome is not None and outcome.run_state is not RunState.NOT_RUN:
                uncertain.append(outcome)
            await asyncio.sleep(0.05)

    calling = asyncio.create_task(call_all_the_time())
    for old in list(cluster.nodes):
        zone = old.membership.membership.this_member().zone
        await cluster.add(zone).start()
        await cluster.settle()
        old.membership.announce_leaving()
        await old.drain()
        cluster.nodes.remove(old)
        await old.stop()
        await cluster.settle()
    done.set()
    await calling
    assert uncertain == []
    assert count > 20
    assert cluster.owner_of(PROGRAM).numbers(PROGRAM) == list(range(count))


async def test_a_silent_table_holds_nothing_up_for_ever():
    cluster = ShardCluster(ZONES[:1])
    await cluster.start()
    node = cluster.nodes[0]
    await append_many(node, 0, 2)
    cluster.set_table(silent=True)
    outcome = await node.append(PROGRAM, 99)
    assert isinstance(outcome, Refused)
    assert outcome.run_state is RunState.UNKNOWN
    cluster.set_table()
    await asyncio.sleep(20)
    await append_many(node, 2, 2)
    assert [n for n in node.numbers(PROGRAM) if n != 99] == [0, 1, 2, 3]
    await cluster.stop()
