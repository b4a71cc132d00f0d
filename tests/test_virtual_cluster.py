"""Nodes of a virtual cluster agree on members, configuration and coordinators, and serve calls."""

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.commands.requests import ModelCallRequest
from foxwinch.core.membership.member import MemberState
from foxwinch.core.program.call_events import CallFinished
from foxwinch.emulator.virtual_cluster import VirtualCluster
from foxwinch.identifiers import ModelName, ProgramId, TenantName
from foxwinch.outcomes import Refused, RunState
from foxwinch.settings.load import load_cluster_configuration

PHYSIO = load_cluster_configuration(Path(__file__).parents[1] / "examples" / "physio.toml")
TENANT = TenantName("ward-discharge")

pytestmark = [pytest.mark.looptime]


@asynccontextmanager
async def running_cluster(count, seed=1):
    cluster = VirtualCluster(PHYSIO, seed)
    try:
        await cluster.add(count)
        yield cluster
    finally:
        await cluster.stop()


async def wait_until(cluster, condition, seconds=60.0):
    """Wait in virtual time until a condition is true."""
    ends_at = cluster.clock.monotonic() + seconds
    while not condition():
        assert cluster.clock.monotonic() < ends_at
        await cluster.clock.sleep(0.1)


def all_nodes_see(cluster, state=MemberState.ALIVE):
    expected = set(cluster.nodes)

    def seen(virtual):
        members = virtual.node.parts.membership.membership.members()
        return {member.node for member in members if member.state is state}

    return all(seen(virtual) == expected for virtual in cluster.nodes.values())


def coordinators(cluster):
    """Return the coordinators by worker."""
    coordinators_by_worker = {}
    for virtual in cluster.nodes.values():
        for status in virtual.node.parts.grants.facts.workers():
            if status.steward == virtual.identity:
                coordinators_by_worker.setdefault(status.worker, []).append(virtual.identity)
    return coordinators_by_worker


def has_converged(cluster):
    """Return whether all nodes see each other and are ready, with one coordinator per worker."""
    coordinators_by_worker = coordinators(cluster)
    ready = [n.node.parts.operator.readiness.not_ready_because() for n in cluster.nodes.values()]
    return (
        all_nodes_see(cluster)
        and not any(ready)
        and set(coordinators_by_worker) == set(cluster.engines)
        and all(len(holders) == 1 for holders in coordinators_by_worker.values())
    )


async def call(virtual, name, text="hello"):
    """Run one call of a program and return its last event."""
    request = ModelCallRequest(
        tenant=TENANT,
        program_id=ProgramId(f"{TENANT}/{name}"),
        model=ModelName("plan-llm"),
        messages=(HistoryMessage(role="user", content=text),),
        append=True,
        maximum_tokens=4,
    )
    return [event async for event in virtual.execute(request)][-1]


@pytest.mark.parametrize("count", [1, 3, 12])
async def test_nodes_form_one_cluster_and_each_serves(count):
    async with running_cluster(count) as cluster:
        await wait_until(cluster, lambda: has_converged(cluster))
        for number, virtual in enumerate(list(cluster.nodes.values())):
            assert virtual.node.configuration.current().revision == 1
            assert isinstance(await call(virtual, f"program-{number}"), CallFinished)


async def test_a_drained_node_leaves_and_its_workers_stay_in_use():
    async with running_cluster(3) as cluster:
        await wait_until(cluster, lambda: has_converged(cluster))
        leaving = list(cluster.nodes.values())[1]
        started_at = cluster.clock.monotonic()
        assert await cluster.drain(leaving)
        assert cluster.clock.monotonic() - started_at < 15.0
        await wait_until(cluster, lambda: has_converged(cluster))
        for virtual in list(cluster.nodes.values()):
            assert isinstance(await call(virtual, "after"), CallFinished)


async def test_a_killed_node_is_declared_dead_and_its_workers_are_taken_over():
    async with running_cluster(3) as cluster:
        await wait_until(cluster, lambda: has_converged(cluster))
        await cluster.kill(next(iter(cluster.nodes.values())))
        await wait_until(cluster, lambda: has_converged(cluster))
        for virtual in list(cluster.nodes.values()):
            assert isinstance(await call(virtual, "after"), CallFinished)


async def test_a_drain_interrupts_no_call_of_a_running_program():
    async with running_cluster(3) as cluster:
        await wait_until(cluster, lambda: has_converged(cluster))
        leaving, first, second = cluster.nodes.values()
        drained = asyncio.create_task(cluster.drain(leaving))
        for turn in range(30):
            caller = (first, second)[turn % 2]
            last = await call(caller, f"program-{turn % 6}", f"turn {turn}")
            while isinstance(last, Refused):
                assert last.run_state is RunState.NOT_RUN
                await cluster.clock.sleep(last.retry_after_seconds)
                last = await call(caller, f"program-{turn % 6}", f"turn {turn}")
            assert isinstance(last, CallFinished)
        assert await drained
