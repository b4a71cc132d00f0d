"""What membership and gossip ask of their driver."""

from dataclasses import dataclass

from foxwinch.core.membership.entry import GossipEntry
from foxwinch.core.membership.member import Member
from foxwinch.identifiers import PeerAddress, RegionName


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram."""

    address: PeerAddress
    payload: bytes


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member of the region has a new state."""

    member: Member


@dataclass(frozen=True, slots=True)
class EntryChanged:
    """A newer entry has arrived."""

    entry: GossipEntry


Action = SendDatagram | MemberChanged | EntryChanged


@dataclass(frozen=True, slots=True)
class RegionState:
    """What this node knows of one region."""

    region: RegionName
    present_nodes: int
    bridges: tuple[PeerAddress, ...]
    silent_seconds: float
    """Since the region's summary last changed here; 0 for the own region."""
    cut_off: bool
    """Silent for so long that it cannot be reached, or this region cannot."""


@dataclass(slots=True)
class MembershipCounters:
    """Totals since the start, for metrics and experiments."""

    datagrams_sent: int = 0
    bytes_sent: int = 0
    """With IP and UDP headers."""
    datagrams_received: int = 0
    bytes_received: int = 0
    malformed: int = 0
    suspicions: int = 0
    """Members that this node itself began to suspect."""
    condemnations: int = 0
    """Members that this node itself declared dead."""
    refutations: int = 0
    over_budget: int = 0
    """Datagrams not sent because the budget was used up."""
