"""What the commands of programs need of a node."""

from dataclasses import dataclass, field

from foxwinch.backends.ports import GeneratePort, ToolPort
from foxwinch.clock import Clock
from foxwinch.commands.call_retries import CallRetries
from foxwinch.node.interfaces import (
    ConfigurationView,
    GrantView,
    JournalView,
    LimitView,
    OwnershipView,
)

DEFAULT_HISTORY_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ProgramPorts:
    """The ports that the commands of programs use."""

    clock: Clock
    configuration: ConfigurationView
    ownership: OwnershipView
    journal: JournalView
    grants: GrantView
    limits: LimitView
    engine: GeneratePort
    tools: ToolPort
    history_bytes: int = DEFAULT_HISTORY_BYTES
    """Longest history of one program."""
    retries: CallRetries = field(default_factory=CallRetries)
    """Circuits and budgets of repeats, shared by all calls of the node."""
