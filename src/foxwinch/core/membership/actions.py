"""Actions that the membership engine returns to its driver, and its reported state."""

from dataclasses import dataclass

from foxwinch.core.membership.entry import GossipEntry
from foxwinch.core.membership.member import Member
from foxwinch.identifiers import PeerAddress, RegionName


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram to a peer."""

    address: PeerAddress
    payload: bytes


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """The state or incarnation of a member of this region has changed."""

    member: Member


@dataclass(frozen=True, slots=True)
class EntryChanged:
    """A gossip entry has been added or replaced by a newer version."""

    entry: GossipEntry


Action = SendDatagram | MemberChanged | EntryChanged


@dataclass(frozen=True, slots=True)
class RegionState:
    """One region as this node sees it."""

    region: RegionName
    present_nodes: int
    bridges: tuple[PeerAddress, ...]
    silent_seconds: float
    """Time since this node last received a new summary of the region; 0 for its own region."""
    cut_off: bool
    """Whether the region is considered partitioned from this one.

    This is the case when no new summary of it has arrived for `region_silent_seconds`.
    """


@dataclass(slots=True)
class MembershipCounters:
    """Totals since the engine started, for metrics and experiments."""

    datagrams_sent: int = 0
    bytes_sent: int = 0
    """Includes IP and UDP headers."""
    datagrams_received: int = 0
    bytes_received: int = 0
    malformed: int = 0
    suspicions: int = 0
    """Suspicions raised by this node."""
    condemnations: int = 0
    """Members declared dead by this node."""
    refutations: int = 0
    over_budget: int = 0
    """Datagrams dropped because the byte budget was exhausted."""
