"""Store of the gossip entries held by one node."""

from collections import defaultdict
from collections.abc import Callable, Mapping

from foxwinch.core.membership.entry import GossipEntry, GossipKind, replaces
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.identifiers import NodeId


class EntryStore:
    """Entries by kind and key; entries of absent owners are dropped."""

    def __init__(self, parameters: MembershipParameters) -> None:
        self._parameters = parameters
        self._entries: defaultdict[GossipKind, dict[str, GossipEntry]] = defaultdict(dict)
        self._changed_at_seconds: dict[tuple[GossipKind, str], float] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._changed_at_seconds)

    def put(self, entry: GossipEntry, now: float) -> bool:
        """Store an entry if it is newer and there is room; return whether it was stored."""
        held = self._entries[entry.kind].get(entry.key)
        if not replaces(entry, held):
            return False
        if held is None and len(self) >= self._parameters.max_entries:
            return False
        self._entries[entry.kind][entry.key] = entry
        self._changed_at_seconds[(entry.kind, entry.key)] = now
        return True

    def get(self, kind: GossipKind, key: str) -> GossipEntry | None:
        """Return an entry, or None if it is not held."""
        return self._entries[kind].get(key)

    def of_kind(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return a copy of the entries of a kind."""
        return dict(self._entries[kind])

    def changed_at_seconds(self, entry: GossipEntry) -> float:
        """Return when this node last stored a new version of an entry."""
        return self._changed_at_seconds[(entry.kind, entry.key)]

    def drop_owned_by(self, node: NodeId) -> list[GossipEntry]:
        """Drop and return the entries owned by a node."""
        return self._drop_where(lambda entry: entry.owner == node)

    def drop_orphans(self, is_known: Callable[[NodeId], bool], now: float) -> list[GossipEntry]:
        """Drop and return old entries whose owner never appeared as a member."""
        before = now - self._parameters.unknown_owner_seconds
        return self._drop_where(
            lambda entry: (
                entry.owner is not None
                and not is_known(entry.owner)
                and self.changed_at_seconds(entry) < before
            )
        )

    def _drop_where(self, condition: Callable[[GossipEntry], bool]) -> list[GossipEntry]:
        dropped = [e for held in self._entries.values() for e in held.values() if condition(e)]
        for entry in dropped:
            del self._entries[entry.kind][entry.key]
            del self._changed_at_seconds[(entry.kind, entry.key)]
        return dropped
