"""Ports that the program commands depend on."""

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
    """The dependencies of the program commands."""

    clock: Clock
    configuration: ConfigurationView
    trees: ProgramTreeStore
    grants: GrantView
    limits: LimitView
    engine: GeneratePort
    tools: ToolPort
    history_bytes: int = DEFAULT_HISTORY_BYTES
    """Maximum size of a program's history in bytes."""
    retries: CallRetries = field(default_factory=CallRetries)
    """Circuit breakers and retry budgets, shared by all calls of the node."""


class LocateTree(Protocol):
    """Locates a program tree; this node starts to serve a tree that no node serves."""

    async def __call__(
        self, root: ProgramId, previous_owner: NodeId | None = None
    ) -> ServedTree | OwnedElsewhere | Refused:
        """Return the tree if this node serves it, else the node that does.

        A tree that `previous_owner` serves is taken over by this node.
        """
        ...
