"""Tests of coordinators with owners: grants, takeover, fencing, leaving workers and releases."""

import asyncio

import pytest

from coordinator_cluster import MODEL, CoordinatorCluster, request, run_call, until
from foxwinch.backends.ports import GenerateFinished, GenerateRequest, Message
from foxwinch.emulator.faults import EngineFaults
from foxwinch.outcomes import Reason, Refused
from foxwinch.workers.ports import Grant, GrantUsage
from foxwinch.workers.worker_drains import drain_entry

pytestmark = [pytest.mark.looptime]


def order_under(grant):
    messages = (Message("user", "x"),)
    return GenerateRequest(grant.call_id, "stale", MODEL, messages, 4, 0, grant.epoch)


def active_grants(cluster):
    """Return the number of active grants on all coordinators."""
    return sum(len(node.coordinator._ledger) for node in cluster.nodes.values())


async def test_every_worker_has_one_coordinator_and_any_owner_gets_grants():
    async with CoordinatorCluster() as cluster:
        assert set(cluster.serving()) == set(cluster.engines)
        for number, node in enumerate(cluster.nodes.values()):
            grant, last = await run_call(cluster, node, f"c{number}", f"p{number}")
            assert isinstance(last, GenerateFinished)
            assert grant.worker in cluster.engines
        await until(lambda: active_grants(cluster) == 0)


async def test_program_returns_to_coordinator_of_its_prefix():
    async with CoordinatorCluster() as cluster:
        node = cluster.nodes["n0"]
        grants = [(await run_call(cluster, node, f"c{i}"))[0] for i in range(6)]
        coordinators = {cluster.serving()[grant.worker] for grant in grants}
        assert len(coordinators) == 1


async def test_withdrawn_request_leaves_no_state():
    async with CoordinatorCluster(workers=1) as cluster:
        nodes = list(cluster.nodes.values())
        holding = [await nodes[0].grants.acquire(request(f"c{i}", f"p{i}")) for i in range(16)]
        assert all(isinstance(grant, Grant) for grant in holding)
        waiting = asyncio.create_task(nodes[1].grants.acquire(request("late", "late")))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        waiting.cancel()
        await asyncio.sleep(0.5)
        nodes[0].grants.settle(holding[0], GrantUsage(holding[0].call_id, 1, 0, 1, False))
        await until(lambda: active_grants(cluster) == 15)
        follower = await nodes[2].grants.acquire(request("next", "next", 5.0))
        assert isinstance(follower, Grant)


async def test_request_is_refused_as_not_run_at_deadline():
    async with CoordinatorCluster(workers=1) as cluster:
        node = cluster.nodes["n0"]
        for i in range(16):
            await node.grants.acquire(request(f"c{i}", f"p{i}"))
        refused = await node.grants.acquire(request("late", "late", 3.0))
        assert isinstance(refused, Refused)
        assert (refused.reason, refused.run_state) == (Reason.DEADLINE, "not_run")


async def test_parallel_sub_agents_share_step_of_root_across_nodes():
    async with CoordinatorCluster(workers=1) as cluster:
        (name,) = set(cluster.serving().values())
        owner = next(node for node in cluster.nodes.values() if node.name != name)
        scheduler = cluster.nodes[name].coordinator.pools.pool("llm-1").scheduler
        held = [await owner.grants.acquire(request(f"c{i}", f"p{i}", 600.0)) for i in range(16)]
        order, waiting = [], []
        for program in ("t/root~a", "t/newcomer", "t/root~b"):
            asked = asyncio.create_task(owner.grants.acquire(request(program, program, 600.0)))
            asked.add_done_callback(lambda done: order.append(done.result().call_id))
            waiting.append(asked)
            await asyncio.sleep(1.0)
        assert order == []
        for number, grant in enumerate(held[:3]):
            owner.grants.settle(grant, GrantUsage(grant.call_id, 1, 0, 1, False))
            await until(lambda expected=number + 1: len(order) == expected)
        assert order == ["t/root~a", "t/root~b", "t/newcomer"]
        for asked in waiting:
            owner.grants.settle(await asked, GrantUsage((await asked).call_id, 1, 0, 1, False))
        for grant in held[3:]:
            owner.grants.settle(grant, GrantUsage(grant.call_id, 1, 0, 1, False))
        await until(lambda: active_grants(cluster) == 0)
        ended = ("t/root~a", "t/newcomer", "t/root~b", "t/root", *(f"p{i}" for i in range(16)))
        for program in ended:
            owner.grants.finish(program)
        await until(lambda: len(scheduler._programs) == 0)


@pytest.mark.parametrize("workers", [1, 2])
async def test_call_that_failed_on_only_worker_is_granted_again(workers):
    async with CoordinatorCluster(nodes=workers, workers=workers) as cluster:
        node = cluster.nodes["n0"]
        used = []
        for _ in range(3):
            grant = await node.grants.acquire(request("c1"))
            assert isinstance(grant, Grant), grant
            used.append(grant.worker)
            node.grants.settle(grant, GrantUsage("c1", 0, 0, 0, failed=True))
            await asyncio.sleep(0.1)
        assert len(set(used[:2])) == workers


async def test_coordinator_killed_with_waiting_requests_is_replaced():
    async with CoordinatorCluster(workers=1) as cluster:
        (name,) = set(cluster.serving().values())
        owner = next(node for node in cluster.nodes.values() if node.name != name)
        for i in range(16):
            await owner.grants.acquire(request(f"c{i}", f"p{i}"))
        waiting = asyncio.create_task(owner.grants.acquire(request("w", "w")))
        await asyncio.sleep(0.3)
        await cluster.kill(name)
        await until(lambda: set(cluster.serving().values()) - {name})
        for call in owner.grants._reports.held()[:4]:
            owner.grants.settle(call, GrantUsage(call.call_id, 1, 0, 1, False))
        assert isinstance(await waiting, Grant)


async def test_grants_of_killed_owner_are_revoked():
    async with CoordinatorCluster(workers=1) as cluster:
        (name,) = set(cluster.serving().values())
        owner = next(node for node in cluster.nodes.values() if node.name != name)
        for i in range(16):
            await owner.grants.acquire(request(f"c{i}", f"p{i}"))
        await cluster.kill(owner.name)
        await until(lambda: active_grants(cluster) == 0, 5.0)


async def test_paused_coordinator_is_fenced_after_resuming():
    async with CoordinatorCluster(workers=1) as cluster:
        (name,) = set(cluster.serving().values())
        old = cluster.nodes[name]
        stale = await old.grants.acquire(request("stale", "stale"))
        member = cluster.members.pop(name)
        cluster.pause(name)
        await until(lambda: set(cluster.serving().values()) - {name})
        new = cluster.nodes[next(iter(cluster.serving().values()))]
        await run_call(cluster, new, "c1")
        last = None
        order = GenerateRequest(
            "stale", "stale", "rail-chat", (Message("user", "x"),), 4, 0, stale.epoch
        )
        async for event in cluster.engine.generate(stale.worker, order):
            last = event
        assert (last.reason, last.run_state) == (Reason.FENCED, "not_run")
        cluster.members[name] = member
        cluster.resume(name)
        await until(lambda: not old.coordinator.pools.held() or new.coordinator.pools.held() == {})
        await asyncio.sleep(20.0)
        assert len([n for n in cluster.nodes.values() if n.coordinator.pools.held()]) == 1


LEAVING_SOURCES = {
    "operator": lambda cluster, worker: cluster.nodes["n0"].views.publish(
        drain_entry(cluster.nodes["n0"].views, worker, True)
    ),
    "machine list": lambda cluster, worker: cluster.machines.mark_leaving(
        worker, asyncio.get_running_loop().time()
    ),
    "report": lambda cluster, worker: setattr(
        cluster.engines[worker].gate, "faults", EngineFaults(leaving=True)
    ),
}


@pytest.mark.parametrize("source", LEAVING_SOURCES)
async def test_leaving_worker_gets_no_new_calls_within_three_seconds(source):
    async with CoordinatorCluster(nodes=3, workers=2) as cluster:
        leaving = "llm-1"
        LEAVING_SOURCES[source](cluster, leaving)
        await asyncio.sleep(3.0)
        for number in range(20):
            node = cluster.nodes[f"n{number % 3}"]
            grant = await node.grants.acquire(request(f"c{number}", f"p{number}"))
            assert grant.worker != leaving
            node.grants.settle(grant, GrantUsage(grant.call_id, 1, 0, 1, False))


async def test_next_coordinator_releases_cache_of_finished_programs():
    async with CoordinatorCluster(workers=1) as cluster:
        (name,) = set(cluster.serving().values())
        owner = next(node for node in cluster.nodes.values() if node.name != name)
        await run_call(cluster, owner, "c1", "p1")
        await run_call(cluster, owner, "c2", "p2")
        engine = cluster.engines["llm-1"]
        engine.gate.faults = EngineFaults(down=True)
        owner.grants.finish("p1")
        await asyncio.sleep(2.0)
        assert cluster.cached_programs() == {"p1", "p2"}
        await cluster.kill(name)
        await asyncio.sleep(8.0)
        engine.gate.faults = EngineFaults()
        await until(lambda: cluster.cached_programs() == {"p2"})
        await until(lambda: owner.grants._reports.pending() == 0)


async def test_release_with_lost_response_is_retried():
    async with CoordinatorCluster(workers=1) as cluster:
        owner = cluster.nodes["n0"]
        await run_call(cluster, owner, "c1", "p1")
        cluster.engines["llm-1"].gate.faults = EngineFaults(lose_answer_probability=0.7)
        owner.grants.finish("p1")
        await until(lambda: owner.grants._reports.pending() == 0)
        assert cluster.engines["llm-1"].released["p1"] >= 1


async def test_unreachable_worker_frees_slots_and_serves_again_after_return():
    async with CoordinatorCluster(nodes=1, workers=1) as cluster:
        node = cluster.nodes["n0"]
        lost = [await node.grants.acquire(request(f"c{i}", f"p{i}")) for i in range(16)]
        engine = cluster.engines.pop("llm-1")
        for grant in lost:
            node.grants.settle(grant, GrantUsage(grant.call_id, 0, 0, 0, True))
        await asyncio.sleep(8.0)
        refused = await node.grants.acquire(request("while-gone", "w"))
        assert (refused.reason, refused.run_state) == (Reason.BACKEND_UNAVAILABLE, "not_run")
        assert refused.retry_after_seconds
        cluster.engines["llm-1"] = engine
        assert isinstance(await node.grants.acquire(request("back", "b")), Grant)


async def test_planned_stop_hands_over_every_worker():
    async with CoordinatorCluster() as cluster:
        leaving = cluster.nodes["n1"]
        grant = await leaving.grants.acquire(request("running", "r"))
        await asyncio.wait_for(leaving.coordinator.drain(), 20.0)
        assert "n1" not in cluster.serving().values()
        await until(lambda: set(cluster.serving()) == set(cluster.engines))
        leaving.grants.settle(grant, GrantUsage("running", 1, 0, 1, False))
        await leaving.grants.drain()
        await until(lambda: active_grants(cluster) == 0)


async def test_coordinator_fenced_by_worker_drops_and_reclaims_it():
    async with CoordinatorCluster(nodes=1, workers=1) as cluster:
        node = cluster.nodes["n0"]
        old = await node.grants.acquire(request("c1"))
        cluster.engines["llm-1"].newest_epoch = old.epoch + 1
        cluster.epochs._epochs["worker/llm-1"] = old.epoch + 1
        node.grants.settle(old, GrantUsage("c1", 0, 0, 0, True, not_run=True, fenced=True))
        await until(lambda: cluster.epochs._epochs["worker/llm-1"] > old.epoch + 1)
        await until(lambda: node.coordinator.state_of("llm-1") == "serving")
        new = await node.grants.acquire(request("c1"))
        assert new.epoch > old.epoch + 1


async def test_next_owner_releases_cache_used_by_earlier_owner():
    async with CoordinatorCluster(workers=2) as cluster:
        first, second = cluster.nodes["n0"], cluster.nodes["n1"]
        await run_call(cluster, first, "c1", "p1")
        (used,) = [n for n, engine in cluster.engines.items() if engine.holds("p1")]
        unavailable_engine = cluster.engines.pop(used)
        await asyncio.sleep(8.0)
        await run_call(cluster, second, "c2", "p1")
        cluster.engines[used] = unavailable_engine
        assert all(engine.holds("p1") for engine in cluster.engines.values())
        second.grants.mark_taken_over("p1")
        second.grants.finish("p1")
        await until(lambda: cluster.cached_programs() == set())
