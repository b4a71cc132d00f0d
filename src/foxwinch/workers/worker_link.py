"""What a coordinator reads from one worker: its lagging load and its late, gapped cache events."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from foxwinch.backends.ports import CacheEventPage, EnginePort, LoadReport
from foxwinch.clock import Clock
from foxwinch.core.coordinator.events import BlockChange, CacheChanged
from foxwinch.identifiers import WorkerId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, outcome_unknown
from foxwinch.service_tasks import ServiceTasks
from foxwinch.workers.waiting import wait_for_event

POLL_SECONDS = 1.0
"""Period of reading load and cache events: an engine's report lags by about as much, and a
worker that says it is leaving must be heard within 3 s."""
ANSWER_SECONDS = 1.0
"""A poll without an answer for so long has failed."""
GONE_SECONDS = 4.0
"""Without an answer for so long a worker counts as gone: its places are void."""

log = EventLog("worker")


@dataclass(frozen=True, slots=True)
class WorkerLinkEvents:
    """What the coordinator is told."""

    reported: Callable[[WorkerId, LoadReport], None]
    cache_changed: Callable[[CacheChanged], None]
    gone: Callable[[WorkerId], None]
    """Not reachable for too long; `reported` follows when it is back."""


class WorkerLink:
    """Polls one worker while this node is its coordinator."""

    def __init__(
        self, worker: WorkerId, engine: EnginePort, clock: Clock, events: WorkerLinkEvents
    ) -> None:
        """Start nothing yet."""
        self.worker = worker
        self.report: LoadReport | None = None
        self.reported_at: float | None = None
        self._engine = engine
        self._clock = clock
        self._events = events
        self._cache_sequence = 0
        self._wake = asyncio.Event()
        self._tasks = ServiceTasks("worker_link")

    def start(self) -> None:
        """Start polling."""
        self._tasks.start(self._poll_for_ever())

    def poll_now(self) -> None:
        """Read without waiting for the period: the worker has refused something."""
        self._wake.set()

    def resync_cache(self) -> None:
        """Read the whole list of cached blocks with the next poll."""
        self._cache_sequence = 0
        self._wake.set()

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.stop()

    async def _poll_for_ever(self) -> None:
        silent_since = self._clock.monotonic()
        gone = False
        while True:
            self._wake.clear()
            report = await self._read_load()
            now = self._clock.monotonic()
            if not isinstance(report, Refused):
                self.report, self.reported_at = report, now
                silent_since, gone = now, False
                self._events.reported(self.worker, report)
                await self._read_cache()
            elif not gone and now - silent_since >= GONE_SECONDS:
                gone = True
                log.warning("worker_gone", worker=self.worker, reason=report.reason)
                self._cache_sequence = 0
                self._events.gone(self.worker)
            await wait_for_event(self._clock, self._wake, POLL_SECONDS)

    async def _read_load(self) -> LoadReport | Refused:
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await self._engine.load(self.worker)
        except TimeoutError:
            return outcome_unknown(Reason.BACKEND_UNAVAILABLE, "the worker did not answer in time")

    async def _read_cache(self) -> None:
        after = self._cache_sequence
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                page = await self._engine.cache_events(self.worker, after)
        except TimeoutError:
            return
        if isinstance(page, Refused) or after != self._cache_sequence:
            return
        self._cache_sequence = page.next_sequence
        if page.events or page.gap:
            self._events.cache_changed(_changes(self.worker, page))


def _changes(worker: WorkerId, page: CacheEventPage) -> CacheChanged:
    changes = tuple(BlockChange(event.kind, event.block_hashes) for event in page.events)
    return CacheChanged(worker, changes, page.gap)
