"""What is gossiped besides members."""

from dataclasses import dataclass
from enum import IntEnum

from foxwinch.identifiers import NodeId


class GossipKind(IntEnum):
    """What a gossip entry is about; a lower number goes first inside the byte budget."""

    LEAVING = 0
    MEMBERSHIP = 1
    CONFIGURATION = 2
    SHARD = 3
    COORDINATOR = 4
    USAGE = 5


@dataclass(frozen=True, slots=True)
class GossipEntry:
    """A versioned value; of two versions under one key the higher wins everywhere."""

    kind: GossipKind
    key: str
    version: int
    payload: bytes
    """Serialized protobuf of the subsystem, at most `PAYLOAD_BYTES`."""
    owner: NodeId | None = None
    """Node that the entry speaks of: it is dropped once that node has left or died.

    `GossipView.publish` fills in this node for the kinds in `OWNED_KINDS`."""

    @property
    def is_global(self) -> bool:
        """Whether the entry goes to every region; the others stay inside theirs."""
        return self.kind in GLOBAL_KINDS


GLOBAL_KINDS = frozenset({GossipKind.MEMBERSHIP, GossipKind.CONFIGURATION})
OWNED_KINDS = frozenset({GossipKind.SHARD, GossipKind.COORDINATOR, GossipKind.USAGE})
"""Kinds in which a node speaks of itself; others outlive the node that published them."""
PAYLOAD_BYTES = 700
"""Largest payload: with its key, its owner and the sender it still fits one datagram."""
KEY_BYTES = 120
"""Longest key."""


def replaces(new: GossipEntry, held: GossipEntry | None) -> bool:
    """Tell whether an arriving entry replaces the held one.

    Two payloads under one version are a fault of their publishers; the greater payload wins, so
    that at least all nodes hold the same.
    """
    if held is None or new.version != held.version:
        return held is None or new.version > held.version
    return new.payload > held.payload
