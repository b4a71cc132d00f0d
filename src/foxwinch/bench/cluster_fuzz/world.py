"""A simulated cluster in one process: virtual time, in-memory network, emulated platform."""

import asyncio
import random
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar, cast

import looptime

from foxwinch.backends.ports import EngineEvent, GenerateRequest, ToolRequest, ToolResult
from foxwinch.bench.cluster_fuzz.document import ENGINES, MODEL, REGION, ZONES, document
from foxwinch.bench.cluster_fuzz.simulated_process import (
    CURRENT,
    GuardedPeers,
    GuardedPort,
    SimulatedProcess,
    install_task_factory,
)
from foxwinch.emulator.clock import VirtualClock
from foxwinch.emulator.engine_worker import EngineWorker, EngineWorkerSettings
from foxwinch.emulator.faults import ServiceFaults, ToolFaults
from foxwinch.emulator.in_process import (
    InProcessMachines,
    InProcessRecords,
    InProcessTools,
)
from foxwinch.emulator.in_process_engine import InProcessEngine
from foxwinch.emulator.machines import MachineModel
from foxwinch.emulator.network import LinkFaults, MemoryNetwork
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.emulator.tools import ToolModel
from foxwinch.identifiers import ModelName, NodeId, RegionName, WorkerId, ZoneName
from foxwinch.node.node import Node, build_node
from foxwinch.node.ports import NodePorts
from foxwinch.outcomes import Refused
from foxwinch.peer.ports import PeerAddress
from foxwinch.settings.process import NodeSettings
from foxwinch.storage.ports import Machine

Result = TypeVar("Result")
NOOP_CYCLES = 2
"""Idle loop cycles before virtual time advances; the default of 42 dominated the run time."""
PEER_PORT = 7000
LOSSY = LinkFaults(loss=0.1, duplication=0.05, reordering=0.1)
NO_LINK_FAULTS = LinkFaults()


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A call that was dispatched to an engine."""

    worker: str
    program: str
    at_seconds: float


class RecordingEngine(InProcessEngine):
    """Engine port that records every dispatched call."""

    def __init__(self, workers: dict[WorkerId, EngineWorker]) -> None:
        """Dispatch to `workers`."""
        super().__init__(workers)
        self.dispatches: list[Dispatch] = []

    async def generate(
        self, worker: WorkerId, request: GenerateRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        """Record the call and run it."""
        now = asyncio.get_running_loop().time()
        self.dispatches.append(Dispatch(worker, request.program_id, now))
        async for event in super().generate(worker, request):
            yield event


@dataclass(slots=True)
class FuzzNode:
    """A simulated node process with its address and its ports."""

    number: int
    process: SimulatedProcess
    node: Node
    address: PeerAddress
    records: InProcessRecords
    tools: InProcessTools
    draining: bool = False
    started: bool = False

    @property
    def usable(self) -> bool:
        """True if callers may send requests to this node."""
        return self.started and not self.process.dead and not self.draining


class FuzzWorld:
    """The cluster, its platform and its engines; `decorate` may replace ports of a new node."""

    def __init__(self, seed: int, decorate: "Callable[[str, Any], Any] | None" = None) -> None:
        """Start without nodes."""
        self.random = random.Random(seed)
        self.loop = looptime.new_event_loop(start=0.0, noop_cycles=NOOP_CYCLES)
        install_task_factory(self.loop)
        self.failures: list[str] = []
        self.loop.set_exception_handler(self._record_failure)
        self.decorate = decorate or (lambda name, port: port)
        self.clock = VirtualClock(seed)
        self.network = MemoryNetwork(seed, NO_LINK_FAULTS)
        self.store, self.tool_model = RecordStoreModel(self.clock), ToolModel()
        self.machines = MachineModel(
            tuple(
                Machine(name, "worker", "127.0.0.1:1", ZoneName(zone), RegionName(REGION), False)
                for name, zone in zip(ENGINES, ZONES, strict=True)
            )
        )
        self.workers = {
            WorkerId(name): EngineWorker(
                EngineWorkerSettings(name, (ModelName(MODEL),)), VirtualClock(seed)
            )
            for name in ENGINES
        }
        self.engine = RecordingEngine(self.workers)
        self.nodes: list[FuzzNode] = []
        self.incarnations = 0
        self.store_faults = ServiceFaults()
        self.tool_faults = ToolFaults()
        self.network_faults = NO_LINK_FAULTS

    # --- time ------------------------------------------------------------------------------

    @property
    def now(self) -> float:
        """Virtual seconds since the start."""
        return self.loop.time()

    def run(self, awaitable: Awaitable[Result], seconds: float = 600.0) -> Result:
        """Run until `awaitable` ends; raise `TimeoutError` after `seconds` of virtual time."""

        async def bounded() -> Result:
            async with asyncio.timeout(seconds):
                return await awaitable

        return self.loop.run_until_complete(bounded())

    def sleep(self, seconds: float) -> None:
        """Advance virtual time."""
        self.run(asyncio.sleep(seconds), seconds + 1.0)

    # --- nodes -----------------------------------------------------------------------------

    def start_nodes(self, count: int) -> None:
        """Start the first nodes concurrently."""
        nodes = [self._new_node(number) for number in range(count)]
        self.run(self._start_all(nodes))

    def start_node(self) -> FuzzNode:
        """Start one more node at an unused address."""
        used = {node.number for node in self.nodes}
        number = next(n for n in range(100) if n not in used)
        node = self._new_node(number)
        self.run(self._start_all([node]))
        return node

    def kill(self, node: FuzzNode) -> None:
        """Kill a node without draining it."""
        self.nodes.remove(node)
        self.network.kill(node.address)
        self.run(node.process.kill())

    def freeze(self, node: FuzzNode) -> None:
        """Freeze a node."""
        self.network.pause(node.address)
        node.process.freeze()

    def wake(self, node: FuzzNode) -> None:
        """Resume a frozen node."""
        node.process.wake()
        self.network.resume(node.address)

    async def drain(self, node: FuzzNode) -> None:
        """Drain and stop a node."""
        node.draining = True
        CURRENT.set(node.process)
        await node.node.drain()
        await node.node.stop()
        CURRENT.set(None)
        if node in self.nodes:
            self.nodes.remove(node)
        self.network.kill(node.address)
        await node.process.kill()

    def set_store_faults(self, faults: ServiceFaults) -> None:
        """Set the faults of the shared store for every node."""
        self.store_faults = faults
        for node in self.nodes:
            node.records.gate.faults = faults

    def set_network_faults(self, faults: LinkFaults) -> None:
        """Set the faults of every network link."""
        self.network_faults = faults
        self.network.set_default(faults)

    def set_tool_faults(self, faults: ToolFaults) -> None:
        """Set the faults of the tools for every node."""
        self.tool_faults = faults
        for node in self.nodes:
            node.tools.gate.faults = faults

    def close(self) -> None:
        """Kill every node, stop the engines and close the loop."""
        for node in list(self.nodes):
            self.kill(node)
        for worker in self.workers.values():
            worker.stop()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks, timeout=1.0))
        self.loop.close()

    async def _start_all(self, nodes: list[FuzzNode]) -> None:
        async def start(node: FuzzNode) -> None:
            CURRENT.set(node.process)
            await node.node.start()
            node.started = True

        await asyncio.gather(*(start(node) for node in nodes))

    def _new_node(self, number: int) -> FuzzNode:
        self.incarnations += 1
        process = SimulatedProcess(
            VirtualClock(self.random.getrandbits(32), self.random.uniform(-60.0, 60.0))
        )
        identity = NodeId(f"node-{number}-{self.incarnations}")
        address = PeerAddress(f"127.0.0.{number + 1}", PEER_PORT)
        records = InProcessRecords(self.store, self.clock, self.store_faults)
        tools = InProcessTools(self.tool_model, self.clock, self.tool_faults)
        machines = InProcessMachines(self.machines, self.clock)
        peers = GuardedPeers(self.network.join(identity, address), process)
        ports = NodePorts(
            clock=process.clock,
            engine=self._port("engine", self.engine, process),
            tools=self._port("tools", tools, process),
            records=self._port("records", records, process),
            machines=self._port("machines", machines, process),
            peers=cast(Any, peers),
            peer_address=address,
        )
        seeds = tuple(str(node.address) for node in self.nodes[:3])
        settings = NodeSettings(
            name=f"node-{number}",
            region=REGION,
            zone=ZONES[number % len(ZONES)],
            seeds=seeds,
            drain_seconds=120.0,
        )
        token = CURRENT.set(process)
        node = build_node(settings, ports, document(), node=identity)
        CURRENT.reset(token)
        fuzz_node = FuzzNode(number, process, node, address, records, tools)
        self.decorate("node", fuzz_node)
        self.nodes.append(fuzz_node)
        return fuzz_node

    def _port(self, name: str, port: Any, process: SimulatedProcess) -> Any:
        return GuardedPort(self.decorate(name, port), process)

    def _record_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{context.get('message')}: {error!r}")


ToolOutcome = ToolResult | Refused
ToolCall = Callable[[ToolRequest], Awaitable[ToolOutcome]]
