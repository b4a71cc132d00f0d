"""Gossip as the other parts of a node see it."""

from collections import defaultdict
from collections.abc import Callable, Mapping

from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.membership.service import MembershipService


class GossipService:
    """Implements `foxwinch.membership.ports.GossipView`; runs inside the membership's service."""

    def __init__(self, membership: MembershipService) -> None:
        """Spread entries with the datagrams of `membership`."""
        self._membership = membership
        self._listeners: defaultdict[GossipKind, list[Callable[[GossipEntry], None]]]
        self._listeners = defaultdict(list)
        membership.subscribe_entries(self._arrived)

    def publish(self, entry: GossipEntry) -> None:
        """Spread an entry; raises `ValueError` when it fits no datagram.

        Entries of the owned kinds become this node's unless they name another owner.
        """
        self._membership.publish(entry)

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries held of a kind, by key."""
        return self._membership.engine.entries(kind)

    def subscribe(self, kind: GossipKind, listener: Callable[[GossipEntry], None]) -> None:
        """Call `listener` with every newer entry of a kind, this node's own included."""
        self._listeners[kind].append(listener)

    def _arrived(self, entry: GossipEntry) -> None:
        for listener in list(self._listeners[entry.kind]):
            listener(entry)
