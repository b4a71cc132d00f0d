"""The registry of the nodes that receive notices."""

import pytest

from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.records.node_registry import NODES_TABLE, NodeRegistry
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
