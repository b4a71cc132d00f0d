"""Test cluster of coordinators and owners on virtual time, with a memory network."""

import asyncio
from pathlib import Path

from prometheus_client import CollectorRegistry

from foxwinch.backends.ports import GenerateFinished, GenerateRequest, Message
from foxwinch.configuration.local import LocalConfiguration
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.orders.reconciler import OrderPolicy
from foxwinch.emulator.clock import VirtualClock
from foxwinch.emulator.engine_worker import EngineWorker, EngineWorkerSettings
from foxwinch.emulator.in_process import InProcessMachines
from foxwinch.emulator.in_process_engine import InProcessEngine
from foxwinch.emulator.machines import MachineModel
from foxwinch.emulator.network import MemoryNetwork, addresses
from foxwinch.node.local_cluster import LocalEpochs, LocalGossip
from foxwinch.settings.base import check, read_toml
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.storage.ports import Machine
from foxwinch.workers.coordinator_client import CoordinatorClient
from foxwinch.workers.coordinator_directory import CoordinatorDirectory
from foxwinch.workers.coordinator_service import CoordinatorPorts, CoordinatorService
from foxwinch.workers.grants_service import GrantsService
from foxwinch.workers.orders_service import OrdersService
from foxwinch.workers.ports import GrantRequest, GrantUsage

CLEDWYN = Path(__file__).parents[1] / "examples" / "cledwyn.toml"
MODEL = "rail-chat"


def document(workers):
    """Return the example configuration with only its first `workers` engine workers."""
    full_document = check(ClusterConfiguration, read_toml(CLEDWYN), str(CLEDWYN))
    engines = [w for w in full_document.workers if w.pool == "llm-pool"][:workers]
    return full_document.model_copy(update={"workers": tuple(engines)})


class Views:
    """Membership and gossip of one node, which receives gossip sent during a pause afterwards."""

    def __init__(self, cluster, member):
        self.cluster, self.member = cluster, member
        self.held, self.listeners, self.member_listeners = LocalGossip(), [], []
        self.paused, self.missed = False, []

    def this_member(self):
        return self.member

    def members(self):
        return list(self.cluster.members.values())

    def entries(self, kind):
        return self.held.entries(kind)

    def publish(self, entry):
        self.held.publish(entry)
        for node in self.cluster.nodes.values():
            if node.views is not self:
                asyncio.get_running_loop().call_later(0.1, node.views.arrive, entry)

    def arrive(self, entry):
        if self.paused:
            self.missed.append(entry)
            return
        known = self.held.entries(entry.kind).get(entry.key)
        if known is None or known.version < entry.version:
            self.held.publish(entry)
            for kind, listener in self.listeners:
                if kind is entry.kind:
                    listener(entry)

    def subscribe(self, kind_or_listener, listener=None):
        if listener is not None:
            self.listeners.append((kind_or_listener, listener))


class Node:
    """Coordinator and owner services of one node."""

    def __init__(self, cluster, number, address):
        name = f"n{number}"
        zone = cluster.document.zones[number % len(cluster.document.zones)]
        member = Member(name, address, zone, "cymru", MemberState.ALIVE, 0)
        self.name, self.address = name, address
        self.clock = VirtualClock(number)
        self.peers = cluster.network.join(name, address)
        self.views = Views(cluster, member)
        cluster.members[name] = member
        configuration = LocalConfiguration(cluster.document)
        self.directory = CoordinatorDirectory(self.views, self.views)
        ports = CoordinatorPorts(
            node=name,
            clock=self.clock,
            engine=cluster.engine,
            configuration=configuration,
            membership=self.views,
            gossip=self.views,
            epochs=cluster.epochs,
            peers=self.peers,
            machines=InProcessMachines(cluster.machines, self.clock),
            registry=CollectorRegistry(),
        )
        self.coordinator = CoordinatorService(ports, self.directory)
        client = CoordinatorClient(name, self.coordinator.handlers, self.peers)
        self.grants = GrantsService(self.directory, client, configuration, self.clock)
        self.orders = OrdersService(
            "cymru",
            self.coordinator,
            self.directory,
            client,
            configuration,
            self.clock,
            OrderPolicy(),
        )

    async def start(self):
        await self.coordinator.start()
        await self.grants.start()
        await self.orders.start()

    async def stop(self):
        await self.orders.stop()
        await self.grants.stop()
        await self.coordinator.stop()


class CoordinatorCluster:
    """Cluster of nodes n0, n1, ... with the engine workers of the example configuration."""

    def __init__(self, nodes=3, workers=4, empty=()):
        self.document = document(workers)
        self.network, self.epochs = MemoryNetwork(1), LocalEpochs()
        self.members, self.nodes = {}, {}
        self.engines = {
            w.name: EngineWorker(
                EngineWorkerSettings(w.name, () if w.name in empty else (MODEL,)), VirtualClock(99)
            )
            for w in self.document.workers
        }
        self.engine = InProcessEngine(self.engines)
        listed = (
            Machine(w.name, "worker", "127.0.0.1:1", w.zone, "cymru", False)
            for w in self.document.workers
        )
        self.machines = MachineModel(tuple(listed))
        self.addresses = iter(addresses(20))
        for number in range(nodes):
            self.add(number)

    def add(self, number):
        node = Node(self, number, next(self.addresses))
        self.nodes[node.name] = node
        return node

    async def __aenter__(self):
        for node in self.nodes.values():
            await node.start()
        await until(lambda: len(self.serving()) == len(self.engines))
        return self

    async def __aexit__(self, *error):
        for node in list(self.nodes.values()):
            await node.stop()
        for engine in self.engines.values():
            engine.stop()

    def serving(self):
        """Return the serving node of each worker."""
        return {
            worker: node.name
            for node in self.nodes.values()
            for worker in self.engines
            if node.coordinator.state_of(worker) == "serving" and not node.views.paused
        }

    async def kill(self, name):
        """Kill a node as by `kill -9`; the others detect its death two seconds later."""
        node = self.nodes.pop(name)
        self.network.kill(node.address)
        await node.stop()
        asyncio.get_running_loop().call_later(2.0, self.members.pop, name)

    def pause(self, name):
        node = self.nodes[name]
        node.clock.pause()
        node.views.paused = True
        self.network.pause(node.address)

    def resume(self, name):
        node = self.nodes[name]
        node.views.paused = False
        node.clock.resume()
        self.network.resume(node.address)
        for entry in node.views.missed:
            node.views.arrive(entry)

    def cached_programs(self):
        """Return the programs with cache on any engine."""
        return {p for engine in self.engines.values() for p in engine._prefixes}


async def until(condition, seconds=60.0):
    """Wait until a condition holds, for at most `seconds` of virtual time."""
    deadline = asyncio.get_running_loop().time() + seconds
    while not condition():
        assert asyncio.get_running_loop().time() < deadline, "condition not met in time"
        await asyncio.sleep(0.05)


def request(call, program="p1", seconds=60.0, class_name="journey"):
    return GrantRequest(
        call_id=call,
        program_id=program,
        tenant="seat-reservations",
        class_name=class_name,
        model=MODEL,
        prompt_tokens=200,
        output_tokens=16,
        prefix_hashes=(),
        service_seconds=1.0,
        deadline_at_seconds=asyncio.get_running_loop().time() + seconds,
    )


async def run_call(cluster, node, call, program="p1"):
    """Run a call to completion, and return its grant and last event."""
    grant = await node.grants.acquire(request(call, program))
    order = GenerateRequest(
        call, program, MODEL, (Message("user", program * 200),), 16, grant.priority, grant.epoch
    )
    last = None
    async for event in cluster.engine.generate(grant.worker, order):
        last = event
    done = isinstance(last, GenerateFinished)
    not_run = not done and last.run_state == "not_run"
    node.grants.settle(grant, GrantUsage(call, 200, 0, 16 if done else 0, not done, not_run))
    return grant, last
