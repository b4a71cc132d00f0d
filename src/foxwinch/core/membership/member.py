"""Members, and which of two records of one member is the newer."""

from dataclasses import dataclass
from enum import StrEnum

from foxwinch.identifiers import NodeId, PeerAddress, RegionName, ZoneName


class MemberState(StrEnum):
    """State of a node as seen by failure detection."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """A node as its fellow nodes see it."""

    node: NodeId
    address: PeerAddress
    zone: ZoneName
    region: RegionName
    state: MemberState
    incarnation: int
    """Raised by the node itself only, to refute a suspicion or to announce that it leaves."""

    @property
    def is_present(self) -> bool:
        """Whether the node takes part: alive, suspected or about to leave."""
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
    """Tell whether `new` replaces `held` (records of the same node).

    A higher incarnation wins; under the same one the state that says more. A node that has left
    never comes back under its old identity.
    """
    if held.state is MemberState.LEFT:
        return False
    if new.state is MemberState.LEFT:
        return True
    if new.incarnation != held.incarnation:
        return new.incarnation > held.incarnation
    return _RANK[new.state] > _RANK[held.state]
