"""Sans-I/O membership and gossip engine: datagrams and the time go in, actions come out."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from foxwinch._generated.membership_pb2 import (
    Digest,
    GossipDatagram,
    Join,
    Probe,
    ProbeRequest,
)
from foxwinch.core.membership.actions import Action, MembershipCounters, RegionState
from foxwinch.core.membership.detector import (
    DeclareDead,
    DetectorAction,
    FailureDetector,
    ProbeMember,
    SuspectMember,
)
from foxwinch.core.membership.entry import (
    MAX_KEY_BYTES,
    MAX_PAYLOAD_BYTES,
    OWNED_KINDS,
    GossipEntry,
    GossipKind,
)
from foxwinch.core.membership.joining import JoinScheduler
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.parameters import UDP_HEADER_BYTES, MembershipParameters
from foxwinch.core.membership.receiver import DatagramReceiver
from foxwinch.core.membership.regions import RegionDirectory
from foxwinch.core.membership.seeded_random import SeededRandom
from foxwinch.core.membership.sender import URGENT_RANK, DatagramSender
from foxwinch.core.membership.state import GossipState
from foxwinch.identifiers import NodeId, PeerAddress

BURST_DATAGRAMS = 4
"""Gossip datagrams per tick while more than half of the burst budget is available."""
LEAVE_NOTIFICATIONS = 5
"""Members notified directly when this node leaves."""


class MembershipEngine:
    """Membership of one node; call `tick` every `tick_seconds` and `receive` for every datagram."""

    def __init__(
        self,
        this: Member,
        seed: int,
        now: float,
        hints: Iterable[PeerAddress] = (),
        parameters: MembershipParameters | None = None,
    ) -> None:
        """Start as the only member; `hints` are addresses at which other nodes may run."""
        self._parameters = parameters or MembershipParameters()
        self._state = GossipState(this, self._parameters, now)
        self._rng = SeededRandom(seed)
        self._detector = FailureDetector(self._state.table, self._rng, self._parameters)
        self._sender = DatagramSender(self._state, now)
        self._regions = RegionDirectory(self._state)
        self._joining = JoinScheduler(self._state, self._regions, self._rng, hints)
        self._receiver = DatagramReceiver(
            self._state, self._sender, self._detector, self._rng, self._joining
        )
        self._receivers: list[NodeId] = []
        self._ticked_at_seconds = now
        self._next_digest_at_seconds = now
        self._next_region_digest_at_seconds = now

    @property
    def counters(self) -> MembershipCounters:
        """Totals since the engine started."""
        return self._state.counters

    def this_member(self) -> Member:
        """Return this node's own record."""
        return self._state.table.this

    def members(self) -> list[Member]:
        """Return every known member of the region, including this node."""
        return self._state.table.all()

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries of a kind by key."""
        return self._state.store.of_kind(kind)

    def regions(self, now: float) -> list[RegionState]:
        """Return the state of every known region, this one first."""
        return self._regions.regions(now)

    def is_bridge(self) -> bool:
        """Return whether this node exchanges gossip with other regions."""
        return self.this_member() in self._regions.bridges()

    def is_alone(self) -> bool:
        """Return whether this node knows no other present member of its region."""
        return not self._state.table.present_others()

    def set_listed_addresses(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace the candidate addresses that come from the platform's machine list."""
        self._joining.set_listed_addresses(addresses)

    def publish(self, entry: GossipEntry, now: float) -> list[Action]:
        """Gossip an entry; raise `ValueError` if it does not fit into a datagram."""
        if (
            not 0 < len(entry.key.encode()) <= MAX_KEY_BYTES
            or len(entry.payload) > MAX_PAYLOAD_BYTES
        ):
            raise ValueError(
                f"gossip entry {entry.key!r}: payload of {len(entry.payload)} bytes; "
                f"allowed: {MAX_PAYLOAD_BYTES} bytes, and {MAX_KEY_BYTES} bytes of key"
            )
        if entry.owner is None and entry.kind in OWNED_KINDS:
            entry = replace(entry, owner=self.this_member().node)
        self._state.merge_entry(entry, now)
        return self._drain()

    def leave(self, now: float) -> list[Action]:
        """Announce that this node is draining; it takes no new work but still responds."""
        return self._announce(MemberState.LEAVING, now)

    def left(self, now: float) -> list[Action]:
        """Announce that this node has left; the engine must not be used afterwards."""
        return self._announce(MemberState.LEFT, now)

    def receive(self, source: PeerAddress, payload: bytes, now: float) -> list[Action]:
        """Process a datagram; a malformed one is only counted."""
        self.counters.datagrams_received += 1
        self.counters.bytes_received += len(payload) + UDP_HEADER_BYTES
        self._receiver.receive(source, payload, now)
        return self._drain()

    def tick(self, now: float) -> list[Action]:
        """Run everything that is due at `now`."""
        if now - self._ticked_at_seconds > self._parameters.pause_threshold_seconds:
            self._detector.discard_evidence(now)
        self._ticked_at_seconds = now
        for action in self._detector.tick(now, self._sender.has_balance(now)):
            self._apply(action, now)
        self._join(now)
        self._compare_digests(now)
        self._gossip_between_regions(now)
        self._gossip_updates(now)
        return self._drain()

    def _announce(self, state: MemberState, now: float) -> list[Action]:
        self._state.announce(state, self.this_member().incarnation + 1, now)
        for member in self._rng.sample(self._state.table.present_others(), LEAVE_NOTIFICATIONS):
            self._sender.send(member.address, GossipDatagram(), now)
        return self._drain()

    def _apply(self, action: DetectorAction, now: float) -> None:
        match action:
            case ProbeMember(target, sequence, helpers):
                self._probe(target, sequence, helpers, now)
            case SuspectMember(target):
                self.counters.suspicions += 1
                self._state.merge_member(replace(target, state=MemberState.SUSPECT), now)
            case DeclareDead(target):
                self.counters.condemnations += 1
                self._state.merge_member(replace(target, state=MemberState.DEAD), now)

    def _probe(
        self, target: Member, sequence: int, helpers: tuple[Member, ...], now: float
    ) -> None:
        probe = GossipDatagram(probe=Probe(sequence=sequence, target=target.node))
        record = self._state.member_field(target.node)
        suspected = bool(helpers) or target.state is MemberState.SUSPECT
        fields = [record] if record is not None and suspected else []
        self._sender.send(target.address, probe, now, fields, self._state.outbox)
        request = ProbeRequest(
            sequence=sequence,
            target=target.node,
            host=target.address.host,
            port=target.address.port,
        )
        for helper in helpers:
            self._sender.send(helper.address, GossipDatagram(probe_request=request), now)

    def _join(self, now: float) -> None:
        for address in self._joining.due(now):
            summary = self._regions.own_summary_field()
            self._sender.send(address, GossipDatagram(join=Join()), now, summary)

    def _compare_digests(self, now: float) -> None:
        if now < self._next_digest_at_seconds:
            return
        self._state.expire(now)
        diverged = self._receiver.has_diverged
        period = (
            self._parameters.diverged_digest_period_seconds
            if diverged
            else self._parameters.digest_period_seconds
        )
        self._next_digest_at_seconds = now + period
        self._receiver.has_diverged = False
        for member in self._rng.sample(self._state.table.present_others(), 1):
            digest = Digest(buckets=self._state.digest.buckets)
            self._sender.send(member.address, GossipDatagram(digest=digest), now)

    def _gossip_between_regions(self, now: float) -> None:
        if not self.is_bridge():
            return
        bridges = self._regions.bridges()
        summary = self._regions.summary_due(bridges, now)
        if summary is not None:
            self._state.merge_entry(summary, now)
        others = self._regions.other_bridges()
        for region in self._rng.sample(others, 1):
            address = region[self._rng.randbelow(len(region))]
            if now >= self._next_region_digest_at_seconds:
                self._next_region_digest_at_seconds = now + self._parameters.digest_period_seconds
                digest = Digest(buckets=self._state.global_digest.buckets, only_global=True)
                self._sender.send(address, GossipDatagram(digest=digest), now)
            outbox = self._state.region_outbox
            if self._sender.may_send_updates(outbox, now):
                self._sender.send(address, GossipDatagram(), now, outbox=outbox)

    def _gossip_updates(self, now: float) -> None:
        """Send pending updates that were not piggybacked on probes or responses."""
        outbox = self._state.outbox
        outbox.max_transmissions = len(self._state.table.present_others()) + 1
        count = 2 if outbox.has_urgent(URGENT_RANK) else 1
        if self._sender.has_burst_balance(now):
            count = BURST_DATAGRAMS
        for _ in range(count):
            if not self._sender.may_send_updates(outbox, now):
                return
            member = self._next_receiver()
            if member is None:
                return
            self._sender.send(member.address, GossipDatagram(), now, outbox=outbox)

    def _next_receiver(self) -> Member | None:
        """Return the next member of a random permutation, so that few receive an update twice."""
        for _ in range(2):
            while self._receivers:
                member = self._state.table.get(self._receivers.pop())
                if member is not None and member.is_present:
                    return member
            others = [member.node for member in self._state.table.present_others()]
            self._receivers = self._rng.sample(others, len(others))
        return None

    def _drain(self) -> list[Action]:
        actions = self._state.actions
        self._state.actions = []
        return actions
