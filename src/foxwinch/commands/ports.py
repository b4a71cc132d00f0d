"""What the commands of programs need of a node."""

from dataclasses import dataclass, field
from typing import Protocol

from foxwinch.backends.ports import GeneratePort, ToolPort
from foxwinch.clock import Clock
from foxwinch.commands.call_retries import CallRetries
from foxwinch.commands.served_tree import ServedTree
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.limits.ports import LimitView
from foxwinch.outcomes import Refused
from foxwinch.records.program_trees import OwnedElsewhere, ProgramTreeStore
from foxwinch.workers.ports import GrantView

DEFAULT_HISTORY_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ProgramPorts:
    """The ports that the commands of programs use."""

    clock: Clock
    configuration: ConfigurationView
    trees: ProgramTreeStore
    grants: GrantView
    limits: LimitView
    engine: GeneratePort
    tools: ToolPort
    history_bytes: int = DEFAULT_HISTORY_BYTES
    """Longest history of one program."""
    retries: CallRetries = field(default_factory=CallRetries)
    """Circuits and budgets of repeats, shared by all calls of the node."""


class LocateTree(Protocol):
    """Finds the node that serves a program tree; one without a node is served here from then on."""

    async def __call__(
        self, root: ProgramId, over: NodeId | None = None
    ) -> ServedTree | OwnedElsewhere | Refused:
        """Return the program tree, or the node that serves it unless that is `over`."""
        ...
