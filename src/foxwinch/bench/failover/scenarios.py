"""Fault scenarios, each a coroutine function that returns once the fault is over."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from foxwinch._generated import operator_pb2 as pb
from foxwinch.bench.failover.cluster import FailoverCluster, TestedNode
from foxwinch.bench.failover.operators import operator_client, programs_by_owner
from foxwinch.bench.failover.verdict import FaultWindow
from foxwinch.core.membership.parameters import MembershipParameters

PARAMETERS = MembershipParameters()
DETECTION_SECONDS = (
    PARAMETERS.probe_period_seconds + PARAMETERS.probe_failed_seconds + PARAMETERS.suspicion_seconds
)
"""Mean time from the loss of a node until the others declare it dead (one detection period)."""
FAULT_INTERVAL_SECONDS = 3.0 * DETECTION_SECONDS
"""Time between two faults of one scenario, for recovery from the first."""
STORE_DOWN_SECONDS = 15.0
LOST_RESPONSES_SECONDS = 12.0
LOST_RESPONSE_PROBABILITY = 0.15
ISOLATION_SECONDS = 2.5 * DETECTION_SECONDS
PAUSE_SECONDS = 2.0 * DETECTION_SECONDS
LEAVING_SECONDS = 10.0


@dataclass(slots=True)
class FaultLog:
    """Times of the faults and the programs that they affected."""

    windows: list[FaultWindow] = field(default_factory=list)
    affected: list[tuple[float, set[str]]] = field(default_factory=list)
    """Time of each fault and the programs to measure; an empty set means all running programs."""
    exit_codes: list[int] = field(default_factory=list)


Fault = Callable[[FailoverCluster, FaultLog], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """One fault and how its results are judged."""

    name: str
    fault: Fault
    planned: bool = False
    """True for planned operations, which must not interrupt any request."""
    configuration_during: bool = True
    """False if the fault prevents configuration changes; the change then follows the fault."""


async def killed_owners(cluster: FailoverCluster, log: FaultLog) -> None:
    """Kill two nodes in sequence and replace each at once, as a platform does."""
    for _ in range(2):
        victim = cluster.usable()[0]
        owned = (await programs_by_owner(cluster)).get(victim.name, set())
        fault_at = time.monotonic()
        await cluster.kill(victim)
        log.affected.append((fault_at, owned))
        successor = await cluster.start_node(victim.zone)
        await cluster.wait_ready(successor)
        await asyncio.sleep(FAULT_INTERVAL_SECONDS)
        log.windows.append(FaultWindow(fault_at, fault_at))


async def paused_owner(cluster: FailoverCluster, log: FaultLog) -> None:
    """Pause a node's process for longer than failure detection takes, then resume it."""
    victim = cluster.usable()[0]
    owned = (await programs_by_owner(cluster)).get(victim.name, set())
    fault_at = time.monotonic()
    cluster.pause(victim)
    log.affected.append((fault_at, owned))
    await asyncio.sleep(PAUSE_SECONDS)
    cluster.resume(victim)
    log.windows.append(FaultWindow(fault_at, time.monotonic()))
    await asyncio.sleep(DETECTION_SECONDS)


async def cut_links(cluster: FailoverCluster, log: FaultLog) -> None:
    """Isolate a node from all other nodes, then restore its links; callers can still reach it."""
    victim = cluster.usable()[0]
    owned = (await programs_by_owner(cluster)).get(victim.name, set())
    fault_at = time.monotonic()
    cluster.isolate(victim)
    log.affected.append((fault_at, owned))
    await asyncio.sleep(ISOLATION_SECONDS)
    cluster.heal(victim)
    log.windows.append(FaultWindow(fault_at, time.monotonic()))
    await asyncio.sleep(DETECTION_SECONDS)


async def store_down(cluster: FailoverCluster, log: FaultLog) -> None:
    """Make the shared store reject every request for a time."""
    fault_at = time.monotonic()
    await cluster.set_faults({"store": {"down": True}})
    log.affected.append((fault_at, set()))
    await asyncio.sleep(STORE_DOWN_SECONDS)
    await cluster.set_faults({"store": {}})
    log.windows.append(FaultWindow(fault_at, time.monotonic()))
    await asyncio.sleep(DETECTION_SECONDS)


async def answers_lost(cluster: FailoverCluster, log: FaultLog) -> None:
    """Lose responses of store, tools and engines after the request took effect."""
    lossy = {"lose_answer_probability": LOST_RESPONSE_PROBABILITY}
    fault_at = time.monotonic()
    await cluster.set_faults({"store": lossy, "tools": lossy, "engines": {"*": lossy}})
    log.affected.append((fault_at, set()))
    await asyncio.sleep(LOST_RESPONSES_SECONDS)
    await cluster.set_faults({"store": {}, "tools": {}, "engines": {"*": {}}})
    log.windows.append(FaultWindow(fault_at, time.monotonic()))
    await asyncio.sleep(DETECTION_SECONDS)


async def rolling_replacement(cluster: FailoverCluster, log: FaultLog) -> None:
    """Drain and replace every node in sequence."""
    old: list[TestedNode] = cluster.usable()
    for node in old:
        log.affected.append((time.monotonic(), set()))
        log.exit_codes.append(await cluster.replace(node))


async def worker_leaving(cluster: FailoverCluster, log: FaultLog) -> None:
    """Announce that one engine is leaving, and drain another as an operator."""
    kinds = {pool.name: pool.kind for pool in cluster.document.pools}
    engines = [w.name for w in cluster.document.workers if kinds[w.pool] == "engine"]
    log.affected.append((time.monotonic(), set()))
    await cluster.set_faults({"engines": {engines[0]: {"leaving": True}}})
    async with operator_client(cluster, cluster.usable()[0]) as client:
        await client.command(
            lambda stub: stub.DrainWorker, pb.DrainWorkerRequest(worker=engines[1])
        )
    await asyncio.sleep(LEAVING_SECONDS)


SCENARIOS = (
    Scenario("killed_owners", killed_owners),
    Scenario("paused_owner", paused_owner),
    Scenario("cut_links", cut_links),
    Scenario("store_down", store_down, configuration_during=False),
    Scenario("answers_lost", answers_lost, configuration_during=False),
    Scenario("rolling_replacement", rolling_replacement, planned=True),
    Scenario("worker_leaving", worker_leaving, planned=True),
)
