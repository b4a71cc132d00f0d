"""Region summaries and the bridges, the few members that exchange gossip between regions."""

import xxhash
from google.protobuf.message import DecodeError

from foxwinch._generated.membership_pb2 import RegionSummary
from foxwinch.core.membership.actions import RegionState
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.state import GossipState
from foxwinch.core.membership.wire import member_record, read_member
from foxwinch.identifiers import PeerAddress, RegionName, ZoneName

SUMMARY_PREFIX = "region/"
SUMMARY_OVERDUE_PERIODS = 2.0
"""Summary age, in periods, at which a bridge other than the first publishes a new one."""


class RegionDirectory:
    """The bridges of this region and the state of the other regions."""

    def __init__(self, state: GossipState) -> None:
        self._state = state
        self._parsed: dict[str, tuple[GossipEntry, RegionSummary]] = {}
        self._bridges: list[Member] = []
        self._bridges_version = -1

    def bridges(self) -> list[Member]:
        """Return the members that act as bridges, in distinct zones where possible."""
        if self._bridges_version != self._state.table.version:
            self._bridges_version = self._state.table.version
            self._bridges = self._choose_bridges()
        return self._bridges

    def _choose_bridges(self) -> list[Member]:
        alive = [m for m in self._state.table.present() if m.state is MemberState.ALIVE]
        alive.sort(key=lambda member: xxhash.xxh64_intdigest(member.node.encode()))
        first_of_zone: dict[ZoneName, Member] = {}
        for member in alive:
            first_of_zone.setdefault(member.zone, member)
        chosen = list(first_of_zone.values())
        rest = [m for m in alive if first_of_zone[m.zone] is not m]
        return (chosen + rest)[: self._state.parameters.bridges]

    def summary_due(self, bridges: list[Member], now: float) -> GossipEntry | None:
        """Return a new summary of this region if it is this node's turn to publish one."""
        this = self._state.table.this
        if this not in bridges:
            return None
        held = self._state.store.get(GossipKind.MEMBERSHIP, SUMMARY_PREFIX + this.region)
        payload = self._summary(bridges)
        if held is not None:
            age_seconds = now - self._state.store.changed_at_seconds(held)
            periods = 1.0 if this == bridges[0] else SUMMARY_OVERDUE_PERIODS
            if age_seconds < periods * self._state.parameters.summary_period_seconds:
                return None
        version = held.version + 1 if held is not None else 1
        return GossipEntry(GossipKind.MEMBERSHIP, SUMMARY_PREFIX + this.region, version, payload)

    def own_summary_field(self) -> list[bytes]:
        """Return the encoded summary of this region, for a join to a seed in another region."""
        region = self._state.table.this.region
        held = self._state.store.get(GossipKind.MEMBERSHIP, SUMMARY_PREFIX + region)
        return [self._state.entry_field(held)] if held is not None else []

    def other_bridges(self) -> list[list[PeerAddress]]:
        """Return the bridge addresses of each other region."""
        this = self._state.table.this
        return [
            addresses
            for name, summary in self._summaries().items()
            if name != this.region and (addresses := _addresses(summary))
        ]

    def own_bridges_from_summary(self) -> list[PeerAddress]:
        """Return the addresses of this region's bridges according to its summary."""
        summary = self._summaries().get(self._state.table.this.region)
        return _addresses(summary) if summary is not None else []

    def regions(self, now: float) -> list[RegionState]:
        """Return the state of every known region, this one first."""
        table = self._state.table
        own = RegionState(
            table.this.region,
            sum(1 for _ in table.present()),
            tuple(member.address for member in self.bridges()),
            0.0,
            cut_off=False,
        )
        others = [
            self._region(RegionName(name), summary, now)
            for name, summary in sorted(self._summaries().items())
            if name != table.this.region
        ]
        return [own, *others]

    def _region(self, name: RegionName, summary: RegionSummary, now: float) -> RegionState:
        entry, _ = self._parsed[SUMMARY_PREFIX + name]
        silent_seconds = now - self._state.store.changed_at_seconds(entry)
        cut_off = silent_seconds > self._state.parameters.region_silent_seconds
        bridges = tuple(_addresses(summary))
        return RegionState(name, summary.present_nodes, bridges, silent_seconds, cut_off)

    def _summary(self, bridges: list[Member]) -> bytes:
        table = self._state.table
        return RegionSummary(
            region=table.this.region,
            present_nodes=sum(1 for _ in table.present()),
            bridges=[member_record(member) for member in bridges],
        ).SerializeToString()

    def _summaries(self) -> dict[str, RegionSummary]:
        entries = self._state.store.of_kind(GossipKind.MEMBERSHIP)
        found = {}
        for key, entry in entries.items():
            if not key.startswith(SUMMARY_PREFIX):
                continue
            known = self._parsed.get(key)
            if known is None or known[0] is not entry:
                known = (entry, _parse(entry.payload))
                self._parsed[key] = known
            found[key.removeprefix(SUMMARY_PREFIX)] = known[1]
        return found


def _parse(payload: bytes) -> RegionSummary:
    try:
        return RegionSummary.FromString(payload)
    except DecodeError:
        return RegionSummary()


def _addresses(summary: RegionSummary) -> list[PeerAddress]:
    members = (read_member(record) for record in summary.bridges)
    return [member.address for member in members if member is not None]
