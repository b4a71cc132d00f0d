"""Detection of workers that have ended, after a send to them got no response.

That may be the worker's end, or a cut connection, a slow worker or a caller that left while the
worker lives on. A health check on a new connection tells most of them apart, the worker list the
others, some seconds later.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from foxwinch.clock import Clock
from foxwinch.core.routing.directory import RESTORE_SECONDS, Worker
from foxwinch.log import EventLog, age_ms
from foxwinch.serving.messages import ProbeResult
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import RoutingView, Workers

PROBE_SECONDS = 0.15
"""Timeout of a probe: many round trips between zones. The failed call's caller waits for it."""
PROBES = 2
"""Number of probes until one tells. After a pause of this process, the first one is timed out."""
DEFAULT_HEALTH_PATH = "/"
EXPIRY_MARGIN_SECONDS = 1.0
"""Time by which the store may remove an expired entry late, and by which its nodes notice it."""
RESOLVE_SECONDS = 120.0
"""Time for which a lost send is watched; during an outage the worker list does not tell."""
CHECK_INTERVAL_SECONDS = 0.3
RUNNING_CHECK_INTERVAL_SECONDS = 1.0
"""Interval of health checks while a worker may still run the request, as none then proves life."""
POLL_SECONDS = 0.25
FIRST_POLL_SECONDS = 0.02
"""Poll interval of the first quarter of a second; a worker that restarts at once is listed then."""
log = EventLog("crashes")


@dataclass(frozen=True, slots=True)
class LostSend:
    """A send without a response, whose worker may have ended under it.

    Times are monotonic but for the one that identifies the send, which is on the store's clock.
    """

    worker: Worker
    fingerprint: str
    request_id: str
    sent_ms: int
    lost_at: float
    ends_at: float
    """Time from which on the worker does not run the request any more."""
    suspected: bool
    """Whether a crash or a doubt was known of the request when it was sent, or its program tells
    that all sends are repetitions of one caller."""
    checked_at: float = float("-inf")
    """Time of the last health check."""


class CrashDetector:
    """Checks whether workers still run; concurrent checks of one worker share a probe."""

    def __init__(
        self, routing: RoutingView, workers: Workers, clock: Clock, metrics: ServingMetrics
    ) -> None:
        """Probe through `workers`."""
        self._routing = routing
        self._workers = workers
        self._clock = clock
        self._metrics = metrics
        self._probes: dict[str, asyncio.Task[ProbeResult]] = {}
        """Running probes by worker incarnation."""

    async def check(self, worker: Worker, request_id: str, fingerprint: str) -> ProbeResult:
        """Return whether a worker still runs that lost the call of a request."""
        started_at = self._clock.monotonic()
        probe = self._probes.get(worker.incarnation)
        is_shared = probe is not None
        if probe is None:
            probe = asyncio.ensure_future(self._probe(worker))
            self._probes[worker.incarnation] = probe
            probe.add_done_callback(lambda _: self._probes.pop(worker.incarnation, None))
        result = await asyncio.shield(probe)
        log.info(
            "worker_checked",
            request=request_id,
            fingerprint=fingerprint,
            worker=worker.worker_id,
            started_ms=worker.started_ms,
            result=result.value,
            shared=is_shared,
            list_age_ms=age_ms(self._routing.workers_age_seconds()),
            took_ms=int(1e3 * (self._clock.monotonic() - started_at)),
        )
        return result

    async def resolve(
        self, lost: LostSend, is_open: Callable[[], bool], is_needed: Callable[[], bool]
    ) -> ProbeResult:
        """Return whether a worker lived at the end of a lost send, or has ended, once it is known.

        The worker list costs no call and tells within seconds. A health check is made once the
        worker no longer runs the request, and others while `is_needed()` is true. Return `UNKNOWN`
        if nothing tells within `RESOLVE_SECONDS`, or once `is_open()` is false.
        """
        give_up_at = max(lost.lost_at, lost.ends_at) + RESOLVE_SECONDS
        unlisted_since: float | None = None
        checked_at = lost.checked_at
        while (now := self._clock.monotonic()) < give_up_at and is_open():
            listed = self._routing.directory.listed_incarnation(lost.worker.worker_id)
            if listed is not None and listed != lost.worker.incarnation:
                return ProbeResult.ENDED
            if self._is_listed_as_living(lost, listed):
                return ProbeResult.LIVING
            unlisted_since = None if listed is not None else unlisted_since or now
            is_unlisted = unlisted_since is not None and now - unlisted_since > RESTORE_SECONDS
            is_first_proof = checked_at < lost.ends_at <= now
            is_over = now >= lost.ends_at
            interval = CHECK_INTERVAL_SECONDS if is_over else RUNNING_CHECK_INTERVAL_SECONDS
            is_due = now - checked_at >= interval
            if ((is_needed() or is_unlisted) and is_due) or is_first_proof:
                checked_at = now
                result = await self.check(lost.worker, lost.request_id, lost.fingerprint)
                if result is ProbeResult.ENDED:
                    return result
                if self.proves_life(lost, result, now):
                    return ProbeResult.LIVING
                if result is ProbeResult.UNKNOWN and is_unlisted:
                    return ProbeResult.ENDED
            await self._clock.sleep(_poll_seconds(lost, now))
        return ProbeResult.UNKNOWN

    def proves_life(self, lost: LostSend, result: ProbeResult, checked_at: float) -> bool:
        """Return whether a health check that began at `checked_at` proves that the worker lived.

        A worker that reports its starts may be back under its id. Its successor is listed within
        half of the time in which entries expire.
        """
        if checked_at < lost.ends_at:
            return False
        if result is ProbeResult.LIVING:
            return True
        if result is not ProbeResult.RUNNING:
            return False
        if lost.worker.started_ms is None:
            return True
        listed = self._routing.directory.listed_incarnation(lost.worker.worker_id)
        listed_by = self._watched_from(lost) + 0.5 * self._routing.expiry_seconds
        return listed == lost.worker.incarnation and self._listed_at() >= listed_by

    def _is_listed_as_living(self, lost: LostSend, listed: str | None) -> bool:
        """Return whether the entry has stayed for longer than that of an ended worker."""
        expired_by = self._watched_from(lost) + self._routing.expiry_seconds
        is_later = self._listed_at() >= expired_by + EXPIRY_MARGIN_SECONDS
        return listed == lost.worker.incarnation and is_later

    def _watched_from(self, lost: LostSend) -> float:
        """Return the time after a lost send from which on the list is watched without a gap.

        While the store is away, entries may neither expire nor be written.
        """
        return max(lost.lost_at, lost.ends_at, self._routing.workers_watched_since())

    def _listed_at(self) -> float:
        """Return the time as of which the worker list is known."""
        return self._clock.monotonic() - self._routing.workers_age_seconds()

    async def _probe(self, worker: Worker) -> ProbeResult:
        configuration = self._routing.configuration
        service = configuration.services.get(worker.service) if configuration else None
        health_path = service.health_path if service else DEFAULT_HEALTH_PATH
        result = ProbeResult.UNKNOWN
        for _ in range(PROBES):
            result = await self._workers.probe(worker, health_path, PROBE_SECONDS)
            if result is not ProbeResult.UNKNOWN:
                break
        self._metrics.worker_probes.labels(result.value).inc()
        return result


def _poll_seconds(lost: LostSend, now: float) -> float:
    """Return the time until the next look at a lost send; the first one is at its end."""
    if now - lost.lost_at < POLL_SECONDS:
        return FIRST_POLL_SECONDS
    if now < lost.ends_at:
        return min(POLL_SECONDS, max(FIRST_POLL_SECONDS, lost.ends_at - now))
    return POLL_SECONDS
