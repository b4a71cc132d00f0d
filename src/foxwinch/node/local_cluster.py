"""Single-process implementations of membership, gossip, epochs and the peer port."""

from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Mapping, Sequence

from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member
from foxwinch.identifiers import Epoch
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import DatagramHandler, PeerAddress, StreamHandler, UnaryHandler
from foxwinch.workers.ports import EpochClaim


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


class NoPeers:
    """A peer side that reaches nobody."""

    async def call(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> bytes | Refused:
        """Refuse."""
        return not_run(Reason.PEER_UNREACHABLE, "this node has no peer side")

    async def stream(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncIterator[bytes | Refused]:
        """Refuse."""
        yield not_run(Reason.PEER_UNREACHABLE, "this node has no peer side")

    def send_datagram(self, address: PeerAddress, payload: bytes) -> None:
        """Send to nobody."""

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Accept a handler that will never be called."""

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Accept a handler that will never be called."""

    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Accept a handler that will never be called."""
