"""In-process membership, gossip, epochs and peer endpoint for a node without peers."""

from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Mapping, Sequence

from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member
from foxwinch.identifiers import Epoch
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import DatagramHandler, PeerAddress, StreamHandler, UnaryHandler
from foxwinch.workers.ports import EpochClaim


class LocalMembership:
    """Membership that consists of this node only."""

    def __init__(self, member: Member) -> None:
        self._member = member

    def this_member(self) -> Member:
        """Return this node."""
        return self._member

    def members(self) -> Sequence[Member]:
        """Return this node as the only member."""
        return (self._member,)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Ignore the listener: membership never changes."""


class LocalGossip:
    """Gossip that is visible to this node only."""

    def __init__(self) -> None:
        self._entries: defaultdict[GossipKind, dict[str, GossipEntry]] = defaultdict(dict)

    def publish(self, entry: GossipEntry) -> None:
        """Store the entry unless the same or a newer version is present."""
        current = self._entries[entry.kind].get(entry.key)
        if current is None or current.version < entry.version:
            self._entries[entry.kind][entry.key] = entry

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries of a kind, by key."""
        return dict(self._entries[kind])

    def subscribe(self, kind: GossipKind, listener: Callable[[GossipEntry], None]) -> None:
        """Ignore the listener: no entries arrive from other nodes."""


class LocalEpochs:
    """Epochs counted in memory."""

    def __init__(self) -> None:
        self._epochs: defaultdict[str, int] = defaultdict(int)

    async def raise_epoch(self, resource: str) -> EpochClaim | Refused:
        """Increment and claim the epoch; there are no competing claims."""
        self._epochs[resource] += 1
        return EpochClaim(resource, Epoch(self._epochs[resource]))


class NoPeers:
    """Peer endpoint of a node without peers."""

    async def call(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> bytes | Refused:
        """Refuse the call: no peer is reachable."""
        return not_run(Reason.PEER_UNREACHABLE, "this node has no peer endpoint")

    async def stream(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncIterator[bytes | Refused]:
        """Refuse the call: no peer is reachable."""
        yield not_run(Reason.PEER_UNREACHABLE, "this node has no peer endpoint")

    def send_datagram(self, address: PeerAddress, payload: bytes) -> None:
        """Discard the datagram."""

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Ignore the handler: no peer sends anything."""

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Ignore the handler: no peer sends anything."""

    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Ignore the handler: no peer sends anything."""
