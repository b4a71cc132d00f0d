"""Request handling of a node: route, budget and history, worker, response."""

import asyncio
from dataclasses import dataclass
from typing import NamedTuple

from foxwinch.clock import Clock
from foxwinch.core.records.account import Exhausted, ReservationRequest
from foxwinch.core.routing.configuration import Route, RouteKind, RoutingConfiguration
from foxwinch.log import EventLog, age_ms
from foxwinch.outcomes import Refused
from foxwinch.records.budgets import BudgetLedger, Reserved
from foxwinch.records.turns import NoSuchTurn, TurnRecords
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.attempts import Dispatcher
from foxwinch.serving.messages import Caller, RejectedRequest, Rejection, ServiceRequest
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.plain import serve_plain
from foxwinch.serving.ports import RoutingView
from foxwinch.serving.prompt import Prompt, load_prompt
from foxwinch.serving.stream import StreamServer, StreamSummary
from foxwinch.serving.stream_origins import StreamOrigins

STORE_TIMEOUT_SECONDS = 0.9
"""Maximum time that a turn waits for the store before it is rejected with a retry time."""
STORE_TIME_FRACTION = 0.35
"""Fraction of a turn's remaining time that may be spent on the store, so that the caller of a
rejected turn has time to try another node."""
STORE_RETRY_AFTER_SECONDS = 1.0
"""Retry time after a store timeout; such a store is usually down for seconds."""
UNKNOWN_ROUTE_AGE_SECONDS = 3.0
"""Age from which an unconfirmed configuration may lack a new route."""
CONFIGURATION_RETRY_AFTER_SECONDS = 0.3
log = EventLog("requests")


@dataclass(frozen=True, slots=True)
class Served:
    """The outcome of a request."""

    outcome: str
    """A stable identifier for logs and metrics."""


class _RoutingBasis(NamedTuple):
    """The routing state that a request was routed by."""

    configuration: int | None
    """Version of the configuration; None before the first one."""
    configuration_age_ms: int | None
    """Time since that version was last confirmed as the newest."""


class RequestHandler:
    """Handles the requests of callers."""

    def __init__(
        self,
        routing: RoutingView,
        dispatcher: Dispatcher,
        budgets: BudgetLedger,
        turns: TurnRecords,
        origins: StreamOrigins,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        """Create a handler that routes by the state in `routing`."""
        self._routing = routing
        self._dispatcher = dispatcher
        self._budgets = budgets
        self._turns = turns
        self._clock = clock
        self._metrics = metrics
        self._origins = origins
        self._streams = StreamServer(dispatcher, turns, origins, clock, metrics)

    async def handle(self, request: ServiceRequest, caller: Caller) -> None:
        """Handle one request until it is answered or rejected."""
        configuration = self._routing.configuration
        basis = _RoutingBasis(
            configuration.version if configuration is not None else None,
            age_ms(self._routing.configuration_age_seconds()),
        )
        route = configuration.match(request.host, request.path) if configuration else None
        if configuration is None or route is None:
            rejected = self._reject_unrouted(configuration)
            await caller.reject(rejected)
            self._record_end(request, None, rejected.reason, basis)
            return
        deadline_at = request.received_at + route.timeout_seconds
        if request.deadline_seconds is not None:
            deadline_at = min(deadline_at, request.received_at + request.deadline_seconds)
        services = self._dispatcher.ordered_services(route)
        attempts = Attempts(request, route, services, request.body, deadline_at)
        self._metrics.running.inc()
        outcome = "caller_left"
        try:
            outcome = await self._serve(attempts, configuration, caller)
        finally:
            self._metrics.running.dec()
            self._dispatcher.guard.on_end(attempts)
            self._record_end(request, route, outcome, basis)

    async def _serve(
        self, attempts: Attempts, configuration: RoutingConfiguration, caller: Caller
    ) -> str:
        if attempts.route.kind is not RouteKind.STREAM:
            return await serve_plain(self._dispatcher, attempts, caller, self._clock)
        if attempts.request.resumes_stream:
            origin = await self._origins.resolve(attempts, self._store_deadline_at(attempts))
            if isinstance(origin, RejectedRequest):
                await caller.reject(origin)
                return origin.reason
            attempts.origin, attempts.has_begun = origin, True
        prepared = await self._prepare(attempts)
        if isinstance(prepared, RejectedRequest):
            await caller.reject(prepared)
            return prepared.reason
        summary = StreamSummary(self._tokens_per_event(attempts, configuration))
        try:
            return await self._streams.serve(attempts, prepared, caller, summary)
        finally:
            self._settle_budget(attempts.request, summary)

    async def _prepare(self, attempts: Attempts) -> Prompt | RejectedRequest:
        """Reserve the budget and read the history concurrently."""
        store_deadline_at = self._store_deadline_at(attempts)
        reservation = asyncio.ensure_future(self._reserve(attempts, store_deadline_at))
        try:
            prompt = await load_prompt(self._turns, attempts, store_deadline_at)
            reserved = await reservation
        except asyncio.CancelledError:
            await self._release_reservation(attempts.request, reservation)
            raise
        if isinstance(reserved, RejectedRequest):
            return reserved
        if isinstance(prompt, Prompt):
            return prompt
        self._settle_budget(attempts.request, None)
        if isinstance(prompt, NoSuchTurn):
            return RejectedRequest(Rejection.NO_SUCH_TURN, "no_such_turn")
        self._log_refusal("history_refused", attempts.request, prompt)
        return _reject_store_refusal(prompt)

    def _store_deadline_at(self, attempts: Attempts) -> float:
        """Return the time until which a request may wait for the store from now on."""
        now = self._clock.monotonic()
        return now + min(STORE_TIMEOUT_SECONDS, STORE_TIME_FRACTION * (attempts.deadline_at - now))

    async def _release_reservation(
        self, request: ServiceRequest, reservation: "asyncio.Future[RejectedRequest | None]"
    ) -> None:
        """Release the reservation of a cancelled request."""
        if reservation.done() and not reservation.cancelled() and reservation.result() is None:
            self._settle_budget(request, None)
        reservation.cancel()

    async def _reserve(
        self, attempts: Attempts, store_deadline_at: float
    ) -> RejectedRequest | None:
        request = attempts.request
        if request.program is None or request.budget_tokens is None or request.model is None:
            return None
        operation = ReservationRequest(
            request.request_id, request.model.max_output_tokens, request.budget_tokens
        )
        outcome = await self._budgets.reserve(
            request.program.program_id, operation, store_deadline_at, attempts.deadline_at
        )
        match outcome:
            case Reserved():
                self._metrics.budget_wait_seconds.observe(outcome.waited_seconds)
                log.info(
                    "budget_reserved",
                    request=request.request_id,
                    program=request.program.program_id,
                    most=operation.tokens,
                    budget=operation.budget,
                    waited_ms=int(1e3 * outcome.waited_seconds),
                    leased=outcome.leased,
                )
                return None
            case Exhausted():
                log.info(
                    "budget_spent",
                    request=request.request_id,
                    program=request.program.program_id,
                    committed=outcome.committed,
                    most=operation.tokens,
                    budget=operation.budget,
                )
                return RejectedRequest(Rejection.BUDGET_SPENT, "budget_spent")
            case Refused():
                self._log_refusal("budget_refused", request, outcome)
                return _reject_store_refusal(outcome)

    def _log_refusal(self, event: str, request: ServiceRequest, refused: Refused) -> None:
        log.info(
            event,
            request=request.request_id,
            reason=refused.reason.value,
            detail=refused.detail,
            waited_ms=int(1e3 * (self._clock.monotonic() - request.received_at)),
        )

    def _settle_budget(self, request: ServiceRequest, summary: StreamSummary | None) -> None:
        if request.program is None or request.budget_tokens is None or request.model is None:
            return
        used = summary.tokens if summary is not None else 0
        self._budgets.settle(request.program.program_id, request.request_id, used)

    def _tokens_per_event(self, attempts: Attempts, configuration: RoutingConfiguration) -> int:
        known = [
            configuration.services[service].tokens_per_event
            for service in attempts.services
            if service in configuration.services
        ]
        return max(known, default=1)

    def _reject_unrouted(self, configuration: RoutingConfiguration | None) -> RejectedRequest:
        if configuration is None:
            return RejectedRequest(
                Rejection.NOT_RUN, "no_configuration", CONFIGURATION_RETRY_AFTER_SECONDS
            )
        if self._routing.configuration_age_seconds() > UNKNOWN_ROUTE_AGE_SECONDS:
            return RejectedRequest(
                Rejection.NOT_RUN, "configuration_unconfirmed", CONFIGURATION_RETRY_AFTER_SECONDS
            )
        return RejectedRequest(Rejection.NO_ROUTE, "no_route")

    def _record_end(
        self, request: ServiceRequest, route: Route | None, outcome: str, basis: _RoutingBasis
    ) -> None:
        elapsed_seconds = self._clock.monotonic() - request.received_at
        kind = route.kind.value if route is not None else "none"
        self._metrics.requests.labels(kind, outcome).inc()
        self._metrics.request_seconds.labels(kind).observe(elapsed_seconds)
        log.info(
            "request_ended",
            request=request.request_id,
            program=request.program.program_id if request.program else None,
            route=route.name if route else None,
            outcome=outcome,
            took_ms=int(1e3 * elapsed_seconds),
            resumes=request.resumed_request,
            last_event=request.last_event_id,
            configuration=basis.configuration,
            configuration_age_ms=basis.configuration_age_ms,
        )


def _reject_store_refusal(refused: Refused) -> RejectedRequest:
    retry_after = refused.retry_after_seconds or STORE_RETRY_AFTER_SECONDS
    return RejectedRequest(Rejection.NOT_RUN, f"store_{refused.reason.value}", retry_after)
