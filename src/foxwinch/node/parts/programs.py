"""Part: the programs that this node owns, and the way to the owners of the others."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from aiohttp import web

from foxwinch.backends.no_tools import NoTools
from foxwinch.commands.abandon_program import AbandonCommand
from foxwinch.commands.call_retries import CallRetries
from foxwinch.commands.forward import Forwarder
from foxwinch.commands.operator import ProgramAbandons
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.commands.requests import ProgramRequest
from foxwinch.commands.router import ProgramRouter
from foxwinch.commands.sweep import ProgramSweeper
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.gateway.authentication import Authenticator
from foxwinch.gateway.chat import ChatHandlers, GatewayContext
from foxwinch.gateway.programs import ProgramHandlers
from foxwinch.identifiers import ShardNumber
from foxwinch.node.local import LOCAL_EPOCH, LocalOwnership
from foxwinch.node.parts.configuration import ConfigurationPart
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.grants import GrantsPart
from foxwinch.node.parts.journal import JournalPart
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.queries.facts import ProgramFacts
from foxwinch.queries.programs import OwnedPrograms


@dataclass(frozen=True, slots=True)
class ProgramsPart:
    """What the caller side serves."""

    add_caller_routes: Callable[[web.UrlDispatcher], None]
    owner: ProgramOwner
    execute: Callable[[ProgramRequest], AsyncIterator[ProgramEvent]]
    """Carries a caller's request out, here or at the owner."""
    facts: ProgramFacts
    abandons: ProgramAbandons
    services: tuple[NodeService, ...] = ()


class ProgramService:
    """The owner and its sweeper as one service."""

    def __init__(self, owner: ProgramOwner, router: ProgramRouter) -> None:
        """Run `owner`, whose shards the journal's service loads and drops."""
        self._owner = owner
        self._router = router
        self._sweeper = ProgramSweeper(owner)

    async def start(self) -> None:
        """Start sweeping."""
        await self._sweeper.start()

    async def stop(self) -> None:
        """End every call truthfully."""
        await self._sweeper.stop()
        await self._owner.stop()

    async def drain(self) -> None:
        """Wait until every call has ended, also without followers, and every answer is sent."""
        await self._owner.wait_idle()
        await self._router.wait_sent()


def build_programs(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    journal: JournalPart,
    grants: GrantsPart,
) -> ProgramsPart:
    """Build the part."""
    limits = context.settings.caller_limits
    ports = ProgramPorts(
        clock=context.ports.clock,
        configuration=configuration.configuration,
        ownership=journal.ownership,
        journal=journal.journal,
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

    if isinstance(journal.ownership, LocalOwnership):
        owner.load_shard(ShardNumber(0), LOCAL_EPOCH, ())
    journal.attach_programs(owner, owner.running_in)
    facts = OwnedPrograms(owner, context.node)
    return ProgramsPart(
        add_caller_routes,
        owner,
        router.execute,
        facts,
        AbandonCommand(owner),
        (ProgramService(owner, router),),
    )
