"""Typed requests of callers, after authentication and checking."""

from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.identifiers import CallId, ModelName, ProgramId, TenantName, ToolName


@dataclass(frozen=True, slots=True)
class ModelCallRequest:
    """A model call of a program."""

    tenant: TenantName
    program_id: ProgramId
    model: ModelName
    messages: tuple[HistoryMessage, ...]
    """The whole history with the new messages at its end, or only the new ones: see `append`."""
    append: bool
    """True: `messages` follow the program's history; False: they repeat it from its start."""
    maximum_tokens: int
    idempotency_key: str = ""
    resume_offset: int = 0
    """Number of chunks that the caller already has of the answer under this key."""
    parameters_json: str = ""
    """Sampling parameters and unknown fields in canonical JSON, passed through."""
    single_call: bool = False
    """True: the program is created for this call and finished with it."""


@dataclass(frozen=True, slots=True)
class ToolCallRequest:
    """A tool call of a program."""

    tenant: TenantName
    program_id: ProgramId
    tool: ToolName
    arguments_json: str
    tool_call_id: str = ""
    """The model's identifier of the call that this answers; empty for the call's own."""
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class CreateRequest:
    """Create a program from a template."""

    tenant: TenantName
    program_id: ProgramId
    template: str
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class SpawnRequest:
    """Start a sub-agent: a child program with its own history and its parent's budget."""

    tenant: TenantName
    program_id: ProgramId
    """The parent."""
    template: str
    """Empty for the parent's own template."""
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class EndRequest:
    """Finish or abandon a program."""

    tenant: TenantName
    program_id: ProgramId
    abandoned: bool
    reason: str
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class HistoryRequest:
    """Read a program."""

    tenant: TenantName
    program_id: ProgramId
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """Follow a call that is running or has ended, from an offset in chunks."""

    tenant: TenantName
    program_id: ProgramId
    call_id: CallId
    offset: int
    idempotency_key: str = ""


ProgramRequest = (
    ModelCallRequest
    | ToolCallRequest
    | CreateRequest
    | SpawnRequest
    | EndRequest
    | HistoryRequest
    | AttachRequest
)
