"""Detection of workers that have ended, after a connection to them was lost.

A lost connection may be the worker's end, or a reset of this one connection while the worker lives
on. A health check on a new connection tells them apart.
"""

import asyncio

from foxwinch.clock import Clock
from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog, age_ms
from foxwinch.serving.messages import ProbeResult
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import RoutingView, Workers

PROBE_SECONDS = 0.1
"""Timeout of a check: many round trips between zones. The failed call's caller waits for it."""
DEFAULT_HEALTH_PATH = "/"
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

    async def _probe(self, worker: Worker) -> ProbeResult:
        configuration = self._routing.configuration
        service = configuration.services.get(worker.service) if configuration else None
        health_path = service.health_path if service else DEFAULT_HEALTH_PATH
        result = await self._workers.probe(worker, health_path, PROBE_SECONDS)
        self._metrics.worker_probes.labels(result.value).inc()
        return result
