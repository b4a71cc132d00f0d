"""The faults of the soak: each does its harm for a while and takes it back."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from foxwinch.emulator.record_store import Mood, RecordStoreModel
from soak.nodes import SoakNode
from soak.workers import SoakWorker, WorkerFaults

PARTITIONS = 256


@dataclass
class Site:
    """What faults strike."""

    model: RecordStoreModel
    nodes: list[SoakNode]
    workers: list[SoakWorker]
    draws: random.Random
    list_worker: Callable[[int, str], None]
    """Writes a worker's state into the store's list under its newest id."""
    renew_worker: Callable[[int], None]
    """Gives a worker a new id, as after a restart."""
    in_trouble: set[str] = field(default_factory=set)
    """Nodes that a fault has in hand."""


def _a_node(site: Site) -> SoakNode | None:
    free = [node for node in site.nodes if node.name not in site.in_trouble and node.address]
    return site.draws.choice(free) if len(free) > 1 else None


async def kill_and_start(site: Site, node: SoakNode, seconds: float) -> None:
    """Kill a process; it is started again."""
    await node.kill()
    await asyncio.sleep(0.3 * seconds)
    await node.start()


async def stop_and_start(site: Site, node: SoakNode, seconds: float) -> None:
    """Stop a process as planned and start it again."""
    await node.stop()
    await node.start()


async def freeze(site: Site, node: SoakNode, seconds: float) -> None:
    """Pause a process and let it go on."""
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    node.signal(signal.SIGCONT)


async def reload(site: Site, node: SoakNode, seconds: float) -> None:
    """Tell a process to read its settings again."""
    node.signal(signal.SIGHUP)


async def cut_from_store(site: Site, node: SoakNode, seconds: float) -> None:
    """Cut a node's way to the store, both ways, one way, or by refusing it."""
    faults = ({"block_to_target": True}, {"block_to_client": True}, {"refuse": True})
    node.proxy.program(**site.draws.choice(faults))
    await asyncio.sleep(seconds)
    node.proxy.heal()


async def delay_store(site: Site, node: SoakNode, seconds: float) -> None:
    """Make a node's way to the store slow."""
    node.proxy.program(delay_seconds=site.draws.choice([0.02, 0.2]), jitter_seconds=0.05)
    await asyncio.sleep(seconds)
    node.proxy.heal()


async def reset_store(site: Site, node: SoakNode, seconds: float) -> None:
    """Reset a node's connections to the store."""
    node.proxy.reset()


async def store_mood(site: Site, seconds: float) -> None:
    """Let the store refuse, be silent, lose answers or write late, wholly or in part."""
    moods = site.model.moods
    moods.mood = site.draws.choice([mood for mood in Mood if mood is not Mood.WELL])
    some = {f"{number:02x}" for number in range(PARTITIONS) if site.draws.random() < 0.4}
    moods.partitions = site.draws.choice([None, frozenset(some)])
    await asyncio.sleep(seconds)
    moods.mood, moods.partitions = Mood.WELL, None


async def forget_history(site: Site, seconds: float) -> None:
    """Let the store forget its changes."""
    site.model.forget_history()


async def worker_fails(site: Site, seconds: float) -> None:
    """Let one worker shed, break off, be silent or slow now and then."""
    worker = site.draws.choice(site.workers)
    chance = site.draws.choice([0.1, 0.5])
    worker.faults = site.draws.choice(
        [
            WorkerFaults(shed=chance),
            WorkerFaults(break_off=chance),
            WorkerFaults(silent=chance),
            WorkerFaults(slow_seconds=0.3),
        ]
    )
    await asyncio.sleep(seconds)
    worker.faults = WorkerFaults()


async def worker_leaves(site: Site, seconds: float) -> None:
    """Drain one worker; it comes back under a new id."""
    number = site.draws.randrange(len(site.workers))
    site.list_worker(number, "draining")
    await asyncio.sleep(seconds)
    site.renew_worker(number)


NODE_FAULTS = (
    kill_and_start,
    stop_and_start,
    freeze,
    reload,
    cut_from_store,
    delay_store,
    reset_store,
)
SITE_FAULTS = (store_mood, forget_history, worker_fails, worker_leaves)


def draw_fault(site: Site) -> tuple[str, Awaitable[None]] | None:
    """Draw a fault; returns its name and what carries it out."""
    seconds = site.draws.uniform(0.5, 5.0)
    fault = site.draws.choice(NODE_FAULTS + SITE_FAULTS)
    if fault in SITE_FAULTS:
        return fault.__name__, fault(site, seconds)
    node = _a_node(site)
    if node is None:
        return None
    return f"{fault.__name__} {node.name}", _on_node(site, node, fault, seconds)


async def _on_node(
    site: Site, node: SoakNode, fault: Callable[..., Awaitable[None]], seconds: float
) -> None:
    site.in_trouble.add(node.name)
    try:
        await fault(site, node, seconds)
    finally:
        site.in_trouble.discard(node.name)
