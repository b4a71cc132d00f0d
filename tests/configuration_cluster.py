"""Configuration services of several nodes on virtual time, with unreliable gossip and calls."""

import asyncio
import itertools
import random
from pathlib import Path

import looptime
from prometheus_client import CollectorRegistry

from foxwinch.configuration.service import ConfigurationService, ConfigurationServicePorts
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.emulator.faults import ServiceFaults
from foxwinch.emulator.in_process import InProcessRecords
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.node.local_cluster import LocalGossip, NoPeers
from foxwinch.outcomes import Reason, not_run
from foxwinch.peer.ports import PeerAddress, PeerContext
from foxwinch.settings.base import check, read_toml
from foxwinch.settings.cluster import ClusterConfiguration

ANTI_ENTROPY_SECONDS = 2.0
CLEDWYN = Path(__file__).parents[1] / "examples" / "cledwyn.toml"
DOCUMENT = check(ClusterConfiguration, read_toml(CLEDWYN), str(CLEDWYN))


def document_with(rate):
    tenant = DOCUMENT.tenants[0].model_copy(update={"requests_per_second": float(rate)})
    return DOCUMENT.model_copy(update={"tenants": (tenant,)})


class VirtualClock:
    def __init__(self, seed):
        self.random = random.Random(seed)

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return self.monotonic()

    def identifier(self):
        return f"{self.random.getrandbits(128):032x}"

    def uniform(self):
        return self.random.random()

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)


class FakeNode(NoPeers):
    """One node's gossip, calls and membership; the oracle uses `highest_received`."""

    def __init__(self, cluster, number):
        self.cluster, self.number = cluster, number
        self.handlers, self.listeners, self.held = {}, [], LocalGossip()
        self.highest_received = 0
        self.member = Member(
            f"node-{number}", PeerAddress("127.0.0.1", number), f"zone-{number % 2}", "region",
            MemberState.ALIVE, 0,
        )  # fmt: skip
        self.records = InProcessRecords(cluster.model, cluster.clock)
        ports = ConfigurationServicePorts(cluster.clock, self.records, self, self, self)
        self.service = ConfigurationService(ports, CollectorRegistry(), DOCUMENT)

    def this_member(self):
        return self.member

    def members(self):
        return [node.member for node in self.cluster.nodes.values()]

    def subscribe(self, kind, listener):
        self.listeners.append(listener)

    def entries(self, kind):
        return self.held.entries(kind)

    def publish(self, entry):
        known = self.held.entries(entry.kind).get(entry.key)
        if known is None or known.version < entry.version:
            self.held.publish(entry)
            self.highest_received = max(self.highest_received, entry.version)
            for other in self.cluster.nodes.values():
                if other is not self:
                    self.spread(other, entry)

    def spread(self, other, entry):
        """Send an entry, and resend a lost one as anti-entropy would."""
        if self.cluster.nodes.get(other.number) is not other:
            return
        loop = asyncio.get_running_loop()
        if self.cluster.passes(self, other):
            loop.call_later(0.1, other.arrive, entry)
        elif self.cluster.nodes.get(self.number) is self:
            loop.call_later(ANTI_ENTROPY_SECONDS, self.spread, other, entry)

    def arrive(self, entry):
        known = self.held.entries(entry.kind).get(entry.key)
        if self.cluster.nodes.get(self.number) is self and (
            known is None or known.version < entry.version
        ):
            self.held.publish(entry)
            self.highest_received = max(self.highest_received, entry.version)
            for listener in self.listeners:
                listener(entry)

    async def call(self, address, method, payload, deadline_seconds):
        other = self.cluster.nodes.get(address.port)
        await asyncio.sleep(0.002)
        if other is None or not self.cluster.passes(self, other) or method not in other.handlers:
            return not_run(Reason.PEER_UNREACHABLE, "network partitioned")
        return await other.handlers[method](PeerContext(self.member.node, 1.0), payload)

    def handle(self, method, handler):
        self.handlers[method] = handler


class FakeCluster:
    """Nodes by number; those in `cut` are partitioned from the others."""

    def __init__(self, seed):
        self.loop = looptime.new_event_loop(start=0)
        self.failures = []
        self.loop.set_exception_handler(lambda _, context: self.failures.append(context))
        self.clock = VirtualClock(seed)
        self.model = RecordStoreModel(self.clock)
        self.nodes, self.cut, self.loss = {}, set(), 0.0
        self.numbers = itertools.count(1)

    def passes(self, one, other):
        separated = (one.number in self.cut) != (other.number in self.cut)
        return not separated and self.clock.uniform() >= self.loss

    def run(self, work):
        return self.loop.run_until_complete(work)

    def start_node(self, **faults):
        node = FakeNode(self, next(self.numbers))
        node.records.gate.faults = ServiceFaults(**faults)
        self.nodes[node.number] = node
        self.run(node.service.start())
        return node

    def kill(self, number):
        node = self.nodes.pop(number)
        self.run(node.service.stop())

    def close(self):
        for number in list(self.nodes):
            self.kill(number)
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run(asyncio.wait(tasks))
        self.loop.close()
