"""What a caller sees of a call, in order: started, chunks, finished or refused."""

from dataclasses import dataclass

from foxwinch.identifiers import CallId, ProgramId, WorkerId


@dataclass(frozen=True, slots=True)
class CallStarted:
    """The call was granted a worker and dispatched."""

    call_id: CallId
    program_id: ProgramId
    worker: WorkerId
    waited_seconds: float
    reason: str


@dataclass(frozen=True, slots=True)
class CallChunk:
    """A piece of the answer."""

    text: str
    tool_calls: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class CallFinished:
    """The outcome is committed; the answer is whole."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
