"""The faults, one function each; every one returns when the fault is over."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from foxwinch._generated import operator_pb2 as pb
from foxwinch.bench.failover.cluster import FailoverCluster, TestedNode
from foxwinch.bench.failover.operators import client_of, programs_by_owner
from foxwinch.bench.failover.verdict import FaultWindow
from foxwinch.core.membership.parameters import MembershipParameters

PARAMETERS = MembershipParameters()
DETECTION_SECONDS = (
    PARAMETERS.probe_period_seconds + PARAMETERS.probe_failed_seconds + PARAMETERS.suspicion_seconds
)
"""Mean time from a node's death until the others declare it dead: one detection period."""
BETWEEN_SECONDS = 3.0 * DETECTION_SECONDS
"""Between two faults of one scenario, so that the first has been recovered from."""
STORE_DOWN_SECONDS = 15.0
LOST_ANSWERS_SECONDS = 12.0
LOST_ANSWER_SHARE = 0.15
CUT_SECONDS = 2.5 * DETECTION_SECONDS
PAUSE_SECONDS = 2.0 * DETECTION_SECONDS
LEAVING_SECONDS = 10.0


@dataclass(slots=True)
class FaultLog:
    """When a fault acted, and on which programs."""

    windows: list[FaultWindow] = field(default_factory=list)
    affected: list[tuple[float, set[str]]] = field(default_factory=list)
    """Time of a fault and the programs whose recovery is measured; empty: all that run."""
    exit_codes: list[int] = field(default_factory=list)


Fault = Callable[[FailoverCluster, FaultLog], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """One fault under load."""

    name: str
    fault: Fault
    planned: bool = False
    """True: an operator does this in working hours, and no request may be cut."""
    configuration_during: bool = True
    """False: the change of configuration is made after the fault, which prevents it."""


async def killed_owners(cluster: FailoverCluster, log: FaultLog) -> None:
    """Kill two nodes, one after the other, each replaced at once as a platform would."""
    for _ in range(2):
        victim = cluster.usable()[0]
        owned = (await programs_by_owner(cluster)).get(victim.name, set())
        fault_at = time.monotonic()
        await cluster.kill(victim)
        log.affected.append((fault_at, owned))
        successor = await cluster.start_node(victim.zone)
        await cluster.wait_ready(successor)
        await asyncio.sleep(BETWEEN_SECONDS)
        log.windows.append(FaultWindow(fault_at, fault_at))


async def paused_owner(cluster: FailoverCluster, log: FaultLog) -> None:
    """Stop a node's process for longer than detection, then let it go on."""
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
    """Cut a node from all other nodes, then mend the links; callers still reach it."""
    victim = cluster.usable()[0]
    owned = (await programs_by_owner(cluster)).get(victim.name, set())
    fault_at = time.monotonic()
    cluster.cut(victim)
    log.affected.append((fault_at, owned))
    await asyncio.sleep(CUT_SECONDS)
    cluster.heal(victim)
    log.windows.append(FaultWindow(fault_at, time.monotonic()))
    await asyncio.sleep(DETECTION_SECONDS)


async def store_down(cluster: FailoverCluster, log: FaultLog) -> None:
    """The shared store refuses everything for a while."""
    fault_at = time.monotonic()
    await cluster.set_faults({"store": {"down": True}})
    log.affected.append((fault_at, set()))
    await asyncio.sleep(STORE_DOWN_SECONDS)
    await cluster.set_faults({"store": {}})
    log.windows.append(FaultWindow(fault_at, time.monotonic()))
    await asyncio.sleep(DETECTION_SECONDS)


async def answers_lost(cluster: FailoverCluster, log: FaultLog) -> None:
    """Answers of store, tools and engines are lost after the effect."""
    lossy = {"lose_answer_probability": LOST_ANSWER_SHARE}
    fault_at = time.monotonic()
    await cluster.set_faults({"store": lossy, "tools": lossy, "engines": {"*": lossy}})
    log.affected.append((fault_at, set()))
    await asyncio.sleep(LOST_ANSWERS_SECONDS)
    await cluster.set_faults({"store": {}, "tools": {}, "engines": {"*": {}}})
    log.windows.append(FaultWindow(fault_at, time.monotonic()))
    await asyncio.sleep(DETECTION_SECONDS)


async def rolling_replacement(cluster: FailoverCluster, log: FaultLog) -> None:
    """Replace every node, one after the other, by a planned stop."""
    old: list[TestedNode] = cluster.usable()
    for node in old:
        log.affected.append((time.monotonic(), set()))
        log.exit_codes.append(await cluster.replace(node))


async def worker_leaving(cluster: FailoverCluster, log: FaultLog) -> None:
    """One engine says that it leaves, another is drained by an operator."""
    kinds = {pool.name: pool.kind for pool in cluster.document.pools}
    engines = [w.name for w in cluster.document.workers if kinds[w.pool] == "engine"]
    log.affected.append((time.monotonic(), set()))
    await cluster.set_faults({"engines": {engines[0]: {"leaving": True}}})
    async with client_of(cluster, cluster.usable()[0]) as client:
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
