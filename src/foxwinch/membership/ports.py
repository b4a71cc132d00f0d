"""What other parts of a node ask of membership and gossip."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member


class MembershipView(Protocol):
    """Who is there, as far as this node knows."""

    def this_member(self) -> Member:
        """Return this node itself."""
        ...

    def members(self) -> Sequence[Member]:
        """Return every known member, this node included."""
        ...

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with every change of a member."""
        ...


class GossipView(Protocol):
    """Spread of small versioned values to the nodes of a region, digests between regions."""

    def publish(self, entry: GossipEntry) -> None:
        """Spread an entry; ignored when a version at least as high is held."""
        ...

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries held of a kind, by key."""
        ...

    def subscribe(self, kind: GossipKind, listener: Callable[[GossipEntry], None]) -> None:
        """Call `listener` with every newer entry of a kind that arrives."""
        ...
