"""Conversion between members, groups and their protobuf messages."""

from collections.abc import Iterable, Sequence

from foxwinch._generated.replication_pb2 import ReplicaGroup, ReplicaMember
from foxwinch.core.shard.placement import Candidate
from foxwinch.identifiers import NodeId
from foxwinch.node.interfaces import Member, MembershipView, MemberState
from foxwinch.peer.ports import PeerAddress


def member_message(member: Member) -> ReplicaMember:
    """Return a member as recorded in a replica group."""
    return ReplicaMember(
        node=member.node,
        host=member.address.host,
        port=member.address.port,
        zone=member.zone,
    )


def address_of(member: ReplicaMember) -> PeerAddress:
    """Return where a recorded member listens."""
    return PeerAddress(member.host, member.port)


def group_nodes(group: ReplicaGroup) -> tuple[NodeId, ...]:
    """Return the nodes of a group in its order."""
    return tuple(NodeId(member.node) for member in group.members)


def live_members(membership: MembershipView) -> list[Member]:
    """Return the members of this node's region that may own or replicate."""
    region = membership.this_member().region
    return [
        member
        for member in membership.members()
        if member.region == region and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    ]


def candidates_of(members: Iterable[Member]) -> list[Candidate]:
    """Return members as candidates of placement."""
    return [Candidate(member.node, member.zone) for member in members]


def group_message(members: Sequence[Member], chosen: Iterable[Candidate]) -> ReplicaGroup:
    """Return the chosen candidates as a recorded group."""
    known = {member.node: member for member in members}
    return ReplicaGroup(members=[member_message(known[candidate.node]) for candidate in chosen])
