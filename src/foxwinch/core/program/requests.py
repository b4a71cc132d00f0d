"""Requests to the program table and their results."""

from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import CallAdmitted, HistoryMessage
from foxwinch.core.program.budget import Amount
from foxwinch.core.program.state import Call
from foxwinch.identifiers import CallId, ProgramId


@dataclass(frozen=True, slots=True)
class CallIntent:
    """A call as requested by its caller."""

    program_id: ProgramId
    call_id: CallId
    kind: "CallAdmitted.Kind.ValueType"
    target: str
    """Name of the model, tool or child program."""
    repeatable: bool
    messages: tuple[HistoryMessage, ...]
    """Only the new messages if `append` is set, otherwise the full history including them."""
    append: bool
    parameters_json: str
    maximum_tokens: int
    idempotency_key: str
    request_hash: bytes
    cost_per_token: float
    call_cost: float
    history_limit_bytes: int
    tool_call_id: str = ""


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits in the program's queue."""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The same request is already queued or running as the given call."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class AlreadyEnded:
    """The same request has already ended; the response is the outcome of the given call."""

    call: Call


@dataclass(frozen=True, slots=True)
class Started:
    """The call is active and its budget is reserved; `admitted` must be committed next."""

    admitted: CallAdmitted
    reserved: Amount


@dataclass(frozen=True, slots=True)
class Applied:
    """The record changed the state."""


@dataclass(frozen=True, slots=True)
class Ignored:
    """The record was late, duplicated or invalid and had no effect."""

    cause: str
