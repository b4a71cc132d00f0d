"""A cluster of complete nodes on one event loop, with virtual time and in-memory ports.

The nodes are built by `build_node` as in a real process. Only their ports to the network, the
platform and the backends differ.
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
MAX_SEEDS = 3
"""Number of running nodes that a starting node gets as seeds."""
DRAIN_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class VirtualNode:
    """A node with its clock, address and access to the shared store."""

    node: Node
    clock: VirtualClock
    address: PeerAddress
    records: InProcessRecords
    """This node's access to the shared store; its faults may be changed."""

    @property
    def identity(self) -> NodeId:
        """Return the node's identity."""
        return self.node.context.node

    def execute(self, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Execute a request as for a caller at this node."""
        return self.node.parts.programs.execute(request)


class VirtualCluster:
    """Nodes of one deployment over shared emulated services."""

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
        """Start `count` nodes, assigned to the zones in turn."""
        started = []
        for _ in range(count):
            virtual_node = self._build()
            self.nodes[virtual_node.identity] = virtual_node
            await virtual_node.node.start()
            started.append(virtual_node)
        return started

    async def drain(self, virtual_node: VirtualNode) -> bool:
        """Drain and stop a node; return False if work was interrupted."""
        completed = await virtual_node.node.drain()
        await self._stop(virtual_node)
        return completed

    async def kill(self, virtual_node: VirtualNode) -> None:
        """Kill a node, so that nothing it does afterwards has any effect outside."""
        self.network.kill(virtual_node.address)
        gate = virtual_node.records.gate
        gate.faults = gate.faults.model_copy(update={"down": True})
        await self._stop(virtual_node)

    def pause(self, virtual_node: VirtualNode) -> None:
        """Pause a node as SIGSTOP does."""
        virtual_node.clock.pause()
        self.network.pause(virtual_node.address)

    def resume(self, virtual_node: VirtualNode) -> None:
        """Resume a paused node as SIGCONT does."""
        virtual_node.clock.resume()
        self.network.resume(virtual_node.address)

    def partition(self, one_side: Iterable[VirtualNode]) -> None:
        """Isolate some nodes from the others until `network.heal`."""
        inside = [virtual_node.address for virtual_node in one_side]
        outside = [v.address for v in self.nodes.values() if v.address not in inside]
        self.network.partition(inside, outside)

    async def stop(self) -> None:
        """Stop every node."""
        for virtual_node in list(self.nodes.values()):
            self.resume(virtual_node)
            await self._stop(virtual_node)

    async def _stop(self, virtual_node: VirtualNode) -> None:
        self.nodes.pop(virtual_node.identity, None)
        await virtual_node.node.stop()
        await virtual_node.records.service.stop()
        self.network.kill(virtual_node.address)

    def _build(self) -> VirtualNode:
        number = self._count
        self._count += 1
        clock = VirtualClock(self._seed * MAX_NODES + number + 1)
        address = next(self._addresses)
        identity = NodeId(f"node-{number}-{clock.identifier()[:8]}")
        seeds = [str(virtual_node.address) for virtual_node in self.nodes.values()][:MAX_SEEDS]
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
