"""Interfaces of membership and gossip for the other components of a node."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member


class MembershipView(Protocol):
    """The members of the region as known to this node."""

    def this_member(self) -> Member:
        """Return this node's own record."""
        ...

    def members(self) -> Sequence[Member]:
        """Return every known member, including this node."""
        ...

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with every changed member record."""
        ...


class GossipView(Protocol):
    """Gossip of small versioned values within a region, and of global ones between regions."""

    def publish(self, entry: GossipEntry) -> None:
        """Gossip an entry; ignored if the same or a higher version is already held."""
        ...

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries of a kind by key."""
        ...

    def subscribe(self, kind: GossipKind, listener: Callable[[GossipEntry], None]) -> None:
        """Call `listener` with every new or newer entry of a kind."""
        ...
