"""Messages between the caller side and the worker side of a node."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from foxwinch.core.routing.fingerprint import RequestContent, request_fingerprint


@dataclass(frozen=True, slots=True)
class ProgramParameters:
    """What a request states about its program."""

    program_id: str
    conversation_id: str
    """Id of a conversation within the program; each sub-agent has its own."""
    seconds_to_deadline: float | None
    """Time from the request's arrival to the program's deadline."""


@dataclass(frozen=True, slots=True)
class ModelParameters:
    """What a model call states about its size."""

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    prompt_parts: tuple[tuple[str, int], ...]
    """Identifier and token count of each part of the prompt, in order."""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A complete request of a caller."""

    request_id: str
    method: str
    host: str
    target: str
    """Path and query as sent."""
    path: str
    headers: tuple[tuple[str, str], ...]
    """The headers that are forwarded to the worker."""
    body: bytes
    received_at: float
    """Time of receipt on the node's monotonic clock."""
    deadline_seconds: float | None
    """The caller's timeout, counted from `received_at`, if it states one."""
    program: ProgramParameters | None = None
    model: ModelParameters | None = None
    budget_tokens: int | None = None
    previous_turn: str | None = None
    last_event_id: int | None = None
    """Id of the last event that the caller received in earlier requests for the same stream."""
    resumed_request: str | None = None
    """Id of the request that delivered the first event of the stream, if this one resumes it."""
    affinity: str = ""
    """Name of the object that the request concerns, if the caller states one."""

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has received events of the stream in earlier requests."""
        return self.resumed_request is not None or self.last_event_id is not None

    def fingerprint(self) -> str:
        """Return the fingerprint that this request shares with its repetitions."""
        content = RequestContent(
            self.method,
            self.target,
            self.program.program_id if self.program else "",
            self.previous_turn or "",
            self.affinity,
            self.body,
        )
        return request_fingerprint(content)


class CallFailure(StrEnum):
    """Why a worker gave no response to a request."""

    UNREACHABLE = "unreachable"
    SHED = "shed"
    """The worker rejected the request without running it."""
    WRONG_WORKER = "wrong_worker"
    """A different worker responded at the address."""
    UNRESPONSIVE = "silent"
    """The response timed out and another worker is tried; the request may have run."""
    CONNECTION_LOST = "broken_off"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The request did not run at the worker and never will."""

    failure: CallFailure
    detail: str
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class CallInterrupted:
    """The request may have run at the worker."""

    failure: CallFailure
    detail: str


class ProbeResult(StrEnum):
    """Whether an incarnation of a worker still runs, as shown by a new connection."""

    LIVING = "living"
    """The same start of the worker responds."""
    RUNNING = "running"
    """A worker of the same id responds; it may be another start."""
    ENDED = "ended"
    """Nothing listens at its address, or another worker does."""
    UNKNOWN = "unknown"
    """No response arrived in time, or one that does not tell whose it is."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a worker's response, as forwarded to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    signed: bool
    """Whether the response carries the worker's signature."""


class WorkerResponse(Protocol):
    """A worker's response after its head has been received."""

    head: ResponseHead

    async def read_body(self) -> bytes | CallInterrupted:
        """Read the complete body; one that exceeds the limits is malformed."""
        ...

    def chunks(self) -> AsyncIterator[bytes | CallInterrupted]:
        """Yield the body as it arrives; a truncated body ends with a `CallInterrupted`."""
        ...

    def close(self) -> None:
        """Close the response and free its body; if incomplete, the worker cancels the request."""
        ...


class StartCheck(StrEnum):
    """Whether a call is made only if the worker proves to be the expected start of its id."""

    NONE = "none"
    IF_TOLD = "if told"
    """Also if the worker's report tells no start."""
    REQUIRED = "required"


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A request as sent to one worker."""

    request: ServiceRequest
    body: bytes
    deadline_seconds: float
    """Remaining time under the caller's and the route's deadline."""
    last_event_id: int | None = None
    urgency: int | None = None
    start_check: StartCheck = StartCheck.NONE


class Rejection(StrEnum):
    """Errors that foxwinch itself returns, by what they guarantee."""

    NOT_RUN = "not_run"
    """The request did not run and never will; the caller may retry it."""
    BUDGET_SPENT = "budget_spent"
    NO_ROUTE = "no_route"
    NO_SUCH_TURN = "no_such_turn"
    INVALID = "invalid"
    TOO_LARGE = "too_large"
    FAILED = "failed"
    """A worker may have run the request."""
    LATE = "late"
    """The deadline has passed, and a worker may have run the request."""


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """An error that foxwinch itself returns to the caller."""

    rejection: Rejection
    reason: str
    """A stable identifier for logs and metrics."""
    retry_after_seconds: float | None = None


class Caller(Protocol):
    """The caller's side of one request."""

    async def reject(self, rejected: RejectedRequest) -> None:
        """Send an error of foxwinch itself."""
        ...

    async def respond(self, head: ResponseHead, body: bytes) -> None:
        """Send a worker's complete response."""
        ...

    async def begin(self, head: ResponseHead) -> None:
        """Start a stream with the head of a worker's response."""
        ...

    async def send(self, data: bytes) -> None:
        """Send complete events."""
        ...

    async def finish(self) -> None:
        """End a complete stream."""
        ...

    def abort(self) -> None:
        """Abort a stream in a way that the caller detects as incomplete."""
        ...
