"""Part: epochs, ownership of shards and their replicated journals."""

from dataclasses import dataclass, field

from foxwinch.node.epoch_service import EpochPorts, EpochService
from foxwinch.node.interfaces import EpochView, JournalView, OwnershipView
from foxwinch.node.local import LocalJournal, LocalOwnership
from foxwinch.node.local_cluster import LocalEpochs
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.queries.facts import NoShards, ShardFacts


@dataclass(frozen=True, slots=True)
class JournalPart:
    """Ownership, journal and epochs of the node."""

    epochs: EpochView
    ownership: OwnershipView
    journal: JournalView
    facts: ShardFacts = field(default_factory=NoShards)
    services: tuple[NodeService, ...] = ()


def build_journal(context: NodeContext, membership: MembershipPart) -> JournalPart:
    """Build the part; without table and peers the node owns all and keeps it in memory."""
    ports = context.ports
    if ports.table is None and ports.peers is None:
        return JournalPart(LocalEpochs(), LocalOwnership(), LocalJournal())
    epochs = EpochService(EpochPorts(ports.clock, membership.membership, ports.table, ports.peers))
    return JournalPart(epochs, LocalOwnership(), LocalJournal(), services=(epochs,))
