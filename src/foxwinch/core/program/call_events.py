"""Events of a request as delivered to its caller; the last one is a final event or a refusal."""

from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import HistoryMessage, ProgramBudget
from foxwinch.core.program.budget import Amount
from foxwinch.identifiers import CallId, ProgramId, WorkerId
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class CallStarted:
    """The call was granted a worker and is being dispatched."""

    call_id: CallId
    program_id: ProgramId
    worker: WorkerId
    waited_seconds: float
    reason: str
    target: str = ""
    """Name of the model or tool."""


@dataclass(frozen=True, slots=True)
class CallChunk:
    """A chunk of the response."""

    text: str
    tool_calls: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class CallChunks:
    """Chunks of the response that are available together."""

    chunks: Sequence[CallChunk]
    more: bool = False
    """Whether the next event is available too, so that both can be sent together."""


@dataclass(frozen=True, slots=True)
class CallFinished:
    """The outcome is committed and the response is complete."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class ToolFinished:
    """The outcome of a tool call is committed."""

    call_id: CallId
    message: HistoryMessage
    """The message appended to the program's history."""


@dataclass(frozen=True, slots=True)
class ProgramDetails:
    """A program as shown to its tenant."""

    program_id: ProgramId
    template: str
    state: str
    """`live`, `finished` or `abandoned`."""
    parent_program_id: ProgramId | None
    history: tuple[HistoryMessage, ...]
    spent: Amount
    budget: ProgramBudget


ProgramEvent = CallStarted | CallChunks | CallFinished | ToolFinished | ProgramDetails | Refused
FINAL_EVENTS = (CallFinished, ToolFinished, ProgramDetails, Refused)
