"""Part: the programs that this node owns, and the way to the owners of the others."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from aiohttp import web

from foxwinch.commands.model_call import CallEvent, ModelCallPorts, run_model_call
from foxwinch.commands.operator import NoAbandons, ProgramAbandons
from foxwinch.commands.requests import ModelCallRequest
from foxwinch.gateway.chat import ChatHandlers
from foxwinch.node.parts.configuration import ConfigurationPart
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.grants import GrantsPart
from foxwinch.node.parts.journal import JournalPart
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.queries.facts import NoPrograms, ProgramFacts


@dataclass(frozen=True, slots=True)
class ProgramsPart:
    """What the caller side serves."""

    add_caller_routes: Callable[[web.UrlDispatcher], None]
    facts: ProgramFacts = field(default_factory=NoPrograms)
    abandons: ProgramAbandons = field(default_factory=NoAbandons)
    services: tuple[NodeService, ...] = ()


def build_programs(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    journal: JournalPart,
    grants: GrantsPart,
) -> ProgramsPart:
    """Build the part."""
    ports = ModelCallPorts(
        clock=context.ports.clock,
        ownership=journal.ownership,
        journal=journal.journal,
        grants=grants.grants,
        engine=context.ports.engine,
    )

    def run(request: ModelCallRequest) -> AsyncIterator[CallEvent]:
        return run_model_call(ports, request)

    handlers = ChatHandlers(configuration.configuration, run)
    return ProgramsPart(handlers.add_routes)
