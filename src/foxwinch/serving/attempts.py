"""Offers one request to workers until one takes it, within the route's bounds."""

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
"""Workers that one request is offered to while each says that it did not run it."""
NO_WORKER_RETRY_SECONDS = 0.25
SHED_RETRY_SECONDS = 0.3
MIN_CALL_SECONDS = 0.02
"""With less time left no worker can do anything."""
PATIENCE_TARGETS = 4.0
"""A worker that has not begun to answer after so many of the route's target times is taken for
silent, where the request may run at another one."""
PATIENCE_SECONDS = 0.3
"""At least; a full worker answers within it."""
log = EventLog("attempts")


@dataclass(slots=True)
class Attempts:
    """What one request has tried so far."""

    request: ServiceRequest
    route: Route
    services: list[str]
    """The services that may serve it, the preferred one first."""
    body: bytes
    end_at: float
    """When the caller's or the route's time is over."""
    offered: set[str] = field(default_factory=set)
    """Workers that it was sent to."""
    ran_on: set[str] = field(default_factory=set)
    """Workers that may have run it."""
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class Taken:
    """A worker has begun to answer."""

    worker: Worker
    answer: WorkerResponse


class Dispatcher:
    """Chooses workers, sends, and keeps account of their load."""

    def __init__(
        self,
        routing: RoutingView,
        workers: Workers,
        clock: Clock,
        zone: str,
        metrics: ServingMetrics,
    ) -> None:
        """Send from `zone` to the workers that `routing` knows."""
        self._routing = routing
        self._workers = workers
        self._clock = clock
        self._zone = zone
        self._metrics = metrics
        self.loads = LoadTable()
        self._shares = ServiceShares()

    def services_of(self, route: Route) -> list[str]:
        """Return the services of a route, the one whose turn it is first."""
        return self._shares.order(route)

    async def offer(self, attempts: Attempts, last_worker: str | None) -> Taken | RejectedRequest:
        """Offer a request to workers until one answers; the end of the time is the caller's."""
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
        """Tell whether a request that a worker may have run may go to another one."""
        route = attempts.route
        return route.repeatable and len(attempts.ran_on) < max(1, route.attempts)

    @contextmanager
    def counted(self, worker: Worker) -> Iterator[None]:
        """Count a call as under way at a worker."""
        self.loads.began(worker.incarnation)
        try:
            yield
        finally:
            self.loads.ended(worker.incarnation)

    def failed(self, worker: Worker, failure: CallFailure, request_id: str) -> None:
        """Take note that a worker broke off or answered wrong."""
        self.loads.failed(worker.incarnation, self._clock.monotonic())
        self._metrics.worker_failures.labels(failure.value).inc()
        log.info(
            "worker_failed", request=request_id, worker=worker.worker_id, failure=failure.value
        )

    def answered(self, worker: Worker) -> None:
        """Take note of a sound answer."""
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
        """Return for how long to wait for a worker to begin its answer."""
        others = len(attempts.ran_on) + 1 < max(1, attempts.route.attempts)
        if not attempts.route.repeatable or not others:
            return left
        return min(left, max(PATIENCE_SECONDS, PATIENCE_TARGETS * attempts.route.target_seconds))

    def _is_late(self, request: ServiceRequest) -> bool:
        """Tell whether the request's program should be over by now."""
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
    """Return the program of a model call; other calls leave no cache behind."""
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
