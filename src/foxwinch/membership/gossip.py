"""Gossip service for the other components of a node."""

from collections import defaultdict
from collections.abc import Callable, Mapping

from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.membership.service import MembershipService


class GossipService:
    """Implements `foxwinch.membership.ports.GossipView` on top of the membership service."""

    def __init__(self, membership: MembershipService) -> None:
        """Gossip entries in the datagrams of `membership`."""
        self._membership = membership
        self._listeners: defaultdict[GossipKind, list[Callable[[GossipEntry], None]]]
        self._listeners = defaultdict(list)
        membership.subscribe_entries(self._notify_listeners)

    def publish(self, entry: GossipEntry) -> None:
        """Gossip an entry; raise `ValueError` if it does not fit into a datagram.

        An entry of an owned kind that names no owner is owned by this node.
        """
        self._membership.publish(entry)

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries of a kind by key."""
        return self._membership.engine.entries(kind)

    def subscribe(self, kind: GossipKind, listener: Callable[[GossipEntry], None]) -> None:
        """Call `listener` with every new or newer entry of a kind, including this node's own."""
        self._listeners[kind].append(listener)

    def _notify_listeners(self, entry: GossipEntry) -> None:
        for listener in list(self._listeners[entry.kind]):
            listener(entry)
