"""Detection of workers that have ended, after a connection to them was lost.

A lost connection may be the worker's end, or a reset of this one connection while the worker lives
on. A health check on a new connection tells them apart.
"""

import asyncio

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
CONFIRM_SECONDS = 6.0
"""Time in which the worker list shows a worker's end: the expiry of its entry, and
`RESTORE_SECONDS`."""
CONFIRM_POLL_SECONDS = 0.25
FIRST_CONFIRM_POLL_SECONDS = 0.02
"""Poll interval of the first quarter of a second; a worker that restarts at once is listed then."""
log = EventLog("crashes")


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

    async def has_ended_later(self, worker: Worker, result: ProbeResult) -> bool:
        """Return whether the worker list shows within `CONFIRM_SECONDS` that a worker has ended.

        It has if it is listed with another start. A removed entry alone does not tell, as workers
        may serve on without one and entries expire while the store is down, unless the probe got no
        response either.
        """
        started_at = self._clock.monotonic()
        confirm_until = started_at + CONFIRM_SECONDS
        unlisted_since: float | None = None
        while (now := self._clock.monotonic()) < confirm_until:
            listed = self._routing.directory.listed_incarnation(worker.worker_id)
            if listed is not None and listed != worker.incarnation:
                return True
            if listed is not None:
                unlisted_since = None
            elif unlisted_since is None:
                unlisted_since = now
            elif result is ProbeResult.UNKNOWN and now - unlisted_since > RESTORE_SECONDS:
                return True
            is_first = now - started_at < CONFIRM_POLL_SECONDS
            await self._clock.sleep(
                FIRST_CONFIRM_POLL_SECONDS if is_first else CONFIRM_POLL_SECONDS
            )
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
