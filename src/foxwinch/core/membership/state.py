"""Members and entries known to one node, with the update queues and digests derived from them."""

from collections.abc import Iterable

from foxwinch.core.membership.actions import Action, EntryChanged, MemberChanged, MembershipCounters
from foxwinch.core.membership.digest import DigestIndex
from foxwinch.core.membership.entry import GLOBAL_KINDS, GossipEntry, GossipKind
from foxwinch.core.membership.entry_store import EntryStore
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.outbox import Outbox
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.core.membership.table import MemberTable
from foxwinch.core.membership.wire import entry_field, member_field
from foxwinch.identifiers import NodeId, PeerAddress

REGION_TRANSMISSIONS = 2
"""Transmissions of an update by a bridge to other regions; anti-entropy reaches the rest."""

ABSENCE_TRANSMISSIONS = 2
"""Transmissions of an absent member's record for each stale record received of it."""


class GossipState:
    """Merges records and updates the outboxes and digests accordingly."""

    def __init__(self, this: Member, parameters: MembershipParameters, now: float) -> None:
        self.parameters = parameters
        self.table = MemberTable(this)
        self.store = EntryStore(parameters)
        self.counters = MembershipCounters()
        self.outbox = Outbox()
        self.region_outbox = Outbox()
        """Updates for other regions, sent by bridges only."""
        self.digest = DigestIndex(parameters.bucket_count)
        self.global_digest = DigestIndex(parameters.bucket_count)
        self.former_addresses: dict[PeerAddress, None] = {}
        """Addresses of former members, most recent last."""
        self.actions: list[Action] = []
        self._fields: dict[str, bytes] = {}
        self._queue_member(this)

    def merge_member(self, member: Member, now: float) -> bool:
        """Merge a record of a member of the region; return whether it changed another member."""
        if member.node == self.table.this.node:
            self.refute(member, now)
            return False
        held = self.table.get(member.node)
        if held is None and not member.is_present:
            self.table.put(member, now)  # kept so that stale gossip does not revive it
            self._fields[_member_key(member)] = member_field(member)
            return False
        if not self.table.put(member, now):
            if held is not None and not held.is_present and member.is_present:
                self._requeue_absent_member(held)
            return False
        self._queue_member(member)
        self.actions.append(MemberChanged(member))
        if not member.is_present:
            self._drop_absent(member)
        return True

    def refute(self, claim: Member, now: float) -> None:
        """Raise this node's incarnation if a received record contradicts its own."""
        this = self.table.this
        agrees = claim.state is this.state and claim.incarnation == this.incarnation
        if agrees or claim.incarnation < this.incarnation or this.state is MemberState.LEFT:
            return
        if claim.state is MemberState.ALIVE and claim.incarnation == this.incarnation:
            return
        self.counters.refutations += 1
        self.announce(this.state, claim.incarnation + 1, now)

    def announce(self, state: MemberState, incarnation: int, now: float) -> None:
        """Change this node's own record and gossip it."""
        self._queue_member(self.table.set_this(state, incarnation, now))
        self.actions.append(MemberChanged(self.table.this))

    def merge_entry(self, entry: GossipEntry, now: float) -> bool:
        """Merge a received entry; return whether it was newer."""
        if entry.owner is not None and self.table.is_absent(entry.owner):
            return False
        if not self.store.put(entry, now):
            return False
        key, field = _entry_key(entry), entry_field(entry)
        self._fields[key] = field
        rank = int(entry.kind)
        transmissions = self.parameters.transmissions[rank]
        if entry.kind is GossipKind.MEMBERSHIP:
            transmissions = self.parameters.summary_transmissions
        self.outbox.offer(key, rank, field, transmissions)
        self.digest.put(key, field)
        if entry.is_global:
            self.global_digest.put(key, field)
            self.region_outbox.offer(key, rank, field, REGION_TRANSMISSIONS)
        self.actions.append(EntryChanged(entry))
        return True

    def expire(self, now: float) -> None:
        """Drop expired records of absent members and entries without a known owner."""
        for member in self.table.remove_absent_before(
            now - self.parameters.absent_retention_seconds
        ):
            self._fields.pop(_member_key(member), None)
        orphans = self.store.drop_orphans(lambda n: self.table.get(n) is not None, now)
        self._drop(orphans)

    def field(self, key: str) -> bytes:
        """Return the encoded record under a digest key."""
        return self._fields[key]

    def entry_field(self, entry: GossipEntry) -> bytes:
        """Return the encoded form of an entry that is held."""
        return self._fields[_entry_key(entry)]

    def member_field(self, node: NodeId) -> bytes | None:
        """Return the encoded record of a member, or None if it is unknown."""
        return self._fields.get(f"m/{node}")

    def repair_fields(self, keys: Iterable[str], now: float, include_recent: bool) -> list[bytes]:
        """Return the encoded records under digest keys, lowest rank first.

        Entries that are still being gossiped are left out unless `include_recent` is True.
        """
        ranked = []
        for key in keys:
            rank, is_recent = self._rank(key, now)
            if include_recent or not is_recent:
                ranked.append((rank, self._fields[key]))
        return [field for _, field in sorted(ranked, key=lambda pair: pair[0])]

    def _rank(self, key: str, now: float) -> tuple[int, bool]:
        kind, name = key.split("/", 1)
        if kind == "m":
            return int(GossipKind.MEMBERSHIP), False
        entry = self.store.get(GossipKind(int(kind)), name)
        assert entry is not None
        age_seconds = now - self.store.changed_at_seconds(entry)
        is_recent = age_seconds < self.parameters.recent_entry_seconds
        return int(entry.kind), is_recent and entry.kind not in GLOBAL_KINDS

    def _queue_member(self, member: Member) -> None:
        key, field = _member_key(member), member_field(member)
        self._fields[key] = field
        leaving = member.state in (MemberState.LEAVING, MemberState.LEFT)
        rank = int(GossipKind.LEAVING if leaving else GossipKind.MEMBERSHIP)
        self.outbox.offer(key, rank, field, self.parameters.transmissions[rank])
        if member.is_present:
            self.digest.put(key, field)
        else:
            self.digest.remove(key)

    def _requeue_absent_member(self, held: Member) -> None:
        """Queue the record of an absent member again after a stale record of it was received."""
        rank = int(GossipKind.MEMBERSHIP)
        self.outbox.offer(_member_key(held), rank, member_field(held), ABSENCE_TRANSMISSIONS)

    def _drop_absent(self, member: Member) -> None:
        self._drop(self.store.drop_owned_by(member.node))
        self.former_addresses.pop(member.address, None)
        self.former_addresses[member.address] = None
        if len(self.former_addresses) > self.parameters.max_former_addresses:
            del self.former_addresses[next(iter(self.former_addresses))]

    def _drop(self, entries: list[GossipEntry]) -> None:
        for entry in entries:
            key = _entry_key(entry)
            self._fields.pop(key, None)
            self.outbox.drop(key)
            self.region_outbox.drop(key)
            self.digest.remove(key)
            self.global_digest.remove(key)


def _member_key(member: Member) -> str:
    return f"m/{member.node}"


def _entry_key(entry: GossipEntry) -> str:
    return f"{int(entry.kind)}/{entry.key}"
