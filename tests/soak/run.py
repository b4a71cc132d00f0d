"""Runs the soak: a site, callers, faults for some time, then peace, then the verdict."""

import asyncio
import random
import tempfile
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path

import uvloop
from aiohttp import web

from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.clock import SystemClock
from foxwinch.emulator.http_record_store import RecordStoreHandlers
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.identifiers import PeerAddress
from soak.callers import Callers, KeptConnection
from soak.faults import Site, begin, draw_calm_fault, draw_fault, silence_all
from soak.nodes import SoakNode
from soak.operator import Operator
from soak.promises import Promises
from soak.troubles import HARNESS, Troubles
from soak.workers import SoakWorker

WORKERS = 3
CALLERS = 10
STORM_PAUSE_SECONDS = (0.1, 1.2)
"""Between the beginnings of two faults."""
CALM_PAUSE_SECONDS = (0.5, 2.5)
"""Between what comes while nothing is wrong."""
SILENCE_CHANCE = 0.5
"""Of silent connections everywhere at the end of a storm."""
STORM_SECONDS = (3.0, 8.0)
"""For which fault comes after fault."""
CALM_SECONDS = (4.0, 8.0)
"""Between storms, longer than nodes need to be held to bounds of time again."""
PEACE_SECONDS = 17.0
"""For leases of dead nodes to end, and for nodes to hear of everything."""
PROGRAMS_AFTER = 20
"""Programs that must be served when every fault is over."""
LAG_POLL_SECONDS = 0.05
LAG_SECONDS = 0.25
"""The soak's own process was this late: what it saw says nothing of the nodes."""


@dataclass(frozen=True)
class Plan:
    """What one soak runs."""

    seed: int
    seconds: float
    """Of faults."""
    nodes: int = 4


@dataclass(frozen=True)
class Verdict:
    """What a soak found."""

    plan: Plan
    broken: list[str]
    faults: list[str]
    outcomes: dict[str, int]
    versions: int
    """Of the configuration."""
    lag_seconds: float
    """The longest that the soak's own process was late."""
    folder: Path
    """Holds the nodes' logs."""


class _Soak:
    """One soak under way."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.promises = Promises()
        self.troubles = Troubles()
        self.lag_seconds = 0.0
        self._folder = folder
        self._draws = random.Random(plan.seed)
        self._model = RecordStoreModel(SystemClock())
        self._handlers = RecordStoreHandlers(self._model)
        self._store = web.AppRunner(self._handlers.application(), shutdown_timeout=0.1)
        self._tasks: list[asyncio.Task[None]] = []
        self.nodes: list[SoakNode] = []
        self.workers = [
            SoakWorker(
                number,
                self._model,
                self.promises,
                self.troubles,
                random.Random(f"{plan.seed} worker {number}"),
            )
            for number in range(WORKERS)
        ]
        self.operator = Operator(
            self._model,
            self.nodes,
            self.promises,
            self.troubles,
            random.Random(f"{plan.seed} operator"),
        )
        self.callers = Callers(
            self.nodes, self.promises, self.troubles, random.Random(f"{plan.seed} callers")
        )

    async def start(self) -> None:
        """Start the store, the workers and the nodes."""
        self.operator.put_next()
        await self._store.setup()
        await web.TCPSite(self._store, "127.0.0.1", 0).start()
        for worker in self.workers:
            await worker.start()
        for number in range(self.plan.nodes):
            target = PeerAddress(*self._store.addresses[0][:2])
            proxy = FaultProxy(target, seed=self.plan.seed + number)
            await proxy.start()
            zone = f"z{number % 2}"
            self.nodes.append(
                SoakNode(f"n{number}", zone, proxy, self._folder, self.promises, self.troubles)
            )
        await asyncio.gather(*(node.start() for node in self.nodes))
        self._keep(self._watch_lag())
        for node in self.nodes:
            self._keep(node.follow_readiness())
            self._keep(self.operator.probe_for_ever(node))

    async def trouble(self) -> list[str]:
        """Let callers and the operator work while faults strike; returns when all are over."""
        site = Site(
            self._model, self._handlers, self.nodes, self.workers, self.troubles, self._draws
        )
        loop = asyncio.get_running_loop()
        began = loop.time()
        end_at = began + self.plan.seconds
        changing = asyncio.ensure_future(self.operator.change_for_ever())
        working = [
            asyncio.ensure_future(self.callers.run_programs(lambda: loop.time() > end_at))
            for _ in range(CALLERS)
        ]
        struck: list[str] = []
        running: list[asyncio.Future[None]] = []

        def strike(name: str, fault: Awaitable[None]) -> None:
            struck.append(f"{loop.time() - began:.1f} {name}")
            running.append(asyncio.ensure_future(fault))

        while loop.time() < end_at:
            storm_end = min(end_at, loop.time() + self._draws.uniform(*STORM_SECONDS))
            while loop.time() < storm_end:
                await asyncio.sleep(self._draws.uniform(*STORM_PAUSE_SECONDS))
                strike(*draw_fault(site))
            if self._draws.random() < SILENCE_CHANCE:
                strike(*begin(site, silence_all))
            calm_end = loop.time() + self._draws.uniform(*CALM_SECONDS)
            while loop.time() < calm_end:
                await asyncio.sleep(self._draws.uniform(*CALM_PAUSE_SECONDS))
                strike(*draw_calm_fault(site))
        await asyncio.gather(*running, *working)
        changing.cancel()
        await asyncio.gather(*(node.start() for node in self.nodes))
        return struck

    async def peace(self) -> None:
        """Check that everything is served again, and that a planned stop cuts nothing."""
        await asyncio.sleep(PEACE_SECONDS)
        self.operator.put_next()
        known = await asyncio.gather(*map(self.operator.wait_until_known, self.nodes))
        for node, knows in zip(self.nodes, known, strict=True):
            if not knows:
                version = self.operator.version
                self.promises.configuration_late(node.name, version, "not known in peace")
        served = await asyncio.gather(*(self.callers.run_program() for _ in range(PROGRAMS_AFTER)))
        for number, whole in enumerate(served):
            if not whole:
                self.promises.not_served(f"number {number}")
        await self._stop_while_connections_are_used()

    async def _stop_while_connections_are_used(self) -> None:
        """Stop a node whose callers go on using their connections until it is gone."""
        gone = asyncio.Event()

        async def use(connection: KeptConnection) -> None:
            while not gone.is_set():
                await self.callers.run_program(connection)
            await connection.close()

        connections = [
            KeptConnection(self.nodes, random.Random(number)) for number in range(CALLERS)
        ]
        working = [asyncio.ensure_future(use(connection)) for connection in connections]
        await asyncio.sleep(0.5)
        await self.nodes[0].stop()
        gone.set()
        await asyncio.gather(*working)

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            await node.kill()
            await node.proxy.stop()
        await self.callers.close()
        for worker in self.workers:
            await worker.stop()
        await self._store.cleanup()

    def _keep(self, coroutine: "asyncio.coroutines.Coroutine[None, None, None]") -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _watch_lag(self) -> None:
        """Note when this process itself is late."""
        while True:
            began = self.troubles.now()
            await asyncio.sleep(LAG_POLL_SECONDS)
            lag = self.troubles.now() - began - LAG_POLL_SECONDS
            self.lag_seconds = max(self.lag_seconds, lag)
            if lag > LAG_SECONDS:
                with self.troubles.span(HARNESS, "lag"):
                    pass


async def soak(plan: Plan, folder: Path) -> Verdict:
    """Run nodes, workers, callers and an operator with faults."""
    running = _Soak(plan, folder)
    faults: list[str] = []
    try:
        await running.start()
        faults = await running.trouble()
        await running.peace()
    finally:
        await running.stop()
    running.promises.settle(running.callers.budgets)
    return Verdict(
        plan,
        running.promises.broken,
        faults,
        dict(running.promises.outcomes),
        running.operator.version,
        running.lag_seconds,
        folder,
    )


def run_soak(plan: Plan) -> Verdict:
    """Run one soak; the logs stay in a folder of their own."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(soak(plan, folder))
