"""The registry of the nodes that receive notices."""

import pytest

from foxwinch.emulator.record_store import RecordStoreModel, StoreFault
from foxwinch.records.node_registry import (
    MEMORY_MS,
    NODES_TABLE,
    NodeRegistry,
)
from foxwinch.records.store_state import ObservedStore
from foxwinch.service_tasks import ServiceTasks
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]
NAMES = ("a", "b", "c")


# Guards against nodes that get no notices: rows written before the store's clock was known looked
# expired, and the next node that registered removed them.
async def test_a_node_that_registers_before_the_first_response_stays_registered():
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    tasks = ServiceTasks("test")
    registries = []
    for name in NAMES:
        registry = NodeRegistry(ObservedStore(model, clock), clock, name)
        tasks.start(registry.run(f"{name}:1"))
        tasks.start(registry.watch.run())
        registries.append(registry)
        await clock.sleep(3.0)
    assert {row.key for row in model.rows_of(NODES_TABLE)} == set(NAMES)
    assert sorted(registries[0].others) == ["b:1", "c:1"]
    await tasks.stop()


async def start_registry(model, clock, tasks, name, run):
    registry = NodeRegistry(ObservedStore(model, clock), clock, name, run=run)
    assert not registry.remembers
    tasks.start(registry.run(f"{name}:1"))
    tasks.start(registry.watch.run())
    await clock.sleep(1.0)
    return registry


# Guards against a node that vouches for sends of which it was told before it was killed, or before
# it joined (BUDGET).
async def test_a_node_remembers_only_what_it_may_have_been_told():
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    tasks = ServiceTasks("test")
    first = [await start_registry(model, clock, tasks, name, 1) for name in NAMES]
    await clock.sleep(60.0)
    assert all(registry.remembers for registry in first)
    late_first = await start_registry(model, clock, tasks, "d", 1)
    assert late_first.remembers
    assert await first[0].open(1.0)
    again = await start_registry(model, clock, tasks, "a", 2)
    late = await start_registry(model, clock, tasks, "e", 1)
    assert not again.remembers
    assert not late.remembers
    late.set_remembering()
    assert late.remembers
    await clock.sleep(MEMORY_MS / 1e3)
    assert again.remembers
    await tasks.stop()


# Guards against a first node that does not remember, or a later one that does, as the response to
# the write of its row was lost.
@pytest.mark.parametrize("is_opened", [False, True])
@pytest.mark.parametrize("fault", [StoreFault.RESPONSE_LOST, StoreFault.LATE_WRITE])
async def test_a_lost_response_leaves_no_doubt_who_is_among_the_first(fault, is_opened):
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    tasks = ServiceTasks("test")
    if is_opened:
        other = await start_registry(model, clock, tasks, "a", 1)
        assert await other.open(1.0)
    model.store_faults.fault, model.store_faults.late_seconds = fault, 0.5
    registry = await start_registry(model, clock, tasks, "b", 1)
    await clock.sleep(2.0)
    model.store_faults.fault = StoreFault.NONE
    await clock.sleep(2.0)
    assert registry.is_registered
    assert registry.remembers is not is_opened
    await tasks.stop()


# Guards against requests whose witnesses change as a node stops: none of the new ones was told.
async def test_a_node_that_stops_stays_a_witness_and_gets_no_notices():
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    tasks = ServiceTasks("test")
    registries = [await start_registry(model, clock, tasks, name, 1) for name in NAMES]
    before = [registries[0].witnesses(f"{number:032x}") for number in range(16)]
    await registries[1].unregister()
    await clock.sleep(0.1)
    assert registries[0].others == ["c:1"]
    assert registries[0].is_stopped("b:1")
    assert [registries[0].witnesses(f"{number:032x}") for number in range(16)] == before
    await tasks.stop()
