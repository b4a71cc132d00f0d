"""The registry of the nodes that receive notices."""

import pytest

from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.records.node_registry import (
    MEMORY_MS,
    NODES_TABLE,
    SIMULTANEOUS_MS,
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


# Guards against a node that vouches for sends of which it was told before it was killed, or before
# it joined (BUDGET).
async def test_a_node_remembers_only_what_it_may_have_been_told():
    clock = VirtualClock()
    model = RecordStoreModel(clock)
    tasks = ServiceTasks("test")

    async def start(name):
        registry = NodeRegistry(ObservedStore(model, clock), clock, name)
        assert not registry.remembers
        tasks.start(registry.run(f"{name}:1"))
        tasks.start(registry.watch.run())
        await clock.sleep(1.0)
        return registry

    first = [await start(name) for name in NAMES]
    assert all(registry.remembers for registry in first)
    again = await start("a")
    assert not again.remembers
    await clock.sleep(SIMULTANEOUS_MS / 1e3)
    late = await start("d")
    assert not late.remembers
    await clock.sleep(MEMORY_MS / 1e3)
    assert again.remembers
    assert late.remembers
    await tasks.stop()
