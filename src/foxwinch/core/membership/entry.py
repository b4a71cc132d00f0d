"""Gossip entries: versioned values that are spread along with membership records."""

from dataclasses import dataclass
from enum import IntEnum

from foxwinch.identifiers import NodeId


class GossipKind(IntEnum):
    """Subject of a gossip entry; the value is its rank, and lower ranks are sent first."""

    LEAVING = 0
    MEMBERSHIP = 1
    CONFIGURATION = 2
    SHARD = 3
    COORDINATOR = 4
    USAGE = 5


@dataclass(frozen=True, slots=True)
class GossipEntry:
    """A versioned value; the highest version under a key wins on every node."""

    kind: GossipKind
    key: str
    version: int
    payload: bytes
    """Serialized protobuf message of the publishing subsystem, at most `MAX_PAYLOAD_BYTES`."""
    owner: NodeId | None = None
    """Node that the entry describes; the entry is dropped once that node has left or died.

    `GossipView.publish` fills in this node for the kinds in `OWNED_KINDS`."""

    @property
    def is_global(self) -> bool:
        """Whether the entry is gossiped to all regions rather than only its own."""
        return self.kind in GLOBAL_KINDS


GLOBAL_KINDS = frozenset({GossipKind.MEMBERSHIP, GossipKind.CONFIGURATION})
OWNED_KINDS = frozenset({GossipKind.SHARD, GossipKind.COORDINATOR, GossipKind.USAGE})
"""Kinds that describe the publishing node; other kinds outlive the node that published them."""
MAX_PAYLOAD_BYTES = 700
"""Largest payload that fits into one datagram together with its key, owner and sender."""
MAX_KEY_BYTES = 120


def replaces(new: GossipEntry, held: GossipEntry | None) -> bool:
    """Return whether a received entry replaces the held one.

    Two payloads under one version are a publisher's fault; the greater payload wins, so that all
    nodes still converge to the same value.
    """
    if held is None or new.version != held.version:
        return held is None or new.version > held.version
    return new.payload > held.payload
