"""The faults of the soak: each one disrupts nodes, workers or the store and then undoes it.

Faults overlap, also on one node: a node may be killed while it stops, is paused or is isolated.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from foxwinch.emulator.http_record_store import RecordStoreHandlers
from foxwinch.emulator.record_store import RecordStoreModel, StoreFault
from soak.disruptions import STORE, WORKERS, DisruptionLog
from soak.nodes import SoakNode
from soak.workers import SoakWorker, WorkerFaults

PARTITIONS = 256
FOREIGN_ROWS = ({"value": "abc"}, {"value": 7}, {"value": None})
FOREIGN_ENTRIES = (
    b"\xff\x00",
    b"[]",
    b"{}",
    b'{"service": ["s"], "address": "127.0.0.1:1", "slots": 1}',
    b'{"service": "s", "address": "127.0.0.1:1", "zone": "z0", "version": "v", "slots": 1e999, '
    b'"state": "ready", "cold_left_ms": 0, "seq": 1}',
    b'{"service": "s", "address": "127.0.0.1:1", "zone": "z0", "version": "v", "slots": 8, '
    b'"state": "asleep", "cold_left_ms": 0, "seq": 1}',
)
SOFTWARE_VERSIONS = ("v1", "v1.1", "2")
OUTAGE_SECONDS = 0.5
"""Time between the kill of all nodes and their restart."""


@dataclass
class FaultContext:
    """The services and nodes that faults act on."""

    model: RecordStoreModel
    handlers: RecordStoreHandlers
    nodes: list[SoakNode]
    workers: list[SoakWorker]
    disruptions: DisruptionLog
    rng: random.Random
    last_rollout: str = "v1"
    """Software version of the newest rollout."""


async def kill_and_start(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Kill a node and start it again."""
    await node.kill()
    await asyncio.sleep(0.3 * seconds)
    await node.start()


async def stop_and_start(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Stop a node gracefully and start it again."""
    await node.stop()
    await node.start()


async def stop_and_kill(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Kill a node during a graceful stop and start it again."""
    stopping = asyncio.ensure_future(node.stop())
    await asyncio.sleep(0.6 * seconds)
    await node.kill()
    await stopping
    await node.start()


async def freeze(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Suspend the process of a node and resume it."""
    with context.disruptions.span(node.name, "freeze"):
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)


async def reload(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Make a node reload its settings one to three times in a row."""
    for _ in range(context.rng.randint(1, 3)):
        node.reload()
        await asyncio.sleep(0.1)


async def isolate_from_store(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Block a node's traffic to or from the store, or refuse its new connections."""
    options = ({"block_to_target": True}, {"block_to_client": True}, {"refuse": True})
    with context.disruptions.span(node.name, "cut"):
        node.proxy.set_faults(**context.rng.choice(options))
        await asyncio.sleep(seconds)
        node.proxy.heal()


async def delay_store(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Delay a node's traffic to and from the store."""
    with context.disruptions.span(node.name, "delay"):
        node.proxy.set_faults(delay_seconds=context.rng.choice([0.02, 0.2]), jitter_seconds=0.05)
        await asyncio.sleep(seconds)
        node.proxy.heal()


async def reset_store_connections(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Reset a node's connections to the store."""
    with context.disruptions.span(node.name, "reset"):
        node.proxy.reset()


async def stall_store_connections(context: FaultContext, node: SoakNode, seconds: float) -> None:
    """Stall a node's open connections to the store; they never resume."""
    with context.disruptions.span(node.name, "silence"):
        node.proxy.stall()


async def stall_all_connections(context: FaultContext, seconds: float) -> None:
    """Stall every open connection to the store and the workers; they never resume."""
    with context.disruptions.span(STORE, "silence"), context.disruptions.span(WORKERS, "silence"):
        for node in context.nodes:
            node.proxy.stall()
        for worker in context.workers:
            if worker.proxy is not None:
                worker.proxy.stall()


async def inject_store_fault(context: FaultContext, seconds: float) -> None:
    """Make the store refuse, hang, lose responses or write late, for all or some partitions."""
    store_faults = context.model.store_faults
    with context.disruptions.span(STORE, "mood"):
        store_faults.fault = context.rng.choice(
            [fault for fault in StoreFault if fault is not StoreFault.NONE]
        )
        some = {f"{number:02x}" for number in range(PARTITIONS) if context.rng.random() < 0.4}
        store_faults.partitions = context.rng.choice([None, frozenset(some)])
        await asyncio.sleep(seconds)
        store_faults.fault, store_faults.partitions = StoreFault.NONE, None


async def forget_history(context: FaultContext, seconds: float) -> None:
    """Drop the change history of the store, and half of the time serve stale reads as well."""
    with context.disruptions.span(STORE, "history"):
        if context.rng.random() < 0.5:
            context.model.serve_stale_reads()
        context.model.drop_history()
        await asyncio.sleep(seconds)
        context.model.store_faults.stale_reads = False


async def write_foreign_entries(context: FaultContext, seconds: float) -> None:
    """Put foreign entries into the list of workers, some of them undecodable."""
    key = f"x{context.rng.randrange(3)}"
    if context.rng.random() < 0.5:
        context.handlers.row_overrides[key] = context.rng.choice(FOREIGN_ROWS)
    context.model.put("servers", key, context.rng.choice(FOREIGN_ENTRIES))
    await asyncio.sleep(seconds)
    context.model.remove("servers", key)
    context.handlers.row_overrides.pop(key, None)


async def inject_worker_faults(context: FaultContext, seconds: float) -> None:
    """Make one worker shed, disconnect or hang at random, or respond slowly."""
    worker = context.rng.choice(context.workers)
    probability = context.rng.choice([0.1, 0.5])
    with context.disruptions.span(WORKERS, "fails"):
        worker.faults = context.rng.choice(
            [
                WorkerFaults(shed=probability),
                WorkerFaults(disconnect=probability),
                WorkerFaults(unresponsive=probability),
                WorkerFaults(endless=0.1),
                WorkerFaults(delay_seconds=0.3),
            ]
        )
        await asyncio.sleep(seconds)
        worker.faults = WorkerFaults()


async def disrupt_worker_connections(context: FaultContext, seconds: float) -> None:
    """Block or delay the traffic of one worker, or reset or stall its connections."""
    worker = context.rng.choice(context.workers)
    assert worker.proxy is not None
    with context.disruptions.span(WORKERS, "cut"):
        fault = context.rng.randrange(4)
        if fault == 0:
            worker.proxy.set_faults(block_to_target=True, block_to_client=True)
        elif fault == 1:
            worker.proxy.set_faults(delay_seconds=0.2)
        elif fault == 2:
            worker.proxy.reset()
        else:
            worker.proxy.stall()
        await asyncio.sleep(seconds)
        worker.proxy.heal()


async def drain_worker(context: FaultContext, seconds: float) -> None:
    """Drain one worker and restart it under the same id or a new one."""
    worker = context.rng.choice(context.workers)
    worker.drain()
    await asyncio.sleep(max(seconds, 3.0))
    with context.disruptions.span(WORKERS, "restart"):
        worker.start_incarnation(same_id=context.rng.random() < 0.5)


async def restart_worker(context: FaultContext, seconds: float) -> None:
    """Restart one worker abruptly under the same id."""
    with context.disruptions.span(WORKERS, "restart"):
        context.rng.choice(context.workers).start_incarnation(same_id=True)


async def crash_worker(context: FaultContext, seconds: float) -> None:
    """Crash one worker, whatever it runs."""
    context.rng.choice(context.workers).crash()


async def roll_out(context: FaultContext, seconds: float) -> None:
    """Restart some or all workers one after another with another software version."""
    others = [version for version in SOFTWARE_VERSIONS if version != context.last_rollout]
    context.last_rollout = context.rng.choice(others)
    count = context.rng.randint(1, len(context.workers))
    for worker in context.rng.sample(context.workers, count):
        with context.disruptions.span(WORKERS, "upgrade"):
            await worker.upgrade(context.last_rollout, same_id=context.rng.random() < 0.5)
        await asyncio.sleep(seconds / count)


async def abort_streams(context: FaultContext, seconds: float) -> None:
    """Make all workers abort some of their responses."""
    with context.disruptions.span(WORKERS, "fails"):
        for worker in context.workers:
            worker.faults = WorkerFaults(disconnect=0.25)
        await asyncio.sleep(seconds)
        for worker in context.workers:
            worker.faults = WorkerFaults()


async def kill_some_nodes(context: FaultContext, seconds: float) -> None:
    """Kill half of the nodes at once and start them again."""
    killed = context.rng.sample(context.nodes, max(1, len(context.nodes) // 2))
    await asyncio.gather(*(node.kill() for node in killed))
    await asyncio.sleep(OUTAGE_SECONDS)
    await asyncio.gather(*(node.start() for node in killed))


async def kill_all_nodes(context: FaultContext, seconds: float) -> None:
    """Kill every node at once and start them all again."""
    await asyncio.gather(*(node.kill() for node in context.nodes))
    await asyncio.sleep(OUTAGE_SECONDS)
    await asyncio.gather(*(node.start() for node in context.nodes))


NODE_FAULTS = (
    kill_and_start,
    stop_and_start,
    stop_and_kill,
    freeze,
    reload,
    isolate_from_store,
    delay_store,
    reset_store_connections,
    stall_store_connections,
)
SITE_FAULTS = (
    stall_all_connections,
    inject_store_fault,
    forget_history,
    write_foreign_entries,
    inject_worker_faults,
    disrupt_worker_connections,
    drain_worker,
    restart_worker,
    crash_worker,
    roll_out,
    kill_some_nodes,
)
RARE_FAULTS = (kill_all_nodes,)
RARE_FAULT_PROBABILITY = 0.03
BENIGN_FAULTS = (
    stop_and_start,
    reload,
    write_foreign_entries,
    drain_worker,
    restart_worker,
    crash_worker,
    roll_out,
    abort_streams,
)
"""Planned operations, foreign writes and faults of workers; none of them exempts a node from its
time bounds."""
Fault = Callable[..., Awaitable[None]]


def choose_fault(context: FaultContext) -> tuple[str, Awaitable[None]]:
    """Choose a random fault; return its name and its coroutine."""
    if context.rng.random() < RARE_FAULT_PROBABILITY:
        return create_fault(context, context.rng.choice(RARE_FAULTS))
    return create_fault(context, context.rng.choice(NODE_FAULTS + SITE_FAULTS))


def choose_benign_fault(context: FaultContext) -> tuple[str, Awaitable[None]]:
    """Choose a random benign fault; return its name and its coroutine."""
    return create_fault(context, context.rng.choice(BENIGN_FAULTS))


def create_fault(context: FaultContext, fault: Fault) -> tuple[str, Awaitable[None]]:
    """Return the name and the coroutine of a fault; a node fault gets a random node."""
    seconds = context.rng.uniform(0.5, 5.0)
    if fault not in NODE_FAULTS:
        return fault.__name__, fault(context, seconds)
    node = context.rng.choice(context.nodes)
    return f"{fault.__name__} {node.name}", fault(context, node, seconds)
