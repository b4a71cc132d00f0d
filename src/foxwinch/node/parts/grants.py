"""Part: grants of workers, their stewards and the orders to engines."""

from dataclasses import dataclass, field
from typing import cast

from foxwinch.backends.ports import EnginePort
from foxwinch.commands.operator import FixedWorkers, WorkerDrains
from foxwinch.core.orders.reconciler import OrderPolicy
from foxwinch.identifiers import RegionName
from foxwinch.node.grants_service import GrantsService
from foxwinch.node.interfaces import GrantView
from foxwinch.node.local import LocalGrants
from foxwinch.node.orders_service import OrdersService
from foxwinch.node.parts.configuration import ConfigurationPart
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.journal import JournalPart
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.node.steward_client import StewardClient
from foxwinch.node.steward_directory import StewardDirectory
from foxwinch.node.steward_facts import GossipedDrains, StewardFacts
from foxwinch.node.steward_service import StewardPorts, StewardService
from foxwinch.queries.facts import NoWorkers, WorkerFacts


@dataclass(frozen=True, slots=True)
class GrantsPart:
    """Access to the stewards of all workers."""

    grants: GrantView
    facts: WorkerFacts = field(default_factory=NoWorkers)
    drains: WorkerDrains = field(default_factory=FixedWorkers)
    services: tuple[NodeService, ...] = ()


def build_grants(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    journal: JournalPart,
) -> GrantsPart:
    """Build the part; an engine port that only generates is granted without a steward."""
    if not hasattr(context.ports.engine, "load"):
        return GrantsPart(LocalGrants(configuration.configuration, context.ports.clock))
    directory = StewardDirectory(membership.membership, membership.gossip)
    steward = StewardService(_steward_ports(context, membership, configuration, journal), directory)
    client = StewardClient(context.node, steward.desk, context.ports.peers)
    clock = context.ports.clock
    grants = GrantsService(directory, client, configuration.configuration, clock)
    orders = OrdersService(
        RegionName(context.settings.region),
        steward,
        directory,
        client,
        configuration.configuration,
        clock,
        OrderPolicy(),
    )
    return GrantsPart(
        grants=grants,
        facts=StewardFacts(context.node, steward),
        drains=GossipedDrains(configuration.configuration, membership.gossip),
        services=(steward, orders, grants),
    )


def _steward_ports(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    journal: JournalPart,
) -> StewardPorts:
    return StewardPorts(
        node=context.node,
        clock=context.ports.clock,
        engine=cast(EnginePort, context.ports.engine),
        configuration=configuration.configuration,
        membership=membership.membership,
        gossip=membership.gossip,
        epochs=journal.epochs,
        peers=context.ports.peers,
        machines=context.ports.machines,
        registry=context.registry,
    )
