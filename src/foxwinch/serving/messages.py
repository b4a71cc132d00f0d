"""What passes between the sides of a node: a caller's request, a worker's answer, a refusal."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ProgramParameters:
    """What a request tells of the program that it belongs to."""

    program_id: str
    conversation_id: str
    """One conversation of the program; a sub-agent has one of its own."""
    finish_seconds: float | None
    """Time left, on arrival, before the program should be over."""


@dataclass(frozen=True, slots=True)
class ModelParameters:
    """What a model call tells of its size."""

    prompt_tokens: int
    output_tokens_maximum: int
    output_tokens_guess: int | None
    prompt_parts: tuple[tuple[str, int], ...]
    """Identity and tokens of each part of the prompt, in order."""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One request of a caller, whole."""

    request_id: str
    method: str
    host: str
    target: str
    """Path and query as sent."""
    path: str
    headers: tuple[tuple[str, str], ...]
    """Those that go along to the worker."""
    body: bytes
    received_at: float
    """On the node's steady clock."""
    deadline_seconds: float | None
    """How long after `received_at` the caller waits; None when it does not say."""
    program: ProgramParameters | None = None
    model: ModelParameters | None = None
    budget_tokens: int | None = None
    previous_turn: str | None = None
    last_event_id: int | None = None


class CallFailure(StrEnum):
    """Why a worker gave no answer to a request."""

    UNREACHABLE = "unreachable"
    SHED = "shed"
    """The worker says that it did not run the request."""
    WRONG_WORKER = "wrong_worker"
    """Another worker has the address."""
    SILENT = "silent"
    """No answer for so long that another worker is asked; it may have run the request."""
    CONNECTION_LOST = "broken_off"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The request certainly did not run at the worker, and never will."""

    failure: CallFailure
    detail: str
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class CallInterrupted:
    """The request may have run at the worker."""

    failure: CallFailure
    detail: str


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a worker's answer, as they go on to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    signed: bool
    """Whether the answer carries the worker's signature."""


class WorkerResponse(Protocol):
    """A worker's answer whose head has arrived."""

    head: ResponseHead

    async def read_whole(self) -> bytes | CallInterrupted:
        """Read the body."""
        ...

    def pieces(self) -> AsyncIterator[bytes | CallInterrupted]:
        """Yield the body as it comes; a `CallInterrupted` is the last if it does not come whole."""
        ...

    def close(self) -> None:
        """Drop the answer; the worker stops working on it."""
        ...


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A request as it goes to one worker."""

    request: ServiceRequest
    body: bytes
    deadline_seconds: float
    """What is left of the caller's and the route's time."""
    last_event_id: int | None = None
    urgency: int | None = None


class Rejection(StrEnum):
    """Final answers of foxwinch's own, by what they promise."""

    NOT_RUN = "not_run"
    """Did not run and never will; the caller may come again."""
    BUDGET_SPENT = "budget_spent"
    NO_ROUTE = "no_route"
    NO_SUCH_TURN = "no_such_turn"
    INVALID = "invalid"
    TOO_LARGE = "too_large"
    FAILED = "failed"
    """A worker may have run it."""
    LATE = "late"
    """A worker may have run it, and the time is over."""


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """A final answer of foxwinch's own."""

    rejection: Rejection
    reason: str
    """A stable word for logs and metrics."""
    retry_after_seconds: float | None = None


class Caller(Protocol):
    """The caller's side of one request."""

    async def reject(self, rejected: RejectedRequest) -> None:
        """Give a final answer of foxwinch's own."""
        ...

    async def answer(self, head: ResponseHead, body: bytes) -> None:
        """Give a worker's whole answer."""
        ...

    async def begin(self, head: ResponseHead) -> None:
        """Begin a stream with a worker's head."""
        ...

    async def send(self, data: bytes) -> None:
        """Pass on whole events."""
        ...

    async def finish(self) -> None:
        """End a stream that is complete."""
        ...

    def break_off(self) -> None:
        """End a stream so that it cannot look complete."""
        ...
