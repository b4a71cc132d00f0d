"""Owner side of grants: chooses coordinators, requests grants and reports until acknowledged."""

import asyncio
from dataclasses import dataclass, field

from foxwinch._generated.steward_pb2 import GrantGiven
from foxwinch.clock import Clock
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.identifiers import NodeId, ProgramId, WorkerId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.service_tasks import ServiceTasks
from foxwinch.workers.coordinator_cache import CoordinatorCache
from foxwinch.workers.coordinator_client import CoordinatorClient
from foxwinch.workers.coordinator_directory import CoordinatorDirectory, ServingCoordinator
from foxwinch.workers.coordinator_messages import ask_message, grant_of
from foxwinch.workers.event_wait import wait_for_event
from foxwinch.workers.grant_reports import GrantReports, Report
from foxwinch.workers.ports import Grant, GrantRequest, GrantUsage

REPORT_INTERVAL_SECONDS = 2.0
"""Period in which active grants are confirmed; their lease is a multiple of it."""
BATCH_SECONDS = 0.005
"""Time for which reports are batched, short compared to a call, which takes tenths of a second."""
RETRY_SECONDS = 0.2
"""Delay before an unanswered report is resent and before another search for a coordinator."""
DRAIN_TIMEOUT_SECONDS = 5.0
"""Timeout of the last reports during a planned stop."""
COORDINATOR_TIMEOUT_SECONDS = 10.0
"""Time for which a request waits for a coordinator of any suitable worker, about two detections of
a dead node followed by a takeover. The request is then rejected with a retry delay."""
RETRY_AFTER_SECONDS = 2.0
"""Retry delay after no coordinator was found."""
PREFILL_TOKEN_SECONDS = 0.0002
"""Estimated prefill time per prompt token, to compare a cached prefix with a shorter queue."""
RETRYABLE_REASONS = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.FENCED,
        Reason.DRAINING,
        Reason.PEER_UNREACHABLE,
        Reason.BACKEND_UNAVAILABLE,
    }
)
"""Refusals after which another coordinator may issue the grant; requests are safe to repeat."""

log = EventLog("grants")


@dataclass(slots=True)
class _Search:
    """State of one request while coordinators are tried."""

    request: GrantRequest
    requested_at: float
    unqueued_since: float
    """Time since which no coordinator has held the request in its queue."""
    last_refusal: Refused | None = None
    refused_by: set[NodeId] = field(default_factory=set)
    """Coordinators that have refused the request; the remaining ones are tried first."""


class GrantsService:
    """Implementation of `foxwinch.workers.ports.GrantView` for all coordinators of the region."""

    def __init__(
        self,
        directory: CoordinatorDirectory,
        client: CoordinatorClient,
        configuration: ConfigurationView,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._cache = CoordinatorCache(directory, clock)
        self._client = client
        self._configuration = configuration
        self._clock = clock
        self._reports = GrantReports()
        self._report_event = asyncio.Event()
        self._tasks = ServiceTasks("grants")

    async def start(self) -> None:
        """Start the reporting loop."""
        self._tasks.start(self._report_loop())

    async def stop(self) -> None:
        """Stop reporting; unreported grants expire on their coordinators."""
        await self._tasks.stop()

    async def drain(self) -> None:
        """Wait until all reports are acknowledged, for at most `DRAIN_TIMEOUT_SECONDS`.

        The next owner of a program repeats releases that an engine has not answered.
        """
        deadline_at = self._clock.monotonic() + DRAIN_TIMEOUT_SECONDS
        while self._reports.pending() and self._clock.monotonic() < deadline_at:
            self._report_event.set()
            await self._clock.sleep(RETRY_SECONDS)

    # --- grant view --------------------------------------------------------------------------

    async def acquire(self, request: GrantRequest) -> Grant | Refused:
        """Return a grant when it is issued; cancellation withdraws the request."""
        now = self._clock.monotonic()
        self._reports.drop_pause(request.program_id)
        search = _Search(request, now, now)
        while True:
            if self._clock.monotonic() >= request.deadline_at_seconds:
                detail = "no worker was granted before the deadline"
                return not_run(Reason.DEADLINE, detail, RETRY_AFTER_SECONDS)
            coordinator = self._choose(search)
            if coordinator is None:
                refused = await self._wait_for_coordinator(search)
            else:
                response = await self._request_grant(coordinator, search)
                if not isinstance(response, Refused):
                    return self._record_grant(request, response, search)
                search.refused_by.add(coordinator.member.node)
                refused = await self._after_refusal(response, search)
            if refused is not None:
                return refused

    def settle(self, grant: Grant, usage: GrantUsage) -> None:
        """End a grant and report its usage."""
        self._reports.settle(grant, usage)
        self._report_event.set()

    def pause(self, program_id: ProgramId, tool: str) -> None:
        """Report that the program has started a tool call."""
        self._reports.pause(program_id, tool)
        self._report_event.set()

    def finish(self, program_id: ProgramId) -> None:
        """Report that the program has finished, until its cache is released."""
        self._reports.finish(program_id, self._engine_workers())
        self._report_event.set()

    def mark_taken_over(self, program_id: ProgramId) -> None:
        """Record that the program may have run on any worker under an earlier owner."""
        self._reports.mark_taken_over(program_id)

    # --- requests ----------------------------------------------------------------------------

    def _choose(self, search: _Search) -> ServingCoordinator | None:
        """Return the cheapest of the coordinator with the prefix and two randomly chosen ones."""
        request = search.request
        serving = self._cache.serving(request.model)
        untried = [s for s in serving if s.member.node not in search.refused_by]
        if not untried:
            search.refused_by.clear()
        serving = untried or serving
        if len(serving) <= 1:
            return serving[0] if serving else None
        worker = self._reports.last_worker(request.program_id)
        prefix_holder = self._cache.coordinator_of(worker) if worker else None
        candidates = [
            coordinator for coordinator in serving if coordinator.member.node == prefix_holder
        ]
        candidates += [self._random_coordinator(serving), self._random_coordinator(serving)]
        return min(candidates, key=lambda s: _cost(s, request, s.member.node == prefix_holder))

    def _random_coordinator(self, serving: list[ServingCoordinator]) -> ServingCoordinator:
        return serving[int(self._clock.uniform() * len(serving))]

    async def _request_grant(
        self, coordinator: ServingCoordinator, search: _Search
    ) -> GrantGiven | Refused:
        now = self._clock.monotonic()
        sequence = self._reports.next_sequence()
        ask = ask_message(search.request, now, now - search.requested_at, sequence)
        has_response = False
        try:
            response = await self._client.acquire(coordinator.member, ask)
            has_response = (
                not isinstance(response, Refused) or response.reason is not Reason.PEER_UNREACHABLE
            )
            return response
        finally:
            if self._clock.monotonic() - now > RETRY_SECONDS:
                search.unqueued_since = self._clock.monotonic()
            if not has_response:
                self._reports.withdraw(search.request.call_id, sequence, coordinator.member.node)
                self._report_event.set()

    def _record_grant(self, request: GrantRequest, given: GrantGiven, search: _Search) -> Grant:
        grant = grant_of(given, self._clock.monotonic() - search.requested_at)
        self._reports.granted(request.program_id, grant, given.sequence)
        return grant

    async def _after_refusal(self, refused: Refused, search: _Search) -> Refused | None:
        """Return a final refusal, or None if another coordinator can be tried."""
        if refused.reason not in RETRYABLE_REASONS:
            return refused
        search.last_refusal = refused
        return await self._wait_for_coordinator(search)

    async def _wait_for_coordinator(self, search: _Search) -> Refused | None:
        """Wait before the next attempt, or return a refusal if the search has taken too long."""
        now = self._clock.monotonic()
        if now - search.unqueued_since >= COORDINATOR_TIMEOUT_SECONDS:
            detail = f"no worker for model {search.request.model} has a coordinator"
            if search.last_refusal is not None:
                detail = search.last_refusal.detail
            return not_run(Reason.BACKEND_UNAVAILABLE, detail, RETRY_AFTER_SECONDS)
        if not self._is_configured(search.request):
            return not_run(
                Reason.NOT_FOUND, f"no configured pool serves model {search.request.model}"
            )
        remaining = search.request.deadline_at_seconds - now
        await self._clock.sleep(max(0.0, min(RETRY_SECONDS, remaining)))
        return None

    def _is_configured(self, request: GrantRequest) -> bool:
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return True
        return any(request.model in pool.models for pool in snapshot.document.pools)

    def _engine_workers(self) -> list[WorkerId]:
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return []
        engines = {pool.name for pool in snapshot.document.pools if pool.kind == "engine"}
        return [WorkerId(w.name) for w in snapshot.document.workers if w.pool in engines]

    # --- reports -----------------------------------------------------------------------------

    async def _report_loop(self) -> None:
        while True:
            await self._clock.sleep(BATCH_SECONDS)
            self._report_event.clear()
            await self._report_once()
            if self._reports.pending() and not self._report_event.is_set():
                await self._clock.sleep(RETRY_SECONDS)
            else:
                await wait_for_event(self._clock, self._report_event, REPORT_INTERVAL_SECONDS)

    async def _report_once(self) -> None:
        self._reports.drop_unknown(self._known_workers(), self._directory.present())
        reports = self._reports.build(self._cache.coordinator_of)
        await asyncio.gather(*(self._deliver(report) for report in reports))

    def _known_workers(self) -> set[WorkerId]:
        """Return the configured workers, or the workers in use if no configuration is available."""
        workers = set(self._engine_workers())
        return workers or {grant.worker for grant in self._reports.held()}

    async def _deliver(self, report: Report) -> None:
        member = self._directory.member(report.coordinator)
        if member is None:
            return
        response = await self._client.report(member, report.message)
        if isinstance(response, Refused):
            return
        for call_id in self._reports.acknowledge(report, response):
            log.info("grant_void", call=call_id, steward=report.coordinator)


def _cost(coordinator: ServingCoordinator, request: GrantRequest, is_sticky: bool) -> float:
    """Return the predicted time to the first token, in seconds."""
    cached = 1.0 if is_sticky else _cached_share(coordinator, request)
    prefill = (1.0 - cached) * request.prompt_tokens * PREFILL_TOKEN_SECONDS
    return coordinator.predicted_wait_seconds + prefill


def _cached_share(coordinator: ServingCoordinator, request: GrantRequest) -> float:
    """Return the share of the prompt covered by a hot prefix of the coordinator."""
    blocks = len(request.prefix_hashes)
    for index in range(blocks - 1, -1, -1):
        if request.prefix_hashes[index] in coordinator.hot_prefixes:
            return (index + 1) / blocks
    return 0.0
