"""What the commands of programs need of a node."""

from dataclasses import dataclass, field
from typing import Protocol

from foxwinch.backends.ports import GeneratePort, ToolPort
from foxwinch.clock import Clock
from foxwinch.commands.call_retries import CallRetries
from foxwinch.commands.held_family import HeldFamily
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.limits.ports import LimitView
from foxwinch.outcomes import Refused
from foxwinch.records.families import Families, ServedElsewhere
from foxwinch.workers.ports import GrantView

DEFAULT_HISTORY_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ProgramPorts:
    """The ports that the commands of programs use."""

    clock: Clock
    configuration: ConfigurationView
    families: Families
    grants: GrantView
    limits: LimitView
    engine: GeneratePort
    tools: ToolPort
    history_bytes: int = DEFAULT_HISTORY_BYTES
    """Longest history of one program."""
    retries: CallRetries = field(default_factory=CallRetries)
    """Circuits and budgets of repeats, shared by all calls of the node."""


class LocateFamily(Protocol):
    """Finds the node that serves a family; one that nobody serves is served here from then on."""

    async def __call__(
        self, root: ProgramId, over: NodeId | None = None
    ) -> HeldFamily | ServedElsewhere | Refused:
        """Return the family, or the node that serves it unless that is `over`."""
        ...
