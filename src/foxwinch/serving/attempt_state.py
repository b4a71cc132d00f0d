"""The state of a request across its attempts."""

from dataclasses import dataclass, field

from foxwinch.core.records.crash_history import Doubt, SendKey
from foxwinch.core.routing.configuration import Route
from foxwinch.core.routing.directory import Worker
from foxwinch.core.routing.stream_origin import StreamOrigin
from foxwinch.serving.messages import ServiceRequest, WorkerResponse


@dataclass(slots=True)
class Attempts:
    """The state of a request across its attempts."""

    request: ServiceRequest
    route: Route
    services: list[str]
    """The services that may serve the request, preferred one first."""
    body: bytes
    deadline_at: float
    """Deadline on the monotonic clock: the earlier one of the caller's and the route's."""
    tried_workers: set[str] = field(default_factory=set)
    """Ids of the workers that the request was sent to."""
    possibly_ran_on: set[str] = field(default_factory=set)
    """Ids of the workers that may have run the request."""
    running_on: Worker | None = None
    """The worker that runs the request as far as this node knows."""
    sent_at: float = 0.0
    """Time of the last send on the monotonic clock."""
    sent_ms: int = 0
    """The same on the store's clock."""
    send: SendKey | None = None
    """What identifies the last send at all nodes."""
    unused_sent_ms: int | None = None
    """Number of a send that witnesses know of and that was not made; the next one has it."""
    is_resend: bool = False
    """Whether the last send went to a worker that had lost the request before."""
    last_event_id: int | None = None
    origin: StreamOrigin | None = None
    """Service and software version that the stream is bound to; None while any may begin it."""
    has_begun: bool = False
    """Whether the caller has received an event of the stream, in this request or an earlier one."""
    full_workers: set[str] = field(default_factory=set)
    """Ids of the tried workers that had no capacity and may have some later."""
    has_claim: bool = False
    """Whether the request holds the claim that repetitions need after a worker ended under it."""
    is_suspected: bool = False
    """Whether a crash or a doubt was known of the request before its last send."""
    presumed_losses: int = 0
    """Number of losses that are presumed, as all who knew of them may have forgotten them."""
    announced: Doubt | None = None
    """The doubt by which other nodes know of the send that runs without a claim."""
    has_ended: bool = False
    _fingerprint: str | None = None

    @property
    def is_repetition(self) -> bool:
        """Whether all sends of the request are known to be those of one caller."""
        return self.is_suspected or self.request.program is not None

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint of the request, which is computed when it is first needed."""
        if self._fingerprint is None:
            self._fingerprint = self.request.fingerprint()
        return self._fingerprint


@dataclass(frozen=True, slots=True)
class AcceptedCall:
    """A worker that has started to respond."""

    worker: Worker
    response: WorkerResponse
