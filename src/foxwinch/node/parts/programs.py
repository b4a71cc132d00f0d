"""Part: the programs that this node serves, and the way to the nodes that serve the others."""

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
from foxwinch.queries.programs import OwnedPrograms


@dataclass(frozen=True, slots=True)
class ProgramsPart:
    """What the caller side serves."""

    add_caller_routes: Callable[[web.UrlDispatcher], None]
    owner: ProgramOwner
    execute: Callable[[ProgramRequest], AsyncIterator[ProgramEvent]]
    """Carries a caller's request out, here or at the node that serves the program."""
    facts: ProgramFacts
    abandons: ProgramAbandonPort
    services: tuple[NodeService, ...] = ()


class ProgramService:
    """The owner with its sweeper and its search for programs left behind, as one service."""

    def __init__(
        self, owner: ProgramOwner, router: ProgramRouter, membership: MembershipView
    ) -> None:
        """Run `owner` behind `router`."""
        self._owner = owner
        self._router = router
        self._sweeper = ProgramSweeper(owner)
        self._adoption = TreeTakeover(owner, membership)

    async def start(self) -> None:
        """Start sweeping and looking."""
        await self._sweeper.start()
        await self._adoption.start()

    async def stop(self) -> None:
        """End every call truthfully."""
        await self._adoption.stop()
        await self._sweeper.stop()
        await self._owner.stop()

    async def drain(self) -> None:
        """Wait until every call has ended, also without followers, and every answer is sent.

        What is idle meanwhile is left to whichever node is asked for it next.
        """
        self._owner.closing = True
        await self._owner.wait_idle()
        await self._router.wait_sent()


def build_programs(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    records: RecordsPart,
    grants: GrantsPart,
) -> ProgramsPart:
    """Build the part."""
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

    facts = OwnedPrograms(owner, context.node)
    return ProgramsPart(
        add_caller_routes,
        owner,
        router.execute,
        facts,
        AbandonCommand(owner),
        (ProgramService(owner, router, membership.membership),),
    )
