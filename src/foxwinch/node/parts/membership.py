"""Part: who is there, and the gossip between nodes."""

from dataclasses import dataclass

from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.node.interfaces import GossipView, Member, MembershipView, MemberState
from foxwinch.node.local_cluster import LocalGossip, LocalMembership
from foxwinch.node.parts.context import NodeContext, NodeService


@dataclass(frozen=True, slots=True)
class MembershipPart:
    """Membership and gossip of the node."""

    membership: MembershipView
    gossip: GossipView
    services: tuple[NodeService, ...] = ()


def build_membership(context: NodeContext) -> MembershipPart:
    """Build the part; without a peer side the node is its own only member."""
    member = Member(
        node=context.node,
        address=context.ports.peer_address,
        zone=ZoneName(context.settings.zone),
        region=RegionName(context.settings.region),
        state=MemberState.ALIVE,
        incarnation=0,
    )
    return MembershipPart(LocalMembership(member), LocalGossip())
