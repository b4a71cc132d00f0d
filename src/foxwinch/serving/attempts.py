"""Dispatch of a request to workers, with retries within the limits of its route."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from foxwinch.clock import Clock
from foxwinch.core.routing.configuration import Route, RouteKind
from foxwinch.core.routing.directory import Worker
from foxwinch.core.routing.load import LoadTable
from foxwinch.core.routing.round_robin import WeightedRoundRobin
from foxwinch.core.routing.selection import SelectionCriteria, choose_worker
from foxwinch.core.routing.urgency import urgency_of
from foxwinch.log import EventLog, age_ms
from foxwinch.serving.attempt_state import AcceptedCall, Attempts
from foxwinch.serving.crash_guard import Admission, CrashGuard
from foxwinch.serving.messages import (
    CallFailure,
    CallInterrupted,
    CallRefused,
    OutgoingCall,
    RejectedRequest,
    Rejection,
    ServiceRequest,
    StartCheck,
    WorkerResponse,
)
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import RoutingView, Workers

MAX_DISPATCHES = 4
"""Maximum number of workers that one request is sent to while each refuses to run it."""
NO_WORKER_RETRY_AFTER_SECONDS = 0.25
SHED_RETRY_AFTER_SECONDS = 0.3
MIN_CALL_SECONDS = 0.02
"""Minimum remaining time for a call; no worker can complete one in less."""
RESPONSE_TIMEOUT_TARGETS = 4.0
"""Timeout for the start of a response, in multiples of the route's target time. It applies if the
request may run at another worker."""
MIN_RESPONSE_TIMEOUT_SECONDS = 0.3
"""Minimum of that timeout; an overloaded worker sheds the call within it."""
RESUME_WAIT_SECONDS = 1.0
"""Time for which a begun stream waits for capacity at the workers that may continue it. Callers
give a stream up after a pause of two seconds or more."""
RESUME_POLL_SECONDS = 0.1
log = EventLog("attempts")


class Dispatcher:
    """Selects workers, sends calls and tracks the workers' load."""

    def __init__(
        self,
        routing: RoutingView,
        workers: Workers,
        clock: Clock,
        zone: str,
        metrics: ServingMetrics,
        guard: CrashGuard,
    ) -> None:
        """Create a dispatcher for a node in `zone`; `guard` admits each send."""
        self._routing = routing
        self._workers = workers
        self._clock = clock
        self._zone = zone
        self._metrics = metrics
        self.loads = LoadTable()
        self.guard = guard
        self._round_robin = WeightedRoundRobin()

    def ordered_services(self, route: Route) -> list[str]:
        """Return the services of a route, the next one in its weighted rotation first."""
        return self._round_robin.services_by_turn(route)

    async def dispatch(
        self, attempts: Attempts, last_worker: str | None
    ) -> AcceptedCall | RejectedRequest:
        """Send a request to workers until one responds; the calling code enforces the deadline."""
        dispatches = 0
        wait_for_capacity_until = self._clock.monotonic() + RESUME_WAIT_SECONDS
        last_refusal: CallRefused | None = None
        while not self._is_too_late(attempts):
            worker = self._choose_worker(attempts, last_worker)
            if worker is None or dispatches >= MAX_DISPATCHES:
                rejected = self.guard.reject_exhausted(attempts) if worker is None else None
                if rejected is not None:
                    return rejected
                if not await self._wait_for_capacity(attempts, wait_for_capacity_until):
                    return _not_dispatched(attempts, last_refusal)
                dispatches = 0
                continue
            admission = await self._admit(attempts, worker)
            if isinstance(admission, RejectedRequest):
                return admission
            if admission is Admission.RESELECT:
                continue
            dispatches += 1
            outcome = await self._send(worker, attempts)
            if isinstance(outcome, CallRefused):
                last_refusal = outcome
            elif outcome is not None:
                return outcome
        return _deadline_exceeded(attempts)

    async def _send(
        self, worker: Worker, attempts: Attempts
    ) -> AcceptedCall | RejectedRequest | CallRefused | None:
        """Send a request to a worker; return None if it was lost and may be sent to another one."""
        attempts.tried_workers.add(worker.worker_id)
        outcome = await self._call(worker, attempts)
        if isinstance(outcome, CallRefused):
            if outcome.failure is CallFailure.SHED:
                attempts.full_workers.add(worker.worker_id)
            return outcome
        attempts.possibly_ran_on.add(worker.worker_id)
        if not isinstance(outcome, CallInterrupted):
            return AcceptedCall(worker, outcome)
        await self.record_failure(worker, outcome, attempts)
        if self.may_retry(attempts):
            return None
        return RejectedRequest(Rejection.FAILED, outcome.failure.value)

    async def _admit(self, attempts: Attempts, worker: Worker) -> RejectedRequest | Admission:
        admission = await self.guard.admit(attempts, worker)
        if admission is Admission.ADMITTED and self._is_too_late(attempts):
            # The process may have stood still since: the claim may have expired meanwhile.
            self.guard.on_refusal(attempts)
            return _deadline_exceeded(attempts)
        return admission

    def _is_too_late(self, attempts: Attempts) -> bool:
        return attempts.deadline_at - self._clock.monotonic() < MIN_CALL_SECONDS

    async def _wait_for_capacity(self, attempts: Attempts, wait_until: float) -> bool:
        """Let a begun stream try full workers again after a pause, as no others may continue it.

        Return False if it has to end.
        """
        next_try_at = self._clock.monotonic() + RESUME_POLL_SECONDS
        if not attempts.has_begun or not attempts.full_workers or next_try_at > wait_until:
            return False
        log.info(
            "waiting_for_capacity",
            request=attempts.request.request_id,
            service=attempts.origin.service if attempts.origin else None,
            software=attempts.origin.software_version if attempts.origin else None,
            full=len(attempts.full_workers),
        )
        attempts.tried_workers -= attempts.full_workers
        attempts.full_workers.clear()
        await self._clock.sleep(RESUME_POLL_SECONDS)
        return True

    def may_retry(self, attempts: Attempts) -> bool:
        """Return whether a request that may have run may be sent to another worker."""
        route = attempts.route
        return route.repeatable and len(attempts.possibly_ran_on) < max(1, route.max_workers)

    @contextmanager
    def count_in_flight(self, worker: Worker) -> Iterator[None]:
        """Count a call as in flight at a worker within the context."""
        self.loads.call_started(worker.incarnation)
        try:
            yield
        finally:
            self.loads.call_ended(worker.incarnation)

    async def record_failure(
        self, worker: Worker, interrupted: CallInterrupted, attempts: Attempts
    ) -> None:
        """Record that a worker gave no valid response, and check whether it has ended."""
        attempts.running_on = None
        self.loads.record_failure(worker.incarnation, self._clock.monotonic())
        self._metrics.worker_failures.labels(interrupted.failure.value).inc()
        log.info(
            "worker_failed",
            request=attempts.request.request_id,
            fingerprint=attempts.fingerprint,
            worker=worker.worker_id,
            started_ms=worker.started_ms,
            failure=interrupted.failure.value,
            detail=interrupted.detail,
            possibly_ran_on=len(attempts.possibly_ran_on),
            most=attempts.route.max_workers,
        )
        await self.guard.on_failure(worker, interrupted, attempts)

    def record_response(self, worker: Worker, attempts: Attempts, is_success: bool) -> None:
        """Record a complete response; a failure proves nothing of the worker or the request."""
        attempts.running_on = None
        if is_success:
            self.loads.record_success(worker.incarnation)
        self.guard.on_response(attempts, is_success)

    def _choose_worker(self, attempts: Attempts, last_worker: str | None) -> Worker | None:
        now = self._clock.monotonic()
        directory = self._routing.directory
        criteria = SelectionCriteria(
            self._zone,
            last_worker,
            _caching_program(attempts.request),
            attempts.tried_workers,
            self.guard.shared_workers(attempts),
        )
        services, software_version = attempts.services, None
        if attempts.origin is not None:
            services = [service for service in services if service == attempts.origin.service]
            software_version = attempts.origin.software_version
        for service in services:
            eligible = directory.eligible_workers(service, now, software_version)
            workers = self.guard.without_lost(attempts, eligible)
            choice = choose_worker(workers, self.loads, criteria, now, self._clock.uniform())
            if choice is not None:
                log.info(
                    "worker_chosen",
                    request=attempts.request.request_id,
                    route=attempts.route.name,
                    worker=choice.worker.worker_id,
                    software=choice.worker.software_version,
                    started_ms=choice.worker.started_ms,
                    last_event=attempts.last_event_id,
                    cost=f"{choice.cost:.3f}",
                    candidates=choice.candidates,
                    own_calls=choice.in_flight,
                    list_version=directory.version,
                    list_age_ms=age_ms(self._routing.workers_age_seconds()),
                    left_ms=int(1e3 * (attempts.deadline_at - now)),
                )
                return choice.worker
        return None

    async def _call(
        self, worker: Worker, attempts: Attempts
    ) -> WorkerResponse | CallRefused | CallInterrupted:
        remaining_seconds = max(0.0, attempts.deadline_at - self._clock.monotonic())
        call = OutgoingCall(
            attempts.request,
            attempts.body,
            remaining_seconds,
            attempts.last_event_id,
            urgency_of(attempts.route.priority, self._is_late(attempts.request)),
            start_check=_start_check(attempts, worker),
        )
        started_at = self._clock.monotonic()
        attempts.running_on, attempts.sent_at = worker, started_at
        with self.count_in_flight(worker):
            outcome = await self._await_response(
                worker, call, self._response_timeout_seconds(attempts, remaining_seconds)
            )
        now = self._clock.monotonic()
        if isinstance(outcome, CallRefused):
            attempts.running_on = None
            self.guard.on_refusal(attempts)
            self._record_refusal(worker, outcome, attempts.request.request_id)
        elif not isinstance(outcome, CallInterrupted):
            self.loads.record_response_start(worker.incarnation, now - started_at, now)
        return outcome

    async def _await_response(
        self, worker: Worker, call: OutgoingCall, timeout_seconds: float
    ) -> WorkerResponse | CallRefused | CallInterrupted:
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._workers.call(worker, call)
        except TimeoutError:
            return CallInterrupted(
                CallFailure.UNRESPONSIVE, f"no response within {timeout_seconds:.2f} s"
            )

    def _response_timeout_seconds(self, attempts: Attempts, remaining_seconds: float) -> float:
        """Return the timeout for the start of a worker's response, in seconds."""
        may_retry_elsewhere = len(attempts.possibly_ran_on) + 1 < max(1, attempts.route.max_workers)
        if not attempts.route.repeatable or not may_retry_elsewhere:
            return remaining_seconds
        return min(
            remaining_seconds,
            max(
                MIN_RESPONSE_TIMEOUT_SECONDS,
                RESPONSE_TIMEOUT_TARGETS * attempts.route.latency_target_seconds,
            ),
        )

    def _is_late(self, request: ServiceRequest) -> bool:
        """Return whether the request's program has passed its deadline."""
        program = request.program
        if program is None or program.seconds_to_deadline is None:
            return False
        return self._clock.monotonic() - request.received_at >= program.seconds_to_deadline

    def _record_refusal(self, worker: Worker, refused: CallRefused, request_id: str) -> None:
        now = self._clock.monotonic()
        if refused.failure is CallFailure.SHED:
            self.loads.record_shed(worker.incarnation, now)
        else:
            self.loads.record_failure(worker.incarnation, now)
        self._metrics.worker_failures.labels(refused.failure.value).inc()
        log.info(
            "worker_refused",
            request=request_id,
            worker=worker.worker_id,
            failure=refused.failure.value,
            detail=refused.detail,
        )


def _start_check(attempts: Attempts, worker: Worker) -> StartCheck:
    """Return whether a send is right only for the start of its worker that the list names.

    A stream is bound to the software version of that start.
    """
    if worker.started_ms is None:
        return StartCheck.NONE
    if attempts.is_resend:
        return StartCheck.REQUIRED
    is_stream = attempts.route.kind is RouteKind.STREAM
    return StartCheck.IF_TOLD if is_stream else StartCheck.NONE


def _caching_program(request: ServiceRequest) -> str | None:
    """Return the program of a model call, or None; other calls populate no cache."""
    if request.program is None or request.model is None:
        return None
    return request.program.program_id


def _deadline_exceeded(attempts: Attempts) -> RejectedRequest:
    if attempts.possibly_ran_on:
        return RejectedRequest(Rejection.LATE, "time_over")
    return RejectedRequest(Rejection.NOT_RUN, "time_over")


def _not_dispatched(attempts: Attempts, last_refusal: CallRefused | None) -> RejectedRequest:
    if attempts.possibly_ran_on:
        return RejectedRequest(Rejection.FAILED, "no_worker_left")
    if last_refusal is None and attempts.has_begun:
        return RejectedRequest(
            Rejection.NOT_RUN, "no_worker_of_version", NO_WORKER_RETRY_AFTER_SECONDS
        )
    if last_refusal is None:
        return RejectedRequest(Rejection.NOT_RUN, "no_worker", NO_WORKER_RETRY_AFTER_SECONDS)
    retry_after = last_refusal.retry_after_seconds or SHED_RETRY_AFTER_SECONDS
    return RejectedRequest(Rejection.NOT_RUN, "workers_full", retry_after)
