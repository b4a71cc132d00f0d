"""What is asked of the table of programs, and what it answers."""

from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import CallAdmitted, HistoryMessage
from foxwinch.core.program.budget import Amount
from foxwinch.core.program.state import Call
from foxwinch.identifiers import CallId, ProgramId


@dataclass(frozen=True, slots=True)
class CallIntent:
    """A call as its caller asked for it."""

    program_id: ProgramId
    call_id: CallId
    kind: "CallAdmitted.Kind.ValueType"
    target: str
    """Model, tool or child program."""
    repeatable: bool
    messages: tuple[HistoryMessage, ...]
    """The whole history with the new messages at its end, or only the new ones: see `append`."""
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
    """The call waits for its turn in the program."""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The same request is waiting or running already, under this call."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class AlreadyEnded:
    """The same request has ended already; its outcome is the answer."""

    call: Call


@dataclass(frozen=True, slots=True)
class Started:
    """It is the call's turn and its budget is reserved; `admitted` is to be committed."""

    admitted: CallAdmitted
    reserved: Amount


@dataclass(frozen=True, slots=True)
class Applied:
    """The record changed the state."""


@dataclass(frozen=True, slots=True)
class Ignored:
    """The record was late, doubled or of an unknown call, and changed nothing."""

    cause: str
