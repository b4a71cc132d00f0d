"""Runs the soak: a site, callers, faults for some time, then peace, then the verdict."""

import asyncio
import json
import random
import tempfile
from dataclasses import dataclass
from pathlib import Path

import uvloop
from aiohttp import web

from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.clock import SystemClock
from foxwinch.emulator.http_record_store import RecordStoreHandlers
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.identifiers import PeerAddress
from platform_site import configuration
from soak.callers import Callers
from soak.faults import Site, draw_fault
from soak.nodes import SoakNode
from soak.promises import Promises
from soak.workers import SoakWorker

NODES = 4
WORKERS = 3
CALLERS = 10
PAUSE_SECONDS = (0.2, 1.5)
"""Between the beginnings of two faults."""
PEACE_SECONDS = 17.0
"""For leases of dead nodes to end, and for nodes to hear of everything."""
PROGRAMS_AFTER = 20
"""Programs that must be served when every fault is over."""


@dataclass(frozen=True)
class Verdict:
    """What a soak found."""

    seed: int
    broken: list[str]
    faults: list[str]
    outcomes: dict[str, int]
    folder: Path
    """Holds the nodes' logs."""


async def soak(seconds: float, seed: int, folder: Path) -> Verdict:
    """Run nodes, workers and callers with faults for `seconds`."""
    draws = random.Random(seed)
    promises = Promises()
    model = RecordStoreModel(SystemClock())
    model.put("op", "config", configuration())
    store = web.AppRunner(RecordStoreHandlers(model).application(), shutdown_timeout=0.1)
    await store.setup()
    await web.TCPSite(store, "127.0.0.1", 0).start()
    workers = [SoakWorker(promises, random.Random(f"{seed} {i}")) for i in range(WORKERS)]
    for worker in workers:
        await worker.start()
    site = _site(model, workers, draws)
    for number in range(NODES):
        proxy = FaultProxy(PeerAddress(*store.addresses[0][:2]), seed=seed + number)
        await proxy.start()
        name = f"n{number}"
        site.nodes.append(SoakNode(name, f"z{number % 2}", proxy, folder, promises))
    await asyncio.gather(*(node.start() for node in site.nodes))
    callers = Callers(site.nodes, promises, random.Random(f"{seed} callers"))
    faults = await _trouble(site, callers, seconds)
    await asyncio.sleep(PEACE_SECONDS)
    await _peace(site, callers, promises)
    for node in site.nodes:
        await node.kill()
        await node.proxy.stop()
    await callers.close()
    for worker in workers:
        await worker.stop()
    await store.cleanup()
    promises.settle(callers.budgets)
    return Verdict(seed, promises.broken, faults, dict(promises.outcomes), folder)


def _site(model: RecordStoreModel, workers: list[SoakWorker], draws: random.Random) -> Site:
    lives = [0] * len(workers)

    def list_worker(number: int, state: str) -> None:
        entry = {
            "service": "s",
            "address": workers[number].address,
            "zone": f"z{number % 2}",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
        }
        model.put("servers", f"w{number}-{lives[number]}", json.dumps(entry).encode())

    def renew_worker(number: int) -> None:
        model.remove("servers", f"w{number}-{lives[number]}")
        lives[number] += 1
        list_worker(number, "ready")

    for number in range(len(workers)):
        list_worker(number, "ready")
    return Site(model, [], workers, draws, list_worker, renew_worker)


async def _trouble(site: Site, callers: Callers, seconds: float) -> list[str]:
    """Let callers work and faults strike for `seconds`; returns when all faults are over."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    working = [
        asyncio.ensure_future(callers.run_programs(lambda: loop.time() > end_at))
        for _ in range(CALLERS)
    ]
    struck: list[str] = []
    running: list[asyncio.Future[None]] = []
    while loop.time() < end_at:
        await asyncio.sleep(site.draws.uniform(*PAUSE_SECONDS))
        drawn = draw_fault(site)
        if drawn is not None:
            struck.append(f"{seconds - (end_at - loop.time()):.1f} {drawn[0]}")
            running.append(asyncio.ensure_future(drawn[1]))
    await asyncio.gather(*running, *working)
    return struck


async def _peace(site: Site, callers: Callers, promises: Promises) -> None:
    """Check that everything is served again, and that a planned stop cuts nothing."""
    served = await asyncio.gather(*(callers.run_program() for _ in range(PROGRAMS_AFTER)))
    for number, whole in enumerate(served):
        if not whole:
            promises.not_served(f"number {number}")
    before = set(promises.attempts)
    working = [asyncio.ensure_future(callers.run_program()) for _ in range(PROGRAMS_AFTER)]
    await asyncio.sleep(0.1)
    await site.nodes[0].stop()
    await asyncio.gather(*working)
    for request_id in promises.attempts.keys() - before:
        if promises.attempts[request_id].status is None:
            promises.cut(promises.attempts[request_id])
    await site.nodes[0].start()


def run_soak(seconds: float, seed: int) -> Verdict:
    """Run one soak; the logs stay in a folder of their own."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(soak(seconds, seed, folder))
