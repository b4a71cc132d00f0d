"""Single-process implementations of membership, gossip and epochs."""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from foxwinch.identifiers import Epoch
from foxwinch.node.interfaces import EpochClaim, GossipEntry, GossipKind, Member
from foxwinch.outcomes import Refused


class LocalMembership:
    """A membership of one."""

    def __init__(self, member: Member) -> None:
        """Hold this node as the only member."""
        self._member = member

    def this_member(self) -> Member:
        """Return this node itself."""
        return self._member

    def members(self) -> Sequence[Member]:
        """Return this node."""
        return (self._member,)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Accept a listener that will never be called."""


class LocalGossip:
    """Gossip that reaches only this node."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: defaultdict[GossipKind, dict[str, GossipEntry]] = defaultdict(dict)

    def publish(self, entry: GossipEntry) -> None:
        """Keep an entry unless a version at least as high is held."""
        held = self._entries[entry.kind].get(entry.key)
        if held is None or held.version < entry.version:
            self._entries[entry.kind][entry.key] = entry

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries held of a kind, by key."""
        return dict(self._entries[kind])

    def subscribe(self, kind: GossipKind, listener: Callable[[GossipEntry], None]) -> None:
        """Accept a listener that will never be called: nothing arrives from outside."""


class LocalEpochs:
    """Epochs counted in this process."""

    def __init__(self) -> None:
        """Start with no claims."""
        self._epochs: defaultdict[str, int] = defaultdict(int)

    async def raise_epoch(self, resource: str) -> EpochClaim | Refused:
        """Raise and claim; there is nobody to race with."""
        self._epochs[resource] += 1
        return EpochClaim(resource, Epoch(self._epochs[resource]))
