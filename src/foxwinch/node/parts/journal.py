"""Part: epochs, ownership of shards and their replicated journals."""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxwinch.identifiers import RegionName, ShardNumber
from foxwinch.node.epoch_service import EpochPorts, EpochService
from foxwinch.node.flush_service import FlushService
from foxwinch.node.interfaces import EpochView, JournalView, OwnershipView
from foxwinch.node.journal_service import JournalService, ShardLoader
from foxwinch.node.local import LocalJournal, LocalOwnership
from foxwinch.node.local_cluster import LocalEpochs
from foxwinch.node.ownership_service import OwnershipPorts, OwnershipService
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.node.replica_client import ReplicaClient
from foxwinch.node.replica_service import ReplicaService
from foxwinch.node.shard_facts import OwnedShardFacts
from foxwinch.node.shard_store import ShardStore
from foxwinch.node.takeover_service import TakeoverPorts, TakeoverService
from foxwinch.queries.facts import NoShards, ShardFacts

AttachPrograms = Callable[[ShardLoader, Callable[[ShardNumber], int]], None]
"""Takes who holds the programs of owned shards, and how many calls of a shard run."""


def _attach_nobody(loader: ShardLoader, running_calls: Callable[[ShardNumber], int]) -> None:
    """Attach nothing: a node that owns everything for ever never loads a shard."""


@dataclass(frozen=True, slots=True)
class JournalPart:
    """Ownership, journal and epochs of the node."""

    epochs: EpochView
    ownership: OwnershipView
    journal: JournalView
    facts: ShardFacts = field(default_factory=NoShards)
    services: tuple[NodeService, ...] = ()
    attach_programs: AttachPrograms = _attach_nobody


def build_journal(context: NodeContext, membership: MembershipPart) -> JournalPart:
    """Build the part; without table and peers the node owns all and keeps it in memory."""
    ports = context.ports
    if ports.table is None and ports.peers is None:
        return JournalPart(LocalEpochs(), LocalOwnership(), LocalJournal())
    epochs = EpochService(EpochPorts(ports.clock, membership.membership, ports.table, ports.peers))
    region = RegionName(context.settings.region)
    store = ShardStore(region, ports.table, ports.objects, ports.clock)
    replicas = ReplicaService(context.node, ports.peers, context.registry)
    client = ReplicaClient(context.node, replicas, ports.peers)
    journals = JournalService(context.node, ports.clock, replicas, client, store, context.registry)
    takeover = TakeoverService(
        TakeoverPorts(ports.clock, membership.membership, replicas, client, store)
    )
    ownership = OwnershipService(
        OwnershipPorts(
            ports.clock,
            membership.membership,
            membership.gossip,
            ports.peers,
            takeover,
            journals,
            replicas,
        )
    )
    flush = FlushService(ports.clock, journals, store, client, context.registry)

    def attach(loader: ShardLoader, running_calls: Callable[[ShardNumber], int]) -> None:
        journals.attach(loader, running_calls)
        ownership.attach(running_calls)

    return JournalPart(
        epochs=epochs,
        ownership=ownership,
        journal=journals,
        facts=OwnedShardFacts(context.node, journals, ownership),
        services=(epochs, replicas, flush, ownership),
        attach_programs=attach,
    )
