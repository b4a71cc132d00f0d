"""What a caller sees of a request, in order; the last event is an end or a refusal."""

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
    """Model or tool."""


@dataclass(frozen=True, slots=True)
class CallChunk:
    """A piece of the answer."""

    text: str
    tool_calls: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class CallChunks:
    """Pieces of the answer that are ready together."""

    chunks: Sequence[CallChunk]
    more: bool = False
    """True when the next event is ready too, so that both can be sent together."""


@dataclass(frozen=True, slots=True)
class CallFinished:
    """The outcome is committed; the answer is whole."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class ToolFinished:
    """The outcome of a tool call is committed."""

    call_id: CallId
    message: HistoryMessage
    """The message that now ends the program's history."""


@dataclass(frozen=True, slots=True)
class ProgramDetails:
    """A program as its own tenant sees it."""

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
