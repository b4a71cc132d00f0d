"""Runs a soak: services, nodes and callers with faults, then a recovery check and the result."""

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
from soak.callers import Callers, PersistentConnection
from soak.disruptions import HARNESS, DisruptionLog
from soak.faults import (
    FaultContext,
    choose_benign_fault,
    choose_fault,
    create_fault,
    stall_all_connections,
)
from soak.invariants import InvariantChecker
from soak.nodes import SoakNode
from soak.operator import Operator
from soak.workers import SoakWorker

WORKER_COUNT = 5
CALLER_COUNT = 10
FAULT_INTERVAL_SECONDS = (0.1, 1.2)
"""Range of the time between the starts of two faults."""
BENIGN_INTERVAL_SECONDS = (0.5, 2.5)
"""Range of the time between two benign faults of a calm phase."""
STALL_PROBABILITY = 0.5
"""Probability that all connections are stalled at the end of a fault phase."""
FAULT_PHASE_SECONDS = (3.0, 8.0)
"""Range of the length of a fault phase."""
CALM_PHASE_SECONDS = (4.0, 8.0)
"""Range of the time between fault phases; long enough that nodes are held to bounds again."""
RECOVERY_SECONDS = 17.0
"""Time for leases of dead nodes to expire and for nodes to receive all updates."""
RECOVERY_PROGRAMS = 20
"""Number of programs that must be served after the end of all faults."""
LAG_POLL_SECONDS = 0.05
MAX_LAG_SECONDS = 0.25
"""Lag of the soak process itself above which its observations do not count against nodes."""


@dataclass(frozen=True)
class Plan:
    """Parameters of one soak."""

    seed: int
    seconds: float
    """Duration of the faults."""
    nodes: int = 4


@dataclass(frozen=True)
class SoakResult:
    """Violations and statistics of one soak."""

    plan: Plan
    violations: list[str]
    faults: list[str]
    outcomes: dict[str, int]
    versions: int
    """Number of configuration versions put into the store."""
    lag_seconds: float
    """Maximum event loop lag of the soak process itself."""
    folder: Path
    """Folder of the node logs."""


class _Soak:
    """A running soak."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.checker = InvariantChecker()
        self.disruptions = DisruptionLog()
        self.lag_seconds = 0.0
        self._injects_faults = False
        self._folder = folder
        self._rng = random.Random(plan.seed)
        self._model = RecordStoreModel(SystemClock())
        self._handlers = RecordStoreHandlers(self._model)
        self._store = web.AppRunner(self._handlers.application(), shutdown_timeout=0.1)
        self._tasks: list[asyncio.Task[None]] = []
        self.nodes: list[SoakNode] = []
        self.workers = [
            SoakWorker(
                number,
                self._model,
                self.checker,
                self.disruptions,
                random.Random(f"{plan.seed} worker {number}"),
            )
            for number in range(WORKER_COUNT)
        ]
        self.operator = Operator(
            self._model,
            self.nodes,
            self.checker,
            self.disruptions,
            random.Random(f"{plan.seed} operator"),
        )
        self.callers = Callers(
            self.nodes,
            self.workers,
            self.checker,
            self.disruptions,
            random.Random(f"{plan.seed} callers"),
        )

    async def start(self) -> None:
        """Start the store, the workers and the nodes."""
        self.operator.put_next_version()
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
                SoakNode(f"n{number}", zone, proxy, self._folder, self.checker, self.disruptions)
            )
        await asyncio.gather(*(node.start() for node in self.nodes))
        for worker in self.workers:
            worker.kill_node = self._kill_node
        self._start_task(self._lag_loop())
        for node in self.nodes:
            self._start_task(node.readiness_loop())
            self._start_task(self.operator.probe_loop(node))

    def _kill_node(self, name: str) -> None:
        """Kill a node and start it again, while faults are injected."""
        node = next((each for each in self.nodes if each.name == name), None)
        if node is not None and node.address is not None and self._injects_faults:
            self._start_task(self._replace(node))

    async def _replace(self, node: SoakNode) -> None:
        await node.kill()
        await node.start()

    async def run_faults(self) -> list[str]:
        """Inject faults while callers and the operator run; return the faults when all are over."""
        context = FaultContext(
            self._model, self._handlers, self.nodes, self.workers, self.disruptions, self._rng
        )
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        end_at = started_at + self.plan.seconds
        self._injects_faults = True
        changes = asyncio.ensure_future(self.operator.change_loop())
        caller_tasks = [
            asyncio.ensure_future(self.callers.run_programs(lambda: loop.time() > end_at))
            for _ in range(CALLER_COUNT)
        ]
        injected: list[str] = []
        running: list[asyncio.Future[None]] = []

        def inject(name: str, fault: Awaitable[None]) -> None:
            injected.append(f"{loop.time() - started_at:.1f} {name}")
            running.append(asyncio.ensure_future(fault))

        while loop.time() < end_at:
            fault_phase_end = min(end_at, loop.time() + self._rng.uniform(*FAULT_PHASE_SECONDS))
            while loop.time() < fault_phase_end:
                await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_SECONDS))
                inject(*choose_fault(context))
            if self._rng.random() < STALL_PROBABILITY:
                inject(*create_fault(context, stall_all_connections))
            calm_phase_end = loop.time() + self._rng.uniform(*CALM_PHASE_SECONDS)
            while loop.time() < calm_phase_end:
                await asyncio.sleep(self._rng.uniform(*BENIGN_INTERVAL_SECONDS))
                inject(*choose_benign_fault(context))
        self._injects_faults = False
        await asyncio.gather(*running, *caller_tasks)
        changes.cancel()
        await asyncio.gather(*(node.start() for node in self.nodes))
        return injected

    async def check_recovery(self) -> None:
        """Check that programs are served again and that a planned stop interrupts no request."""
        await asyncio.sleep(RECOVERY_SECONDS)
        self.operator.put_next_version()
        updated = await asyncio.gather(*map(self.operator.wait_for_newest_version, self.nodes))
        for node, is_updated in zip(self.nodes, updated, strict=True):
            if not is_updated:
                version = self.operator.version
                self.checker.report_stale_configuration(
                    node.name, version, "not known after the faults"
                )
        served = await asyncio.gather(
            *(self.callers.run_program() for _ in range(RECOVERY_PROGRAMS))
        )
        for number, is_served in enumerate(served):
            if not is_served:
                self.checker.report_not_served(f"number {number}")
        await self._stop_node_in_use()

    async def _stop_node_in_use(self) -> None:
        """Stop a node while callers keep using their connections until it has exited."""
        node_stopped = asyncio.Event()

        async def run_until_stopped(connection: PersistentConnection) -> None:
            while not node_stopped.is_set():
                await self.callers.run_program(connection)
            await connection.close()

        connections = [
            PersistentConnection(self.nodes, random.Random(number))
            for number in range(CALLER_COUNT)
        ]
        caller_tasks = [
            asyncio.ensure_future(run_until_stopped(connection)) for connection in connections
        ]
        await asyncio.sleep(0.5)
        await self.nodes[0].stop()
        node_stopped.set()
        await asyncio.gather(*caller_tasks)

    async def stop(self) -> None:
        """Stop the callers, nodes, workers and the store."""
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

    def _start_task(self, coroutine: "asyncio.coroutines.Coroutine[None, None, None]") -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _lag_loop(self) -> None:
        """Record disruptions of the harness when the event loop of this process lags."""
        while True:
            started_at = self.disruptions.now()
            await asyncio.sleep(LAG_POLL_SECONDS)
            lag = self.disruptions.now() - started_at - LAG_POLL_SECONDS
            self.lag_seconds = max(self.lag_seconds, lag)
            if lag > MAX_LAG_SECONDS:
                with self.disruptions.span(HARNESS, "lag"):
                    pass


async def soak(plan: Plan, folder: Path) -> SoakResult:
    """Run one soak with the node logs in `folder`."""
    running = _Soak(plan, folder)
    faults: list[str] = []
    try:
        await running.start()
        faults = await running.run_faults()
        await running.check_recovery()
    finally:
        await running.stop()
    running.checker.check_totals(running.callers.budgets)
    return SoakResult(
        plan,
        running.checker.violations,
        faults,
        dict(running.checker.outcomes),
        running.operator.version,
        running.lag_seconds,
        folder,
    )


def run_soak(plan: Plan) -> SoakResult:
    """Run one soak in a new event loop; the logs stay in a new temporary folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(soak(plan, folder))
