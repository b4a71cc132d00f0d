"""A cluster of nodes with real membership, ownership and journals on virtual time."""

import asyncio

from prometheus_client import CollectorRegistry

from foxwinch._generated.journal_pb2 import JournalRecord, ProgramFinished
from foxwinch.emulator.clock import VirtualClock
from foxwinch.emulator.faults import ServiceFaults
from foxwinch.emulator.in_process import InProcessObjects, InProcessTable
from foxwinch.emulator.network import MemoryNetwork
from foxwinch.emulator.objects import ObjectModel
from foxwinch.emulator.table import TableModel
from foxwinch.identifiers import NodeId
from foxwinch.node.interfaces import Appended, OwnedHere
from foxwinch.node.parts.context import NodeContext
from foxwinch.node.parts.journal import build_journal
from foxwinch.node.parts.membership import build_membership
from foxwinch.node.ports import NodePorts
from foxwinch.peer.ports import PeerAddress
from foxwinch.settings.process import NodeSettings


class Programs:
    """Holds records as they are loaded and appended; its snapshot is all of them."""

    def __init__(self):
        self.records = {}
        self.loads = 0
        self.running = 0

    def load_shard(self, shard, epoch, records):
        self.records[shard] = list(records)
        self.loads += 1

    def drop_shard(self, shard):
        self.records.pop(shard, None)

    def snapshot_records(self, shard):
        return self.records[shard]


class ClusterNode:
    def __init__(self, cluster, number, zone, seeds):
        self.number = number
        self.name = NodeId(f"node-{number}-{cluster.lives}")
        self.address = PeerAddress("127.0.0.1", 7000 + number)
        self.clock = VirtualClock(cluster.lives + 1)
        self.table = InProcessTable(cluster.table, self.clock)
        self.objects = InProcessObjects(cluster.objects, self.clock)
        self.peers = cluster.network.join(self.name, self.address)
        ports = NodePorts(
            clock=self.clock,
            engine=None,
            table=self.table,
            objects=self.objects,
            peers=self.peers,
            peer_address=self.address,
        )
        settings = NodeSettings(
            name=f"node-{number}", region="cymru", zone=zone, seeds=tuple(map(str, seeds))
        )
        context = NodeContext(self.name, settings, ports, CollectorRegistry())
        self.membership = build_membership(context)
        self.part = build_journal(context, self.membership)
        self.programs = Programs()
        self.part.attach_programs(self.programs, lambda shard: self.programs.running)
        self.services = [*self.membership.services, *self.part.services]

    async def start(self):
        for service in self.services:
            await service.start()

    async def stop(self):
        for service in reversed(self.services):
            await service.stop()

    async def drain(self):
        for service in reversed(self.services):
            drain = getattr(service, "drain", None)
            if drain is not None:
                await drain()

    async def append(self, program, number):
        """Append one record to the program's shard as its owner would."""
        owned = self.part.ownership.locate(program)
        if not isinstance(owned, OwnedHere):
            return owned
        record = JournalRecord(
            program_finished=ProgramFinished(program_id=program, reason=str(number))
        )
        outcome = await self.part.journal.append(owned.shard, owned.epoch, [record])
        if isinstance(outcome, Appended):
            self.programs.records.setdefault(owned.shard, []).append(record)
        return outcome

    def numbers(self, program):
        """Return the numbers recorded of a program, in order, as this owner has them."""
        return [
            int(record.program_finished.reason)
            for records in self.programs.records.values()
            for record in records
            if record.program_finished.program_id == program
        ]


class ShardCluster:
    def __init__(self, zones):
        self.network = MemoryNetwork(7)
        self.table = TableModel()
        self.objects = ObjectModel()
        self.lives = 0
        self.nodes = []
        for zone in zones:
            self.add(zone)

    def add(self, zone, number=None):
        """Add a node; a `number` used before is a new life at the same address."""
        seeds = [node.address for node in self.nodes[:2]]
        node = ClusterNode(self, self.lives if number is None else number, zone, seeds)
        self.lives += 1
        self.nodes.append(node)
        return node

    async def start(self):
        for node in self.nodes:
            await node.start()
        await self.settle()

    async def stop(self):
        for node in self.nodes:
            await node.stop()

    async def settle(self, seconds=120.0):
        """Wait until every shard is owned and has the replicas that the zones allow."""
        await self.until(lambda: self.owners() == 64 and self.is_settled(), seconds)

    async def until(self, condition, seconds=60.0):
        async with asyncio.timeout(seconds):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def owners(self):
        return sum(len(list(node.part.journal.owned())) for node in self.nodes)

    def is_settled(self):
        zones = {node.membership.membership.this_member().zone for node in self.nodes}
        size = min(3, len(zones))
        present = {node.name for node in self.nodes}
        return all(
            owned.ready.is_set()
            and len(owned.journal.configuration.group) == size
            and present.issuperset(owned.journal.configuration.nodes())
            for node in self.nodes
            for _, owned in node.part.journal.owned()
        )

    def owner_of(self, program):
        for node in self.nodes:
            if isinstance(node.part.ownership.locate(program), OwnedHere):
                return node
        return None

    async def some_owner_of(self, program):
        """Wait until some node serves the program's shard."""
        await self.until(lambda: self.owner_of(program) is not None)
        return self.owner_of(program)

    async def kill(self, node):
        """End a node as by kill -9: its memory is gone and nobody is told."""
        self.nodes.remove(node)
        self.network.kill(node.address)
        await node.stop()

    def pause(self, node):
        node.clock.pause()
        self.network.pause(node.address)

    def resume(self, node):
        self.network.resume(node.address)
        node.clock.resume()

    def compact_after(self, limit_bytes):
        for node in self.nodes:
            node.part.journal.compact_bytes = limit_bytes

    def split_messages_after(self, limit_bytes):
        for node in self.nodes:
            node.part.services[1].part_bytes = limit_bytes

    def set_table(self, **faults):
        for node in self.nodes:
            node.table.gate.faults = ServiceFaults(**faults)
            node.objects.gate.faults = ServiceFaults(**faults)
