"""Orders reach the workers through their coordinators, also when the deciding node dies."""

import pytest

from coordinator_cluster import MODEL, CoordinatorCluster, until
from foxwinch._generated.steward_pb2 import WorkerOrder
from foxwinch.outcomes import Reason

pytestmark = [pytest.mark.looptime]


def decider(cluster):
    deciding = [node for node in cluster.nodes.values() if node.orders._epoch is not None]
    return deciding[0] if len(deciding) == 1 else None


def loaded(cluster):
    return {name for name, engine in cluster.engines.items() if MODEL in engine.load().models}


async def test_empty_workers_are_loaded_and_brought_to_the_version():
    async with CoordinatorCluster(workers=4, empty=("llm-2", "llm-4")) as cluster:
        await until(lambda: loaded(cluster) == set(cluster.engines), 300.0)
        await until(
            lambda: all(e.versions.get(MODEL) == "1" for e in cluster.engines.values()
                        if e.settings.models), 300.0
        )  # fmt: skip


async def test_orders_go_on_when_the_deciding_node_dies_in_the_middle():
    async with CoordinatorCluster(workers=4, empty=("llm-1", "llm-2", "llm-3")) as cluster:
        await until(lambda: decider(cluster) and decider(cluster).orders._reconciler.in_flight())
        await cluster.kill(decider(cluster).name)
        await until(lambda: loaded(cluster) == set(cluster.engines), 400.0)


async def test_a_replaced_decider_is_refused():
    async with CoordinatorCluster(nodes=1, workers=1) as cluster:
        desk = cluster.nodes["n0"].coordinator.desk
        new = WorkerOrder(token="b-1", orders_epoch=8, worker="llm-1", kind="set_version",
                          model=MODEL, value="2")  # fmt: skip
        old = WorkerOrder(token="a-1", orders_epoch=7, worker="llm-1", kind="unload", model=MODEL)
        await desk.order(new)
        refused = await desk.order(old)
        assert (refused.reason, refused.run_state) == (Reason.FENCED, "not_run")
        assert MODEL in cluster.engines["llm-1"].load().models
