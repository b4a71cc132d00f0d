"""Programs subsystem: the programs owned by this node, and forwarding to other owners."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from aiohttp import web

from foxwinch.backends.no_tools import NoTools
from foxwinch.commands.abandon_program import AbandonCommand
from foxwinch.commands.call_retries import CallRetries
from foxwinch.commands.forward import Forwarder
from foxwinch.commands.operator import ProgramAbandonPort
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.commands.requests import ProgramRequest
from foxwinch.commands.router import ProgramRouter
from foxwinch.commands.sweep import ProgramSweeper
from foxwinch.commands.tree_takeover import TreeTakeover
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.gateway.authentication import Authenticator
from foxwinch.gateway.chat import ChatHandlers, GatewayContext
from foxwinch.gateway.programs import ProgramHandlers
from foxwinch.membership.ports import MembershipView
from foxwinch.node.parts.configuration import ConfigurationPart
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.grants import GrantsPart
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.node.parts.records import RecordsPart
from foxwinch.queries.facts import ProgramFacts
from foxwinch.queries.programs import ServedPrograms


@dataclass(frozen=True, slots=True)
class ProgramsPart:
    """Views and services of the programs subsystem."""

    add_caller_routes: Callable[[web.UrlDispatcher], None]
    owner: ProgramOwner
    execute: Callable[[ProgramRequest], AsyncIterator[ProgramEvent]]
    """Executes a caller's request on this node or on the node that owns the program."""
    facts: ProgramFacts
    abandons: ProgramAbandonPort
    services: tuple[NodeService, ...] = ()


class ProgramService:
    """The program owner, its sweeper and the takeover of failed nodes' programs, as one service."""

    def __init__(
        self, owner: ProgramOwner, router: ProgramRouter, membership: MembershipView
    ) -> None:
        self._owner = owner
        self._router = router
        self._sweeper = ProgramSweeper(owner)
        self._takeover = TreeTakeover(owner, membership)

    async def start(self) -> None:
        """Start the sweeper and the takeover."""
        await self._sweeper.start()
        await self._takeover.start()

    async def stop(self) -> None:
        """End every call, with an outcome that states whether it ran."""
        await self._takeover.stop()
        await self._sweeper.stop()
        await self._owner.stop()

    async def drain(self) -> None:
        """Wait until every call has ended, even one without readers, and every response is sent.

        An idle program moves to the node that receives its next request.
        """
        self._owner.draining = True
        await self._owner.wait_idle()
        await self._router.wait_forwarded_sent()


def build_programs(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    records: RecordsPart,
    grants: GrantsPart,
) -> ProgramsPart:
    """Build the subsystem."""
    limits = context.settings.caller_limits
    ports = ProgramPorts(
        clock=context.ports.clock,
        configuration=configuration.configuration,
        trees=records.trees,
        grants=grants.grants,
        limits=configuration.limits,
        engine=context.ports.engine,
        tools=context.ports.tools or NoTools(),
        history_bytes=limits.history_bytes,
        retries=CallRetries(context.registry),
    )
    owner = ProgramOwner(ports)
    peers = context.ports.peers
    router = ProgramRouter(owner, Forwarder(peers) if peers is not None else None)
    gateway = GatewayContext(
        authenticator=Authenticator(configuration.configuration),
        execute=router.execute,
        clock=context.ports.clock,
        limits=limits,
        new_program_name=router.new_program_name,
    )

    def add_caller_routes(routes: web.UrlDispatcher) -> None:
        ChatHandlers(gateway).add_routes(routes)
        ProgramHandlers(gateway).add_routes(routes)

    facts = ServedPrograms(owner, context.node)
    return ProgramsPart(
        add_caller_routes,
        owner,
        router.execute,
        facts,
        AbandonCommand(owner),
        (ProgramService(owner, router, membership.membership),),
    )
