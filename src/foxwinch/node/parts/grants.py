"""Grants subsystem: grants of workers, their coordinators and orders to engines."""

from dataclasses import dataclass, field

from foxwinch.commands.operator import StaticWorkers, WorkerDrainPort
from foxwinch.core.orders.reconciler import OrderPolicy
from foxwinch.identifiers import RegionName
from foxwinch.node.parts.configuration import ConfigurationPart
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.node.parts.records import RecordsPart
from foxwinch.queries.facts import NoWorkers, WorkerFacts
from foxwinch.workers.coordinator_client import CoordinatorClient
from foxwinch.workers.coordinator_directory import CoordinatorDirectory
from foxwinch.workers.coordinator_facts import CoordinatorFacts, GossipedDrains
from foxwinch.workers.coordinator_service import CoordinatorPorts, CoordinatorService
from foxwinch.workers.grants_service import GrantsService
from foxwinch.workers.orders_service import OrdersService
from foxwinch.workers.ports import GrantView


@dataclass(frozen=True, slots=True)
class GrantsPart:
    """Views and services of the grants subsystem."""

    grants: GrantView
    facts: WorkerFacts = field(default_factory=NoWorkers)
    drains: WorkerDrainPort = field(default_factory=StaticWorkers)
    services: tuple[NodeService, ...] = ()


class GrantServices:
    """Coordinator, orders and grants as one service; their start and drain orders differ."""

    def __init__(
        self, coordinator: CoordinatorService, orders: OrdersService, grants: GrantsService
    ) -> None:
        self._coordinator = coordinator
        self._orders = orders
        self._grants = grants

    async def start(self) -> None:
        """Start the coordinator first, because the other services use it."""
        await self._coordinator.start()
        await self._orders.start()
        await self._grants.start()

    async def stop(self) -> None:
        """Stop the services in reverse order."""
        await self._grants.stop()
        await self._orders.stop()
        await self._coordinator.stop()

    async def drain(self) -> None:
        """Return all grants before the workers are handed over."""
        await self._grants.drain()
        await self._coordinator.drain()


def build_grants(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    records: RecordsPart,
) -> GrantsPart:
    """Build the subsystem; a node without peers is the coordinator of every worker."""
    directory = CoordinatorDirectory(membership.membership, membership.gossip)
    coordinator = CoordinatorService(
        _coordinator_ports(context, membership, configuration, records), directory
    )
    client = CoordinatorClient(context.node, coordinator.handlers, context.ports.peers)
    clock = context.ports.clock
    grants = GrantsService(directory, client, configuration.configuration, clock)
    orders = OrdersService(
        RegionName(context.settings.region),
        coordinator,
        directory,
        client,
        configuration.configuration,
        clock,
        OrderPolicy(),
    )
    return GrantsPart(
        grants=grants,
        facts=CoordinatorFacts(context.node, coordinator),
        drains=GossipedDrains(configuration.configuration, membership.gossip),
        services=(GrantServices(coordinator, orders, grants),),
    )


def _coordinator_ports(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    records: RecordsPart,
) -> CoordinatorPorts:
    return CoordinatorPorts(
        node=context.node,
        clock=context.ports.clock,
        engine=context.ports.engine,
        configuration=configuration.configuration,
        membership=membership.membership,
        gossip=membership.gossip,
        epochs=records.epochs,
        peers=context.ports.peers,
        machines=context.ports.machines,
        registry=context.registry,
    )
