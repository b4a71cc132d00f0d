"""Typed requests of callers, after authentication and validation."""

from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.identifiers import CallId, ModelName, ProgramId, TenantName, ToolName


@dataclass(frozen=True, slots=True)
class ModelCallRequest:
    """Call a model as part of a program."""

    tenant: TenantName
    program_id: ProgramId
    model: ModelName
    messages: tuple[HistoryMessage, ...]
    """The full history followed by the new messages, or only the new ones; see `append`."""
    append: bool
    """True if `messages` follow the program's history, False if they repeat it from its start."""
    maximum_tokens: int
    idempotency_key: str = ""
    resume_offset: int = 0
    """Number of chunks of the answer that the caller has already received under this key."""
    parameters_json: str = ""
    """Sampling parameters and unknown fields as canonical JSON, passed through to the engine."""
    single_call: bool = False
    """True if the program is created for this call and finishes with it."""


@dataclass(frozen=True, slots=True)
class ToolCallRequest:
    """Call a tool as part of a program."""

    tenant: TenantName
    program_id: ProgramId
    tool: ToolName
    arguments_json: str
    tool_call_id: str = ""
    """The model's identifier of the tool call that this answers; empty for the call's own id."""
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
    """Empty for the parent's template."""
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
    """Follow a running or ended call from an offset in chunks."""

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
