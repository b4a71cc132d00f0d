"""Part: who is there, and the gossip between nodes."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from foxwinch.core.membership.actions import RegionState
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.membership.gossip import GossipService
from foxwinch.membership.metrics import MembershipCollector
from foxwinch.membership.ports import GossipView, MembershipView
from foxwinch.membership.service import MembershipService
from foxwinch.node.local_cluster import LocalGossip, LocalMembership
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.peer.ports import PeerPort, parse_address


@dataclass(frozen=True, slots=True)
class MembershipPart:
    """Membership and gossip of the node."""

    membership: MembershipView
    gossip: GossipView
    services: tuple[NodeService, ...] = ()
    announce_leaving: Callable[[], None] = lambda: None
    """Tell the other nodes that this one takes no new work and will go."""
    regions: Callable[[], Sequence[RegionState]] = tuple
    """What is known of every region, for operators."""


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
    if context.ports.peers is None:
        return MembershipPart(LocalMembership(member), LocalGossip())
    return _build_distributed(context, member, context.ports.peers)


def _build_distributed(context: NodeContext, member: Member, peers: PeerPort) -> MembershipPart:
    seeds = [parse_address(seed) for seed in context.settings.seeds]
    membership = MembershipService(
        member,
        peers,
        context.ports.clock,
        [seed for seed in seeds if seed is not None],
        context.ports.machines,
    )
    MembershipCollector(membership, context.registry)
    return MembershipPart(
        membership,
        GossipService(membership),
        (membership,),
        membership.leave,
        membership.regions,
    )
