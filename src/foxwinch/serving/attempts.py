"""Dispatch of a request to workers, with retries within the limits of its route."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from foxwinch.clock import Clock
from foxwinch.core.routing.configuration import Route
from foxwinch.core.routing.directory import Worker
from foxwinch.core.routing.load import LoadTable
from foxwinch.core.routing.selection import Wish, choose
from foxwinch.core.routing.shares import ServiceShares
from foxwinch.core.routing.urgency import urgency_of
from foxwinch.log import EventLog, age_ms
from foxwinch.serving.messages import (
    CallFailure,
    CallInterrupted,
    CallRefused,
    OutgoingCall,
    RejectedRequest,
    Rejection,
    ServiceRequest,
    WorkerResponse,
)
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import RoutingView, Workers

MAX_OFFERS = 4
"""Maximum number of workers that one request is sent to while each refuses to run it."""
NO_WORKER_RETRY_SECONDS = 0.25
SHED_RETRY_SECONDS = 0.3
MIN_CALL_SECONDS = 0.02
"""Minimum remaining time for a call; no worker can complete one in less."""
PATIENCE_TARGETS = 4.0
"""Timeout for the start of a response, in multiples of the route's target time. It applies if the
request may run at another worker."""
PATIENCE_SECONDS = 0.3
"""Minimum of that timeout; an overloaded worker sheds the call within it."""
log = EventLog("attempts")


@dataclass(slots=True)
class Attempts:
    """The state of a request across its attempts."""

    request: ServiceRequest
    route: Route
    services: list[str]
    """The services that may serve the request, preferred one first."""
    body: bytes
    end_at: float
    """Deadline on the monotonic clock: the earlier one of the caller's and the route's."""
    offered: set[str] = field(default_factory=set)
    """Ids of the workers that the request was sent to."""
    ran_on: set[str] = field(default_factory=set)
    """Ids of the workers that may have run the request."""
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class Taken:
    """A worker that has started to respond."""

    worker: Worker
    answer: WorkerResponse


class Dispatcher:
    """Selects workers, sends calls and tracks the workers' load."""

    def __init__(
        self,
        routing: RoutingView,
        workers: Workers,
        clock: Clock,
        zone: str,
        metrics: ServingMetrics,
    ) -> None:
        """Create a dispatcher for a node in `zone`."""
        self._routing = routing
        self._workers = workers
        self._clock = clock
        self._zone = zone
        self._metrics = metrics
        self.loads = LoadTable()
        self._shares = ServiceShares()

    def services_of(self, route: Route) -> list[str]:
        """Return the services of a route, the next one in its weighted rotation first."""
        return self._shares.order(route)

    async def offer(self, attempts: Attempts, last_worker: str | None) -> Taken | RejectedRequest:
        """Send a request to workers until one responds; the calling code enforces the deadline."""
        offers = 0
        shed: CallRefused | None = None
        while True:
            left = attempts.end_at - self._clock.monotonic()
            if left < MIN_CALL_SECONDS:
                return _out_of_time(attempts)
            worker = self._choose(attempts, last_worker)
            if worker is None or offers >= MAX_OFFERS:
                return _not_served(attempts, shed)
            offers += 1
            attempts.offered.add(worker.worker_id)
            outcome = await self._call(worker, attempts, left)
            if isinstance(outcome, CallRefused):
                shed = outcome
            elif isinstance(outcome, CallInterrupted):
                attempts.ran_on.add(worker.worker_id)
                if not self.may_run_again(attempts):
                    return RejectedRequest(Rejection.FAILED, outcome.failure.value)
            else:
                attempts.ran_on.add(worker.worker_id)
                return Taken(worker, outcome)

    def may_run_again(self, attempts: Attempts) -> bool:
        """Return whether a request that may have run may be sent to another worker."""
        route = attempts.route
        return route.repeatable and len(attempts.ran_on) < max(1, route.attempts)

    @contextmanager
    def counted(self, worker: Worker) -> Iterator[None]:
        """Count a call as in flight at a worker within the context."""
        self.loads.began(worker.incarnation)
        try:
            yield
        finally:
            self.loads.ended(worker.incarnation)

    def failed(self, worker: Worker, failure: CallFailure, request_id: str) -> None:
        """Record that a worker aborted its response or sent an invalid one."""
        self.loads.failed(worker.incarnation, self._clock.monotonic())
        self._metrics.worker_failures.labels(failure.value).inc()
        log.info(
            "worker_failed", request=request_id, worker=worker.worker_id, failure=failure.value
        )

    def answered(self, worker: Worker) -> None:
        """Record a valid response."""
        self.loads.answered(worker.incarnation)

    def _choose(self, attempts: Attempts, last_worker: str | None) -> Worker | None:
        now = self._clock.monotonic()
        directory = self._routing.directory
        wish = Wish(self._zone, last_worker, _caching_program(attempts.request), attempts.offered)
        for service in attempts.services:
            workers = directory.serving(service, now)
            choice = choose(workers, self.loads, wish, now, self._clock.uniform())
            if choice is not None:
                log.info(
                    "worker_chosen",
                    request=attempts.request.request_id,
                    route=attempts.route.name,
                    worker=choice.worker.worker_id,
                    cost=f"{choice.cost:.3f}",
                    candidates=choice.candidates,
                    own_calls=choice.in_flight,
                    list_version=directory.version,
                    list_age_ms=age_ms(self._routing.workers_age_seconds()),
                    left_ms=int(1e3 * (attempts.end_at - now)),
                )
                return choice.worker
        return None

    async def _call(
        self, worker: Worker, attempts: Attempts, left: float
    ) -> WorkerResponse | CallRefused | CallInterrupted:
        call = OutgoingCall(
            attempts.request,
            attempts.body,
            left,
            attempts.last_event_id,
            urgency_of(attempts.route.priority, self._is_late(attempts.request)),
        )
        began = self._clock.monotonic()
        with self.counted(worker):
            outcome = await self._answer_of(worker, call, self._patience(attempts, left))
        now = self._clock.monotonic()
        if isinstance(outcome, CallRefused):
            self._note_refused(worker, outcome, attempts.request.request_id)
        elif isinstance(outcome, CallInterrupted):
            self.failed(worker, outcome.failure, attempts.request.request_id)
        else:
            self.loads.began_to_answer(worker.incarnation, now - began, now)
        return outcome

    async def _answer_of(
        self, worker: Worker, call: OutgoingCall, patience_seconds: float
    ) -> WorkerResponse | CallRefused | CallInterrupted:
        try:
            async with asyncio.timeout(patience_seconds):
                return await self._workers.call(worker, call)
        except TimeoutError:
            return CallInterrupted(CallFailure.SILENT, f"no answer in {patience_seconds:.2f} s")

    def _patience(self, attempts: Attempts, left: float) -> float:
        """Return the timeout for the start of a worker's response, in seconds."""
        others = len(attempts.ran_on) + 1 < max(1, attempts.route.attempts)
        if not attempts.route.repeatable or not others:
            return left
        return min(left, max(PATIENCE_SECONDS, PATIENCE_TARGETS * attempts.route.target_seconds))

    def _is_late(self, request: ServiceRequest) -> bool:
        """Return whether the request's program has passed its deadline."""
        program = request.program
        if program is None or program.finish_seconds is None:
            return False
        return self._clock.monotonic() - request.received_at >= program.finish_seconds

    def _note_refused(self, worker: Worker, refused: CallRefused, request_id: str) -> None:
        now = self._clock.monotonic()
        if refused.failure is CallFailure.SHED:
            self.loads.shed(worker.incarnation, now)
        else:
            self.loads.failed(worker.incarnation, now)
        self._metrics.worker_failures.labels(refused.failure.value).inc()
        log.info(
            "worker_refused",
            request=request_id,
            worker=worker.worker_id,
            failure=refused.failure.value,
            detail=refused.detail,
        )


def _caching_program(request: ServiceRequest) -> str | None:
    """Return the program of a model call, or None; other calls populate no cache."""
    if request.program is None or request.model is None:
        return None
    return request.program.program_id


def _out_of_time(attempts: Attempts) -> RejectedRequest:
    if attempts.ran_on:
        return RejectedRequest(Rejection.LATE, "time_over")
    return RejectedRequest(Rejection.NOT_RUN, "time_over")


def _not_served(attempts: Attempts, shed: CallRefused | None) -> RejectedRequest:
    if attempts.ran_on:
        return RejectedRequest(Rejection.FAILED, "no_worker_left")
    if shed is None:
        return RejectedRequest(Rejection.NOT_RUN, "no_worker", NO_WORKER_RETRY_SECONDS)
    retry_after = shed.retry_after_seconds or SHED_RETRY_SECONDS
    return RejectedRequest(Rejection.NOT_RUN, "workers_full", retry_after)
