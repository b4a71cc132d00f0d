"""Operator subsystem: operators' queries and commands on the other subsystems."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from foxwinch._generated.operator_pb2 import NodeStatus
from foxwinch.commands.operator import LocalCommands, OperatorCommands
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.core.membership.actions import RegionState
from foxwinch.node.parts.configuration import ConfigurationPart
from foxwinch.node.parts.context import NodeContext
from foxwinch.node.parts.grants import GrantsPart
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.node.parts.programs import ProgramsPart
from foxwinch.operator.handlers import OperatorHandlers
from foxwinch.outcomes import Refused
from foxwinch.queries.cluster import ClusterQueries, LocalFacts


class Readiness:
    """Readiness and status of this node."""

    def __init__(
        self,
        context: NodeContext,
        configuration: ConfigurationView,
        trees: Callable[[], int],
        regions: Callable[[], Sequence[RegionState]],
    ) -> None:
        self._context = context
        self._regions = regions
        self._configuration = configuration
        self._trees = trees

    def not_ready_because(self) -> str | None:
        """Return the reason why the node does not accept new work, or None if it does."""
        if self._context.gate.closed:
            return "draining"
        snapshot = self._configuration.current()
        return snapshot.detail if isinstance(snapshot, Refused) else None

    def status(self) -> NodeStatus:
        """Return the status message of this node."""
        snapshot = self._configuration.current()
        return NodeStatus(
            node=self._context.node,
            configuration_revision=0 if isinstance(snapshot, Refused) else snapshot.revision,
            draining=self._context.gate.closed,
            running_requests=self._context.gate.running,
            held_families=self._trees(),
            not_ready_because=self.not_ready_because() or "",
            cut_off_regions=[state.region for state in self._regions() if state.cut_off],
        )


@dataclass(frozen=True, slots=True)
class OperatorPart:
    """Handlers and readiness of the operator subsystem."""

    handlers: OperatorHandlers
    readiness: Readiness


def build_operator(
    context: NodeContext,
    membership: MembershipPart,
    configuration: ConfigurationPart,
    grants: GrantsPart,
    programs: ProgramsPart,
) -> OperatorPart:
    """Build the subsystem from the queries and commands of the others."""
    readiness = Readiness(
        context,
        configuration.configuration,
        programs.owner.tree_count,
        membership.regions,
    )
    queries = ClusterQueries(
        membership.membership,
        programs.owner.locate,
        context.ports.peers,
        LocalFacts(readiness, grants.facts, programs.facts),
    )
    commands = OperatorCommands(
        membership.membership,
        programs.owner.locate,
        context.ports.peers,
        LocalCommands(
            drain_node=context.stop_requested.set,
            configuration=configuration.changes,
            workers=grants.drains,
            programs=programs.abandons,
        ),
    )
    return OperatorPart(
        OperatorHandlers(
            configuration.configuration,
            queries,
            commands,
            configuration.changes.revisions_at_nodes,
        ),
        readiness,
    )
