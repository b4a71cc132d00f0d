"""Part: grants of workers, their stewards and the orders to engines."""

from dataclasses import dataclass, field

from foxwinch.commands.operator import FixedWorkers, WorkerDrains
from foxwinch.node.interfaces import GrantView
from foxwinch.node.local import LocalGrants
from foxwinch.node.parts.configuration import ConfigurationPart
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.journal import JournalPart
from foxwinch.node.parts.membership import MembershipPart
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
    """Build the part; a single node grants the least loaded worker."""
    return GrantsPart(LocalGrants(configuration.configuration, context.ports.clock))
