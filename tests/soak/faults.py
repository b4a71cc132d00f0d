"""The faults of the soak: each does its harm for a while and takes it back.

They come in series and overlap, also on one node: what is killed may be stopping, paused or cut.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from foxwinch.emulator.http_record_store import RecordStoreHandlers
from foxwinch.emulator.record_store import RecordStoreModel, StoreFault
from soak.nodes import SoakNode
from soak.troubles import STORE, WORKERS, Troubles
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
POWER_SECONDS = 0.5
"""Without power, all nodes at once."""


@dataclass
class Site:
    """What faults strike."""

    model: RecordStoreModel
    handlers: RecordStoreHandlers
    nodes: list[SoakNode]
    workers: list[SoakWorker]
    troubles: Troubles
    draws: random.Random


async def kill_and_start(site: Site, node: SoakNode, seconds: float) -> None:
    """Kill a process; it is started again."""
    await node.kill()
    await asyncio.sleep(0.3 * seconds)
    await node.start()


async def stop_and_start(site: Site, node: SoakNode, seconds: float) -> None:
    """Stop a process as planned and start it again."""
    await node.stop()
    await node.start()


async def stop_and_kill(site: Site, node: SoakNode, seconds: float) -> None:
    """Kill a process while it stops."""
    stopping = asyncio.ensure_future(node.stop())
    await asyncio.sleep(0.6 * seconds)
    await node.kill()
    await stopping
    await node.start()


async def freeze(site: Site, node: SoakNode, seconds: float) -> None:
    """Pause a process and let it go on."""
    with site.troubles.span(node.name, "freeze"):
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)


async def reload(site: Site, node: SoakNode, seconds: float) -> None:
    """Tell a process to read its settings again, some times in a row."""
    for _ in range(site.draws.randint(1, 3)):
        node.reload()
        await asyncio.sleep(0.1)


async def cut_from_store(site: Site, node: SoakNode, seconds: float) -> None:
    """Cut a node's way to the store, both ways, one way, or by refusing it."""
    faults = ({"block_to_target": True}, {"block_to_client": True}, {"refuse": True})
    with site.troubles.span(node.name, "cut"):
        node.proxy.program(**site.draws.choice(faults))
        await asyncio.sleep(seconds)
        node.proxy.heal()


async def delay_store(site: Site, node: SoakNode, seconds: float) -> None:
    """Make a node's way to the store slow."""
    with site.troubles.span(node.name, "delay"):
        node.proxy.program(delay_seconds=site.draws.choice([0.02, 0.2]), jitter_seconds=0.05)
        await asyncio.sleep(seconds)
        node.proxy.heal()


async def reset_store(site: Site, node: SoakNode, seconds: float) -> None:
    """Reset a node's connections to the store."""
    with site.troubles.span(node.name, "reset"):
        node.proxy.reset()


async def silence_store(site: Site, node: SoakNode, seconds: float) -> None:
    """Let a node's open connections to the store go silent for good."""
    with site.troubles.span(node.name, "silence"):
        node.proxy.silence()


async def silence_all(site: Site, seconds: float) -> None:
    """Let every open connection to the store and to the workers go silent for good."""
    with site.troubles.span(STORE, "silence"), site.troubles.span(WORKERS, "silence"):
        for node in site.nodes:
            node.proxy.silence()
        for worker in site.workers:
            if worker.proxy is not None:
                worker.proxy.silence()


async def store_mood(site: Site, seconds: float) -> None:
    """Let the store refuse, be silent, lose answers or write late, wholly or in part."""
    store_faults = site.model.store_faults
    with site.troubles.span(STORE, "mood"):
        store_faults.fault = site.draws.choice(
            [fault for fault in StoreFault if fault is not StoreFault.NONE]
        )
        some = {f"{number:02x}" for number in range(PARTITIONS) if site.draws.random() < 0.4}
        store_faults.partitions = site.draws.choice([None, frozenset(some)])
        await asyncio.sleep(seconds)
        store_faults.fault, store_faults.partitions = StoreFault.NONE, None


async def forget_history(site: Site, seconds: float) -> None:
    """Let the store forget its changes, and answer reads as of before for a while."""
    with site.troubles.span(STORE, "history"):
        if site.draws.random() < 0.5:
            site.model.serve_stale_reads()
        site.model.drop_history()
        await asyncio.sleep(seconds)
        site.model.store_faults.stale_reads = False


async def foreign_entries(site: Site, seconds: float) -> None:
    """Put entries of another writer into the list of workers, some of which cannot be decoded."""
    key = f"x{site.draws.randrange(3)}"
    if site.draws.random() < 0.5:
        site.handlers.row_overrides[key] = site.draws.choice(FOREIGN_ROWS)
    site.model.put("servers", key, site.draws.choice(FOREIGN_ENTRIES))
    await asyncio.sleep(seconds)
    site.model.remove("servers", key)
    site.handlers.row_overrides.pop(key, None)


async def worker_fails(site: Site, seconds: float) -> None:
    """Let one worker shed, break off, be silent or slow now and then."""
    worker = site.draws.choice(site.workers)
    chance = site.draws.choice([0.1, 0.5])
    with site.troubles.span(WORKERS, "fails"):
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


async def worker_cut(site: Site, seconds: float) -> None:
    """Cut or slow the way to one worker, or reset or silence its connections."""
    worker = site.draws.choice(site.workers)
    assert worker.proxy is not None
    with site.troubles.span(WORKERS, "cut"):
        how = site.draws.randrange(4)
        if how == 0:
            worker.proxy.program(block_to_target=True, block_to_client=True)
        elif how == 1:
            worker.proxy.program(delay_seconds=0.2)
        elif how == 2:
            worker.proxy.reset()
        else:
            worker.proxy.silence()
        await asyncio.sleep(seconds)
        worker.proxy.heal()


async def worker_leaves(site: Site, seconds: float) -> None:
    """Drain one worker; it comes back under its id or another one."""
    worker = site.draws.choice(site.workers)
    worker.drain()
    await asyncio.sleep(max(seconds, 3.0))
    with site.troubles.span(WORKERS, "restart"):
        worker.begin_life(same_id=site.draws.random() < 0.5)


async def worker_restarts(site: Site, seconds: float) -> None:
    """Let one worker crash and start again under its id."""
    with site.troubles.span(WORKERS, "restart"):
        site.draws.choice(site.workers).begin_life(same_id=True)


async def all_lose_power(site: Site, seconds: float) -> None:
    """Kill every process at once and start them all again."""
    await asyncio.gather(*(node.kill() for node in site.nodes))
    await asyncio.sleep(POWER_SECONDS)
    await asyncio.gather(*(node.start() for node in site.nodes))


NODE_FAULTS = (
    kill_and_start,
    stop_and_start,
    stop_and_kill,
    freeze,
    reload,
    cut_from_store,
    delay_store,
    reset_store,
    silence_store,
)
SITE_FAULTS = (
    silence_all,
    store_mood,
    forget_history,
    foreign_entries,
    worker_fails,
    worker_cut,
    worker_leaves,
    worker_restarts,
)
RARE_FAULTS = (all_lose_power,)
RARE_CHANCE = 0.03
CALM_FAULTS = (stop_and_start, reload, foreign_entries, worker_leaves, worker_restarts)
"""Planned work and what others do: none of it excuses a node that is late."""
Fault = Callable[..., Awaitable[None]]


def draw_fault(site: Site) -> tuple[str, Awaitable[None]]:
    """Draw a fault; returns its name and what carries it out."""
    if site.draws.random() < RARE_CHANCE:
        return begin(site, site.draws.choice(RARE_FAULTS))
    return begin(site, site.draws.choice(NODE_FAULTS + SITE_FAULTS))


def draw_calm_fault(site: Site) -> tuple[str, Awaitable[None]]:
    """Draw one of the faults that come also while nothing else is wrong."""
    return begin(site, site.draws.choice(CALM_FAULTS))


def begin(site: Site, fault: Fault) -> tuple[str, Awaitable[None]]:
    """Return a fault's name and what carries it out, on a node of its own where it strikes one."""
    seconds = site.draws.uniform(0.5, 5.0)
    if fault not in NODE_FAULTS:
        return fault.__name__, fault(site, seconds)
    node = site.draws.choice(site.nodes)
    return f"{fault.__name__} {node.name}", fault(site, node, seconds)
