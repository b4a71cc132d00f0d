"""Polling of one worker by its coordinator: load reports and cache events."""

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
from foxwinch.workers.event_wait import wait_for_event

POLL_INTERVAL_SECONDS = 1.0
"""Polling period for load and cache events. Engine reports lag by about as much, and a worker that
reports leaving must be detected within 3 s."""
POLL_TIMEOUT_SECONDS = 1.0
"""Timeout of a poll."""
UNREACHABLE_SECONDS = 4.0
"""Time without a response after which a worker counts as unreachable and its slots are dropped."""

log = EventLog("worker")


@dataclass(frozen=True, slots=True)
class WorkerLinkEvents:
    """Callbacks of a worker link."""

    reported: Callable[[WorkerId, LoadReport], None]
    cache_changed: Callable[[CacheChanged], None]
    unreachable: Callable[[WorkerId], None]
    """Called when the worker is unreachable; `reported` follows when it is reachable again."""


class WorkerLink:
    """Polls one worker while this node is its coordinator."""

    def __init__(
        self, worker: WorkerId, engine: EnginePort, clock: Clock, events: WorkerLinkEvents
    ) -> None:
        self.worker = worker
        self.report: LoadReport | None = None
        self.reported_at: float | None = None
        self._engine = engine
        self._clock = clock
        self._events = events
        self._cache_sequence = 0
        self._wake_event = asyncio.Event()
        self._tasks = ServiceTasks("worker_link")

    def start(self) -> None:
        """Start polling."""
        self._tasks.start(self._poll_loop())

    def poll_now(self) -> None:
        """Poll immediately, for example after the worker has refused a call."""
        self._wake_event.set()

    def resync_cache(self) -> None:
        """Read the complete list of cached blocks in an immediate poll."""
        self._cache_sequence = 0
        self._wake_event.set()

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.stop()

    async def _poll_loop(self) -> None:
        last_answer_at = self._clock.monotonic()
        unreachable = False
        while True:
            self._wake_event.clear()
            report = await self._read_load()
            now = self._clock.monotonic()
            if not isinstance(report, Refused):
                self.report, self.reported_at = report, now
                last_answer_at, unreachable = now, False
                self._events.reported(self.worker, report)
                await self._read_cache()
            elif not unreachable and now - last_answer_at >= UNREACHABLE_SECONDS:
                unreachable = True
                log.warning("worker_gone", worker=self.worker, reason=report.reason)
                self._cache_sequence = 0
                self._events.unreachable(self.worker)
            await wait_for_event(self._clock, self._wake_event, POLL_INTERVAL_SECONDS)

    async def _read_load(self) -> LoadReport | Refused:
        try:
            async with asyncio.timeout(POLL_TIMEOUT_SECONDS):
                return await self._engine.load(self.worker)
        except TimeoutError:
            return outcome_unknown(
                Reason.BACKEND_UNAVAILABLE, "the worker did not respond to the load request in time"
            )

    async def _read_cache(self) -> None:
        after = self._cache_sequence
        try:
            async with asyncio.timeout(POLL_TIMEOUT_SECONDS):
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
