"""Tests that coordinators execute model orders, including after the issuing node has died."""

import pytest

from coordinator_cluster import MODEL, CoordinatorCluster, until
from foxwinch._generated.steward_pb2 import WorkerOrder
from foxwinch.outcomes import Reason

pytestmark = [pytest.mark.looptime]


def issuer(cluster):
    deciding = [node for node in cluster.nodes.values() if node.orders._epoch is not None]
    return deciding[0] if len(deciding) == 1 else None


def loaded(cluster):
    return {name for name, engine in cluster.engines.items() if MODEL in engine.load().models}


async def test_empty_workers_get_model_and_version():
    async with CoordinatorCluster(workers=4, empty=("llm-2", "llm-4")) as cluster:
        await until(lambda: loaded(cluster) == set(cluster.engines), 300.0)
        await until(
            lambda: all(e.versions.get(MODEL) == "1" for e in cluster.engines.values()
                        if e.settings.models), 300.0
        )  # fmt: skip


async def test_orders_continue_after_issuing_node_dies():
    async with CoordinatorCluster(workers=4, empty=("llm-1", "llm-2", "llm-3")) as cluster:
        await until(lambda: issuer(cluster) and issuer(cluster).orders._reconciler.in_flight())
        await cluster.kill(issuer(cluster).name)
        await until(lambda: loaded(cluster) == set(cluster.engines), 400.0)


async def test_orders_of_replaced_issuer_are_refused():
    async with CoordinatorCluster(nodes=1, workers=1) as cluster:
        handlers = cluster.nodes["n0"].coordinator.handlers
        new = WorkerOrder(token="b-1", orders_epoch=8, worker="llm-1", kind="set_version",
                          model=MODEL, value="2")  # fmt: skip
        old = WorkerOrder(token="a-1", orders_epoch=7, worker="llm-1", kind="unload", model=MODEL)
        await handlers.order(new)
        refused = await handlers.order(old)
        assert (refused.reason, refused.run_state) == (Reason.FENCED, "not_run")
        assert MODEL in cluster.engines["llm-1"].load().models
