"""Part: epochs, ownership of shards and their replicated journals."""

from dataclasses import dataclass

from foxwinch.node.interfaces import EpochView, JournalView, OwnershipView
from foxwinch.node.local import LocalJournal, LocalOwnership
from foxwinch.node.local_cluster import LocalEpochs
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.membership import MembershipPart


@dataclass(frozen=True, slots=True)
class JournalPart:
    """Ownership, journal and epochs of the node."""

    epochs: EpochView
    ownership: OwnershipView
    journal: JournalView
    services: tuple[NodeService, ...] = ()


def build_journal(context: NodeContext, membership: MembershipPart) -> JournalPart:
    """Build the part; a single node owns every shard and keeps its journal in memory."""
    return JournalPart(LocalEpochs(), LocalOwnership(), LocalJournal())
