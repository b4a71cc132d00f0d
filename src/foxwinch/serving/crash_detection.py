"""Detection of workers that have ended, after a send to them got no response.

That may be the worker's end, or a cut connection, a slow worker or a caller that left while the
worker lives on. A health check on a new connection tells most ends, the worker list the others,
some seconds later.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from foxwinch.clock import Clock
from foxwinch.core.records.crash_history import SendKey
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
WATCH_SECONDS = 120.0
"""Time for which a lost send is watched; during an outage the worker list does not tell."""
CHECK_INTERVAL_SECONDS = 0.3
MAX_CHECK_INTERVAL_SECONDS = 5.0
"""Maximum of that interval, which doubles each time."""
POLL_SECONDS = 0.25
FIRST_POLL_SECONDS = 0.02
"""Poll interval of the first quarter of a second; a worker that restarts at once is listed then."""
log = EventLog("crashes")


@dataclass(frozen=True, slots=True)
class LostSend:
    """A send without a response, whose worker may have ended under it.

    Times are monotonic but for the one in the key, which is on the store's clock.
    """

    worker: Worker
    fingerprint: str
    request_id: str
    send: SendKey
    lost_at: float
    deadline_at: float
    """Deadline of the request."""
    suspected: bool
    """Whether a crash or a doubt was known of the request when it was sent, or its program tells
    that all sends are repetitions of one caller."""


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

    async def wait_for_end(
        self, lost: LostSend, is_open: Callable[[], bool], is_needed: Callable[[], bool]
    ) -> bool:
        """Return whether the worker of a lost send has ended, once that is known.

        A worker that lives may still run the request, so nothing else ends the wait but
        `WATCH_SECONDS`, or that `is_open()` is false. The worker list costs no call and tells
        within seconds. Health checks are made while `is_needed()` is true.
        """
        give_up_at = lost.lost_at + WATCH_SECONDS
        unlisted_since: float | None = None
        checked_at, interval = self._clock.monotonic(), CHECK_INTERVAL_SECONDS
        while (now := self._clock.monotonic()) < give_up_at and is_open():
            listed = self._routing.directory.listed_incarnation(lost.worker.worker_id)
            if listed is not None and listed != lost.worker.incarnation:
                return True
            unlisted_since = None if listed is not None else unlisted_since or now
            is_unlisted = unlisted_since is not None and now - unlisted_since > RESTORE_SECONDS
            if (is_needed() or is_unlisted) and now - checked_at >= interval:
                checked_at, interval = now, min(MAX_CHECK_INTERVAL_SECONDS, 2 * interval)
                result = await self.check(lost.worker, lost.request_id, lost.fingerprint)
                if result is ProbeResult.ENDED:
                    return True
                if result is ProbeResult.UNKNOWN and is_unlisted:
                    return True
            await self._clock.sleep(_poll_seconds(lost, now))
        return False

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
    """Return the time until the next look at the worker of a lost send."""
    return FIRST_POLL_SECONDS if now - lost.lost_at < POLL_SECONDS else POLL_SECONDS
