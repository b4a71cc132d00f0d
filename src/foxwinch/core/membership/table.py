"""Membership table of one node for its region."""

from collections.abc import Iterable

from foxwinch.core.membership.member import ABSENT, Member, MemberState, supersedes
from foxwinch.identifiers import NodeId, PeerAddress


class MemberTable:
    """Member records, including this node's own."""

    def __init__(self, this: Member) -> None:
        self.this = this
        self.version = 0
        """Incremented on every change."""
        self._members: dict[NodeId, Member] = {this.node: this}
        self._absent_since_seconds: dict[NodeId, float] = {}
        self._node_by_address: dict[PeerAddress, NodeId] = {this.address: this.node}
        self._others: list[Member] | None = None

    def get(self, node: NodeId) -> Member | None:
        """Return the record of a node, or None if it is unknown."""
        return self._members.get(node)

    def all(self) -> list[Member]:
        """Return every known member, including absent ones and this node."""
        return list(self._members.values())

    def present_others(self) -> list[Member]:
        """Return the present members except this node; callers must not modify the cached list."""
        if self._others is None:
            self._others = [
                m for m in self._members.values() if m.is_present and m.node != self.this.node
            ]
        return self._others

    def present_at(self, address: PeerAddress) -> Member | None:
        """Return the present member at an address, if any."""
        node = self._node_by_address.get(address)
        return self._members.get(node) if node is not None else None

    def is_absent(self, node: NodeId) -> bool:
        """Return whether a node is known to have left or died."""
        member = self._members.get(node)
        return member is not None and member.state in ABSENT

    def put(self, member: Member, now: float) -> bool:
        """Store a record if it is newer; return whether it was stored."""
        held = self._members.get(member.node)
        if held is not None and not supersedes(member, held):
            return False
        self._replace(member, now)
        return True

    def set_this(self, state: MemberState, incarnation: int, now: float) -> Member:
        """Change this node's own record."""
        this = self.this
        self.this = Member(this.node, this.address, this.zone, this.region, state, incarnation)
        self._replace(self.this, now)
        return self.this

    def remove_absent_before(self, cutoff_seconds: float) -> list[Member]:
        """Drop and return the members that have been absent since before `cutoff_seconds`."""
        old = [n for n, since in self._absent_since_seconds.items() if since < cutoff_seconds]
        for node in old:
            del self._absent_since_seconds[node]
        self._others = None
        return [self._members.pop(node) for node in old]

    def present(self) -> Iterable[Member]:
        """Return the present members, including this node."""
        return [self.this, *self.present_others()]

    def _replace(self, member: Member, now: float) -> None:
        self._members[member.node] = member
        self._others = None
        self.version += 1
        if member.is_present:
            self._absent_since_seconds.pop(member.node, None)
            self._node_by_address[member.address] = member.node
        else:
            self._absent_since_seconds.setdefault(member.node, now)
            if self._node_by_address.get(member.address) == member.node:
                del self._node_by_address[member.address]
