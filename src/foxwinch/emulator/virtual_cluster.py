"""Whole nodes on one event loop: memory for network, platform and back ends, virtual time.

The nodes are those that a process runs (`build_node`); only their ports differ.
"""

from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

from foxwinch.commands.requests import ProgramRequest
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.emulator.clock import VirtualClock
from foxwinch.emulator.engine_worker import EngineWorker, EngineWorkerSettings
from foxwinch.emulator.in_process import (
    InProcessMachines,
    InProcessRecords,
    InProcessTools,
)
from foxwinch.emulator.in_process_engine import InProcessEngine
from foxwinch.emulator.machines import MachineModel
from foxwinch.emulator.network import MemoryNetwork, addresses
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.emulator.tools import ToolModel
from foxwinch.identifiers import ModelName, NodeId, RegionName, ToolName, WorkerId, ZoneName
from foxwinch.node.node import Node, build_node
from foxwinch.node.ports import NodePorts
from foxwinch.peer.ports import PeerAddress
from foxwinch.settings.cluster import ClusterConfiguration, WorkerSettings
from foxwinch.settings.process import NodeSettings
from foxwinch.storage.ports import Machine

MAX_NODES = 256
SEEDS = 3
"""Nodes whose addresses a starting node is told."""
DRAIN_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class VirtualNode:
    """A node with what the outside can do to it."""

    node: Node
    clock: VirtualClock
    address: PeerAddress
    records: InProcessRecords
    """This node's way to the shared store; its faults may be changed."""

    @property
    def identity(self) -> NodeId:
        """Return the node's identity."""
        return self.node.context.node

    def execute(self, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Carry a request out as for a caller at this node."""
        return self.node.parts.programs.execute(request)


class VirtualCluster:
    """Nodes of one deployment over shared stand-ins."""

    def __init__(self, document: ClusterConfiguration, seed: int = 0) -> None:
        """Serve the workers and tools of `document`; nodes are added one by one."""
        self.document = document
        self.network = MemoryNetwork(seed)
        self.tools = ToolModel(tuple(ToolName(tool.name) for tool in document.tools))
        self.clock = VirtualClock(seed)
        self.store = RecordStoreModel(self.clock)
        self.engines = {
            WorkerId(worker.name): self._engine(worker) for worker in _engine_workers(document)
        }
        self.machines = MachineModel(tuple(self._listed(w) for w in document.workers))
        self.nodes: dict[NodeId, VirtualNode] = {}
        self._seed = seed
        self._addresses = iter(addresses(MAX_NODES))
        self._count = 0

    async def add(self, count: int = 1) -> list[VirtualNode]:
        """Start so many nodes, over the zones in turn."""
        started = []
        for _ in range(count):
            virtual = self._build()
            self.nodes[virtual.identity] = virtual
            await virtual.node.start()
            started.append(virtual)
        return started

    async def drain(self, virtual: VirtualNode) -> bool:
        """Stop a node as planned; False when work was cut."""
        whole = await virtual.node.drain()
        await self._stop(virtual)
        return whole

    async def kill(self, virtual: VirtualNode) -> None:
        """End a node at once: nothing that it does afterwards reaches anybody."""
        self.network.kill(virtual.address)
        gate = virtual.records.gate
        gate.faults = gate.faults.model_copy(update={"down": True})
        await self._stop(virtual)

    def pause(self, virtual: VirtualNode) -> None:
        """Freeze a node as SIGSTOP does."""
        virtual.clock.pause()
        self.network.pause(virtual.address)

    def resume(self, virtual: VirtualNode) -> None:
        """Let a frozen node go on."""
        virtual.clock.resume()
        self.network.resume(virtual.address)

    def partition(self, one_side: Iterable[VirtualNode]) -> None:
        """Cut some nodes off from the others; `network.heal` mends it."""
        inside = [virtual.address for virtual in one_side]
        outside = [v.address for v in self.nodes.values() if v.address not in inside]
        self.network.partition(inside, outside)

    async def stop(self) -> None:
        """Stop every node and stand-in."""
        for virtual in list(self.nodes.values()):
            self.resume(virtual)
            await self._stop(virtual)

    async def _stop(self, virtual: VirtualNode) -> None:
        self.nodes.pop(virtual.identity, None)
        await virtual.node.stop()
        await virtual.records.service.stop()
        self.network.kill(virtual.address)

    def _build(self) -> VirtualNode:
        number = self._count
        self._count += 1
        clock = VirtualClock(self._seed * MAX_NODES + number + 1)
        address = next(self._addresses)
        identity = NodeId(f"node-{number}-{clock.identifier()[:8]}")
        seeds = [str(virtual.address) for virtual in self.nodes.values()][:SEEDS]
        settings = NodeSettings(
            name=f"node-{number}",
            region=self.document.region,
            zone=self.document.zones[number % len(self.document.zones)],
            seeds=tuple(seeds),
            drain_seconds=DRAIN_SECONDS,
        )
        records = InProcessRecords(self.store, clock)
        ports = NodePorts(
            clock=clock,
            engine=InProcessEngine(self.engines),
            tools=InProcessTools(self.tools, clock),
            records=records,
            machines=InProcessMachines(self.machines, clock),
            peers=self.network.join(identity, address),
            peer_address=address,
        )
        node = build_node(settings, ports, self.document, node=identity)
        return VirtualNode(node, clock, address, records)

    def _engine(self, worker: WorkerSettings) -> EngineWorker:
        pools = {pool.name: pool for pool in self.document.pools}
        models = tuple(ModelName(model) for model in pools[worker.pool].models)
        return EngineWorker(EngineWorkerSettings(worker.name, models), self.clock)

    def _listed(self, worker: WorkerSettings) -> Machine:
        region = RegionName(self.document.region)
        return Machine(worker.name, "worker", worker.url, ZoneName(worker.zone), region, False)


def _engine_workers(document: ClusterConfiguration) -> list[WorkerSettings]:
    engine_pools = {pool.name for pool in document.pools if pool.kind == "engine"}
    return [worker for worker in document.workers if worker.pool in engine_pools]
