"""Processing of received datagrams."""

from dataclasses import replace

from foxwinch._generated.membership_pb2 import (
    Digest,
    GossipDatagram,
    Join,
    Probe,
    ProbeAnswer,
    ProbeRequest,
)
from foxwinch.core.membership.detector import FailureDetector
from foxwinch.core.membership.joining import JoinScheduler
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.regions import SUMMARY_PREFIX
from foxwinch.core.membership.seeded_random import SeededRandom
from foxwinch.core.membership.sender import DatagramSender
from foxwinch.core.membership.state import GossipState
from foxwinch.core.membership.wire import parse_datagram, read_entry, read_member
from foxwinch.identifiers import NodeId, PeerAddress

MAX_RELAYED_PROBES = 256
"""Maximum number of pending indirect probes relayed for other nodes."""
MAX_JOIN_MEMBERS = 8
"""Members sent to a joining node; anti-entropy sends the rest."""
DIVERGED_FRACTION = 0.25
"""Fraction of differing buckets above which the next anti-entropy round runs early."""


class DatagramReceiver:
    """Merges the records of a datagram and responds to its request."""

    def __init__(
        self,
        state: GossipState,
        sender: DatagramSender,
        detector: FailureDetector,
        rng: SeededRandom,
        joining: JoinScheduler,
    ) -> None:
        self.has_diverged = False
        """Whether the last comparison found more than a quarter of the buckets differing."""
        self._state = state
        self._sender = sender
        self._detector = detector
        self._rng = rng
        self._joining = joining
        self._relays: dict[int, tuple[PeerAddress, int]] = {}
        self._next_relay = 2**32

    def receive(self, source: PeerAddress, payload: bytes, now: float) -> None:
        """Process one datagram."""
        datagram = parse_datagram(payload)
        sender = read_member(datagram.sender) if datagram is not None else None
        if datagram is None or sender is None:
            self._state.counters.malformed += 1
            return
        this = self._state.table.this
        if sender.node == this.node or this.state is MemberState.LEFT:
            return
        local = sender.region == this.region
        if local:
            self._merge_sender(sender, now)
            self._merge_members(datagram, now)
        else:
            self._joining.add_remote_address(source)
        self._merge_entries(datagram, local, now)
        self._handle_body(source, sender, datagram, local, now)

    def _merge_sender(self, sender: Member, now: float) -> None:
        """Record direct contact with a member; any other member at its address is marked dead."""
        table = self._state.table
        previous = table.present_at(sender.address)
        if previous is not None and previous.node not in (sender.node, table.this.node):
            self._state.merge_member(replace(previous, state=MemberState.DEAD), now)
        self._state.merge_member(sender, now)
        self._detector.record_contact(sender.node)

    def _merge_members(self, datagram: GossipDatagram, now: float) -> None:
        region = self._state.table.this.region
        for record in datagram.members:
            member = read_member(record)
            if member is not None and member.region == region:
                self._state.merge_member(member, now)

    def _merge_entries(self, datagram: GossipDatagram, local: bool, now: float) -> None:
        own_summary = SUMMARY_PREFIX + self._state.table.this.region
        for record in datagram.entries:
            entry = read_entry(record)
            if entry is None or not (local or entry.is_global):
                continue
            if self._state.merge_entry(entry, now) and entry.key == own_summary:
                self._joining.region_summary_received()

    def _handle_body(
        self, source: PeerAddress, sender: Member, datagram: GossipDatagram, local: bool, now: float
    ) -> None:
        kind = datagram.WhichOneof("body")
        if kind == "probe":
            self._handle_probe(source, sender, datagram.probe, local, now)
        elif kind == "probe_answer":
            self._handle_probe_answer(sender, datagram.probe_answer, now)
        elif kind == "probe_request" and local:
            self._handle_probe_request(source, datagram.probe_request, now)
        elif kind == "join":
            self._handle_join(source, datagram.join, local, now)
        elif kind == "digest":
            self._handle_digest(source, datagram.digest, local, now)
        if local and kind != "probe":
            self._request_refutation(source, sender, now)

    def _handle_probe(
        self, source: PeerAddress, sender: Member, probe: Probe, local: bool, now: float
    ) -> None:
        answer = GossipDatagram(probe_answer=ProbeAnswer(sequence=probe.sequence))
        outbox = self._state.outbox if local else None
        self._sender.send(source, answer, now, self._record_to_refute(sender), outbox)

    def _handle_probe_answer(self, sender: Member, answer: ProbeAnswer, now: float) -> None:
        relay = self._relays.pop(answer.sequence, None)
        if relay is not None:
            requester, sequence = relay
            record = self._state.member_field(sender.node)
            body = GossipDatagram(probe_answer=ProbeAnswer(sequence=sequence))
            self._sender.send(requester, body, now, [record] if record is not None else [])
            return
        self._detector.record_response(answer.sequence)

    def _handle_probe_request(self, source: PeerAddress, request: ProbeRequest, now: float) -> None:
        target = self._state.table.get(NodeId(request.target))
        if target is None or not target.is_present:
            return
        self._next_relay += 1
        self._relays[self._next_relay] = (source, request.sequence)
        if len(self._relays) > MAX_RELAYED_PROBES:
            del self._relays[next(iter(self._relays))]
        probe = GossipDatagram(probe=Probe(sequence=self._next_relay, target=target.node))
        record = self._state.member_field(target.node)
        self._sender.send(target.address, probe, now, [record] if record is not None else [])

    def _handle_join(self, source: PeerAddress, join: Join, local: bool, now: float) -> None:
        self.has_diverged = self.has_diverged or local
        if join.reply or not self._sender.has_balance(now):
            return  # the joining node retries
        fields = []
        if local:
            members = self._rng.sample(self._state.table.present_others(), MAX_JOIN_MEMBERS)
            fields = [self._state.member_field(member.node) or b"" for member in members]
        fields += self._global_fields(range(len(self._state.global_digest.buckets)), now)
        self._sender.send(source, GossipDatagram(join=Join(reply=True)), now, fields)

    def _handle_digest(self, source: PeerAddress, digest: Digest, local: bool, now: float) -> None:
        only_global = digest.only_global or not local
        index = self._state.global_digest if only_global else self._state.digest
        if len(digest.buckets) != len(index.buckets):
            return  # the peer runs a version with another bucket count
        differing_buckets = index.differing_buckets(list(digest.buckets))
        if not differing_buckets:
            return
        include_recent = len(differing_buckets) > DIVERGED_FRACTION * len(index.buckets)
        self.has_diverged = self.has_diverged or (include_recent and not only_global)
        if not digest.reply and self._sender.has_balance(now):
            reply = Digest(buckets=index.buckets, reply=True, only_global=only_global)
            self._sender.send(source, GossipDatagram(digest=reply), now)
        if only_global:
            fields = self._global_fields(differing_buckets, now)
        else:
            keys = [key for bucket in differing_buckets for key in index.keys(bucket)]
            keys = self._rng.sample(keys, len(keys))
            fields = self._state.repair_fields(keys, now, include_recent)
        self._sender.send_fields(source, fields, self._state.parameters.repair_datagrams, now)

    def _global_fields(self, buckets: "list[int] | range", now: float) -> list[bytes]:
        index = self._state.global_digest
        keys = [key for bucket in buckets for key in index.keys(bucket)]
        return self._state.repair_fields(
            self._rng.sample(keys, len(keys)), now, include_recent=True
        )

    def _request_refutation(self, source: PeerAddress, sender: Member, now: float) -> None:
        """Send a member that is held as suspected or dead its record, so that it can refute it."""
        fields = self._record_to_refute(sender)
        if fields and self._sender.has_balance(now):
            self._sender.send(source, GossipDatagram(), now, fields)

    def _record_to_refute(self, sender: Member) -> list[bytes]:
        held = self._state.table.get(sender.node)
        if held is None or held.state not in (MemberState.SUSPECT, MemberState.DEAD):
            return []
        record = self._state.member_field(sender.node)
        return [record] if record is not None else []
