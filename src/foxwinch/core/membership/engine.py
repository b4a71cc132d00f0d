"""Membership and gossip of one node: what arrives and the time go in, actions come out."""

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
from foxwinch.core.membership.draws import Draws
from foxwinch.core.membership.entry import (
    KEY_BYTES,
    OWNED_KINDS,
    PAYLOAD_BYTES,
    GossipEntry,
    GossipKind,
)
from foxwinch.core.membership.joining import JoinPlan
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.parameters import UDP_HEADER_BYTES, MembershipParameters
from foxwinch.core.membership.receiver import DatagramReceiver
from foxwinch.core.membership.regions import RegionDirectory
from foxwinch.core.membership.sender import URGENT_RANK, DatagramSender
from foxwinch.core.membership.state import KnowledgeState
from foxwinch.identifiers import NodeId, PeerAddress

DATAGRAMS_WHEN_RICH = 4
"""Datagrams of news a tick while more than half of the burst is saved up."""
FAREWELLS = 5
"""Members that are told directly that this node leaves."""


class MembershipEngine:
    """Drive it by `tick` every `tick_seconds` and by `receive` for every datagram."""

    def __init__(
        self,
        this: Member,
        seed: int,
        now: float,
        hints: Iterable[PeerAddress] = (),
        parameters: MembershipParameters | None = None,
    ) -> None:
        """Start alone; `hints` are addresses at which other nodes may be."""
        self._parameters = parameters or MembershipParameters()
        self._state = KnowledgeState(this, self._parameters, now)
        self._draws = Draws(seed)
        self._detector = FailureDetector(self._state.table, self._draws, self._parameters)
        self._sender = DatagramSender(self._state, now)
        self._regions = RegionDirectory(self._state)
        self._joining = JoinPlan(self._state, self._regions, self._draws, hints)
        self._receiver = DatagramReceiver(
            self._state, self._sender, self._detector, self._draws, self._joining
        )
        self._receivers: list[NodeId] = []
        self._ticked_at_seconds = now
        self._next_digest_at_seconds = now
        self._next_region_digest_at_seconds = now

    @property
    def counters(self) -> MembershipCounters:
        """Totals since the start."""
        return self._state.counters

    def this_member(self) -> Member:
        """Return this node itself."""
        return self._state.table.this

    def members(self) -> list[Member]:
        """Return every known member of the region, this node included."""
        return self._state.table.all()

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries held of a kind, by key."""
        return self._state.store.of_kind(kind)

    def regions(self, now: float) -> list[RegionState]:
        """Return what is known of every region, this one first."""
        return self._regions.regions(now)

    def is_bridge(self) -> bool:
        """Tell whether this node speaks with other regions."""
        return self.this_member() in self._regions.bridges()

    def is_alone(self) -> bool:
        """Tell whether no other member of the region is known to be there."""
        return not self._state.table.present_others()

    def set_listed(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace what was heard of elsewhere (the platform's list) about where nodes are."""
        self._joining.set_listed(addresses)

    def publish(self, entry: GossipEntry, now: float) -> list[Action]:
        """Spread an entry; raises `ValueError` for one that fits no datagram."""
        if not 0 < len(entry.key.encode()) <= KEY_BYTES or len(entry.payload) > PAYLOAD_BYTES:
            raise ValueError(
                f"gossip entry {entry.key!r}: {len(entry.payload)} bytes; "
                f"allowed: {PAYLOAD_BYTES}, and {KEY_BYTES} of key"
            )
        if entry.owner is None and entry.kind in OWNED_KINDS:
            entry = replace(entry, owner=self.this_member().node)
        self._state.merge_entry(entry, now)
        return self._drain()

    def leave(self, now: float) -> list[Action]:
        """Announce that this node will leave: it takes no new work but is still there."""
        return self._announce(MemberState.LEAVING, now)

    def left(self, now: float) -> list[Action]:
        """Announce that this node is gone; call nothing afterwards."""
        return self._announce(MemberState.LEFT, now)

    def receive(self, source: PeerAddress, payload: bytes, now: float) -> list[Action]:
        """Act on a datagram; a malformed one only counts."""
        self.counters.datagrams_received += 1
        self.counters.bytes_received += len(payload) + UDP_HEADER_BYTES
        self._receiver.receive(source, payload, now)
        return self._drain()

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        if now - self._ticked_at_seconds > self._parameters.stall_seconds:
            self._detector.void_evidence(now)
        self._ticked_at_seconds = now
        for action in self._detector.tick(now, self._sender.has_balance(now)):
            self._apply(action, now)
        self._join(now)
        self._compare_digests(now)
        self._speak_between_regions(now)
        self._spread(now)
        return self._drain()

    def _announce(self, state: MemberState, now: float) -> list[Action]:
        self._state.announce(state, self.this_member().incarnation + 1, now)
        for member in self._draws.pick(self._state.table.present_others(), FAREWELLS):
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
        self._state.tidy(now)
        hurry = self._receiver.far_apart
        period = (
            self._parameters.digest_hurry_seconds
            if hurry
            else self._parameters.digest_period_seconds
        )
        self._next_digest_at_seconds = now + period
        self._receiver.far_apart = False
        for member in self._draws.pick(self._state.table.present_others(), 1):
            digest = Digest(buckets=self._state.digest.buckets)
            self._sender.send(member.address, GossipDatagram(digest=digest), now)

    def _speak_between_regions(self, now: float) -> None:
        if not self.is_bridge():
            return
        bridges = self._regions.bridges()
        summary = self._regions.summary_due(bridges, now)
        if summary is not None:
            self._state.merge_entry(summary, now)
        others = self._regions.other_bridges()
        for region in self._draws.pick(others, 1):
            address = region[self._draws.below(len(region))]
            if now >= self._next_region_digest_at_seconds:
                self._next_region_digest_at_seconds = now + self._parameters.digest_period_seconds
                digest = Digest(buckets=self._state.global_digest.buckets, only_global=True)
                self._sender.send(address, GossipDatagram(digest=digest), now)
            news = self._state.region_outbox
            if self._sender.may_send_news(news, now):
                self._sender.send(address, GossipDatagram(), now, news=news)

    def _spread(self, now: float) -> None:
        """Send news beyond what probes and answers carry, to the members in turn."""
        outbox = self._state.outbox
        outbox.enough = len(self._state.table.present_others()) + 1
        count = 2 if outbox.urgent(URGENT_RANK) else 1
        if self._sender.is_rich(now):
            count = DATAGRAMS_WHEN_RICH
        for _ in range(count):
            if not self._sender.may_send_news(outbox, now):
                return
            member = self._next_receiver()
            if member is None:
                return
            self._sender.send(member.address, GossipDatagram(), now, news=outbox)

    def _next_receiver(self) -> Member | None:
        """Return the next of a random order of the others, so that few of them get news twice."""
        for _ in range(2):
            while self._receivers:
                member = self._state.table.get(self._receivers.pop())
                if member is not None and member.is_present:
                    return member
            others = [member.node for member in self._state.table.present_others()]
            self._receivers = self._draws.pick(others, len(others))
        return None

    def _drain(self) -> list[Action]:
        actions = self._state.actions
        self._state.actions = []
        return actions
