"""Member records and their precedence."""

from dataclasses import dataclass
from enum import StrEnum

from foxwinch.identifiers import NodeId, PeerAddress, RegionName, ZoneName


class MemberState(StrEnum):
    """State of a node according to failure detection."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """Membership record of one node."""

    node: NodeId
    address: PeerAddress
    zone: ZoneName
    region: RegionName
    state: MemberState
    incarnation: int
    """Incremented only by the node itself, to refute a suspicion or to announce that it leaves."""

    @property
    def is_present(self) -> bool:
        """Whether the node is alive, suspected or leaving, and not yet dead or left."""
        return self.state not in ABSENT


ABSENT = frozenset({MemberState.DEAD, MemberState.LEFT})
_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
    MemberState.LEFT: 4,
}


def supersedes(new: Member, held: Member) -> bool:
    """Return whether `new` replaces `held`, a record of the same node.

    The higher incarnation wins, and at equal incarnations the state of higher rank. A node that
    has left never returns under its old identity.
    """
    if held.state is MemberState.LEFT:
        return False
    if new.state is MemberState.LEFT:
        return True
    if new.incarnation != held.incarnation:
        return new.incarnation > held.incarnation
    return _RANK[new.state] > _RANK[held.state]
