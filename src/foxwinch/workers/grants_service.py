"""The owner's side of grants: finds coordinators, asks them, and reports until it is answered."""

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
from foxwinch.workers.grant_reports import GrantReports, Report
from foxwinch.workers.ports import Grant, GrantRequest, GrantUsage
from foxwinch.workers.waiting import wait_for_event

REPORT_SECONDS = 2.0
"""Held grants are confirmed this often; their lease is a multiple of it."""
GATHER_SECONDS = 0.005
"""Reports of so long go together; short beside a call, which lasts tenths of a second."""
RETRY_SECONDS = 0.2
"""Pause before an unanswered report, and before a further search for a coordinator."""
DRAIN_SECONDS = 5.0
"""A planned stop waits so long for coordinators to answer the last reports."""
NO_COORDINATOR_SECONDS = 10.0
"""A request waits at most so long for a worker to get a coordinator: about two detections of a dead
node with the takeover after them. Then it is refused, with a time to come back."""
COME_BACK_SECONDS = 2.0
"""When to ask again after no coordinator was found."""
PREFILL_TOKEN_SECONDS = 0.0002
"""Estimated time to compute one prompt token; weighs a cached prefix against a shorter queue."""
ELSEWHERE = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.FENCED,
        Reason.DRAINING,
        Reason.PEER_UNREACHABLE,
        Reason.BACKEND_UNAVAILABLE,
    }
)
"""Refusals after which another coordinator may grant; asking twice for a grant harms nothing."""

log = EventLog("grants")


@dataclass(slots=True)
class _Search:
    """One request on its way from coordinator to coordinator."""

    request: GrantRequest
    asked_at: float
    waiting_since: float
    """Since when no coordinator has kept the request in its queue."""
    last_refusal: Refused | None = None
    refused_by: set[NodeId] = field(default_factory=set)
    """Coordinators that could not grant it; the others are asked before them."""


class GrantsService:
    """Implements `foxwinch.workers.ports.GrantView` over all coordinators of the region."""

    def __init__(
        self,
        directory: CoordinatorDirectory,
        client: CoordinatorClient,
        configuration: ConfigurationView,
        clock: Clock,
    ) -> None:
        """Ask by `client` whom `directory` names."""
        self._directory = directory
        self._choices = CoordinatorCache(directory, clock)
        self._client = client
        self._configuration = configuration
        self._clock = clock
        self._reports = GrantReports()
        self._news = asyncio.Event()
        self._tasks = ServiceTasks("grants")

    async def start(self) -> None:
        """Start reporting."""
        self._tasks.start(self._report_for_ever())

    async def stop(self) -> None:
        """Stop reporting; what is untold expires at the coordinators."""
        await self._tasks.stop()

    async def drain(self) -> None:
        """Return when everything has been told, or what is left can wait.

        Releases that an engine does not answer are asked for again by the programs' next owner.
        """
        deadline_at = self._clock.monotonic() + DRAIN_SECONDS
        while self._reports.pending() and self._clock.monotonic() < deadline_at:
            self._news.set()
            await self._clock.sleep(RETRY_SECONDS)

    # --- the grant view ----------------------------------------------------------------------

    async def acquire(self, request: GrantRequest) -> Grant | Refused:
        """Wait for a grant; cancelling the wait withdraws the request."""
        now = self._clock.monotonic()
        self._reports.asked(request.program_id)
        search = _Search(request, now, now)
        while True:
            if self._clock.monotonic() >= request.deadline_at_seconds:
                detail = "no worker was granted before the deadline"
                return not_run(Reason.DEADLINE, detail, COME_BACK_SECONDS)
            coordinator = self._choose(search)
            if coordinator is None:
                refused = await self._wait_for_coordinator(search)
            else:
                answer = await self._ask(coordinator, search)
                if not isinstance(answer, Refused):
                    return self._accept(request, answer, search)
                search.refused_by.add(coordinator.member.node)
                refused = await self._after_refusal(answer, search)
            if refused is not None:
                return refused

    def settle(self, grant: Grant, usage: GrantUsage) -> None:
        """Give a grant back with what was used."""
        self._reports.settle(grant, usage)
        self._news.set()

    def pause(self, program_id: ProgramId, tool: str) -> None:
        """Tell that the program has gone into a tool call."""
        self._reports.pause(program_id, tool)
        self._news.set()

    def finish(self, program_id: ProgramId) -> None:
        """Tell that the program is over, until its engine memory is released."""
        self._reports.finish(program_id, self._engine_workers())
        self._news.set()

    def adopt(self, program_id: ProgramId) -> None:
        """Take note that the program may have run at any worker under an earlier owner."""
        self._reports.adopt(program_id)

    # --- asking ------------------------------------------------------------------------------

    def _choose(self, search: _Search) -> ServingCoordinator | None:
        """Return the cheapest of the coordinator with the prefix and two others drawn at random."""
        request = search.request
        serving = self._choices.serving(request.model)
        unasked = [s for s in serving if s.member.node not in search.refused_by]
        if not unasked:
            search.refused_by.clear()
        serving = unasked or serving
        if len(serving) <= 1:
            return serving[0] if serving else None
        worker = self._reports.last_worker(request.program_id)
        holder = self._choices.coordinator_of(worker) if worker else None
        chosen = [coordinator for coordinator in serving if coordinator.member.node == holder]
        chosen += [self._draw(serving), self._draw(serving)]
        return min(chosen, key=lambda s: _cost(s, request, s.member.node == holder))

    def _draw(self, serving: list[ServingCoordinator]) -> ServingCoordinator:
        return serving[int(self._clock.uniform() * len(serving))]

    async def _ask(self, coordinator: ServingCoordinator, search: _Search) -> GrantGiven | Refused:
        now = self._clock.monotonic()
        sequence = self._reports.next_sequence()
        ask = ask_message(search.request, now, now - search.asked_at, sequence)
        told = False
        try:
            answer = await self._client.acquire(coordinator.member, ask)
            told = not isinstance(answer, Refused) or answer.reason is not Reason.PEER_UNREACHABLE
            return answer
        finally:
            if self._clock.monotonic() - now > RETRY_SECONDS:
                search.waiting_since = self._clock.monotonic()
            if not told:
                self._reports.withdrew(search.request.call_id, sequence, coordinator.member.node)
                self._news.set()

    def _accept(self, request: GrantRequest, given: GrantGiven, search: _Search) -> Grant:
        grant = grant_of(given, self._clock.monotonic() - search.asked_at)
        self._reports.granted(request.program_id, grant, given.sequence)
        return grant

    async def _after_refusal(self, refused: Refused, search: _Search) -> Refused | None:
        """Go on elsewhere after a refusal that is about the coordinator; else return it."""
        if refused.reason not in ELSEWHERE:
            return refused
        search.last_refusal = refused
        return await self._wait_for_coordinator(search)

    async def _wait_for_coordinator(self, search: _Search) -> Refused | None:
        """Wait a little for a change; refuse when no coordinator could be asked for too long."""
        now = self._clock.monotonic()
        if now - search.waiting_since >= NO_COORDINATOR_SECONDS:
            detail = f"no worker of model {search.request.model} has a steward"
            if search.last_refusal is not None:
                detail = search.last_refusal.detail
            return not_run(Reason.BACKEND_UNAVAILABLE, detail, COME_BACK_SECONDS)
        if not self._is_configured(search.request):
            return not_run(
                Reason.NOT_FOUND, f"no pool of the configuration serves {search.request.model}"
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

    # --- reporting ---------------------------------------------------------------------------

    async def _report_for_ever(self) -> None:
        while True:
            await self._clock.sleep(GATHER_SECONDS)
            self._news.clear()
            await self._report_once()
            if self._reports.pending() and not self._news.is_set():
                await self._clock.sleep(RETRY_SECONDS)
            else:
                await wait_for_event(self._clock, self._news, REPORT_SECONDS)

    async def _report_once(self) -> None:
        self._reports.forget_gone(self._known_workers(), self._directory.present())
        reports = self._reports.build(self._choices.coordinator_of)
        await asyncio.gather(*(self._deliver(report) for report in reports))

    def _known_workers(self) -> set[WorkerId]:
        """Return the configured workers, and those in use while no configuration is at hand."""
        workers = set(self._engine_workers())
        return workers or {grant.worker for grant in self._reports.held()}

    async def _deliver(self, report: Report) -> None:
        member = self._directory.member(report.coordinator)
        if member is None:
            return
        answer = await self._client.report(member, report.message)
        if isinstance(answer, Refused):
            return
        for call_id in self._reports.answered(report, answer):
            log.info("grant_void", call=call_id, steward=report.coordinator)


def _cost(coordinator: ServingCoordinator, request: GrantRequest, is_sticky: bool) -> float:
    """Return the predicted seconds until the first token."""
    cached = 1.0 if is_sticky else _cached_share(coordinator, request)
    prefill = (1.0 - cached) * request.prompt_tokens * PREFILL_TOKEN_SECONDS
    return coordinator.predicted_wait_seconds + prefill


def _cached_share(coordinator: ServingCoordinator, request: GrantRequest) -> float:
    """Return the share of the prompt that a hot prefix of the coordinator covers."""
    blocks = len(request.prefix_hashes)
    for index in range(blocks - 1, -1, -1):
        if request.prefix_hashes[index] in coordinator.hot_prefixes:
            return (index + 1) / blocks
    return 0.0
