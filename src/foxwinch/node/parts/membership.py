"""Membership subsystem: the members of the cluster and gossip between them."""

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
    """Views and services of the membership subsystem."""

    membership: MembershipView
    gossip: GossipView
    services: tuple[NodeService, ...] = ()
    announce_leaving: Callable[[], None] = lambda: None
    """Announce to the other nodes that this node accepts no new work and will leave."""
    regions: Callable[[], Sequence[RegionState]] = tuple
    """Return the known state of every region, for operators."""


def build_membership(context: NodeContext) -> MembershipPart:
    """Build the subsystem; without a peer endpoint, the node is the only member."""
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
