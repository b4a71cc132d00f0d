"""Recording of the origins of streams, and resolution of the origin of a resumed stream.

A caller whose connection broke resumes its stream at any node. The node that began the stream may
have been killed, so it stores the origin before it forwards the first event, by the fingerprint
that all repetitions of the request share. A stream whose origin is not known is not resumed: a
guess could join the output of two software versions. Neither is one of several that began at
different versions, if the caller does not say which.
"""

import asyncio
from collections.abc import Iterable

from cachetools import LRUCache

from foxwinch.clock import Clock
from foxwinch.core.routing.directory import EVICT_WORKERS_SECONDS
from foxwinch.core.routing.stream_origin import StreamOrigin, origin_of
from foxwinch.log import EventLog, age_ms
from foxwinch.outcomes import Refused
from foxwinch.records.store_state import ObservedStore
from foxwinch.records.stream_origins import BegunStream, StreamOriginRecords
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempt_state import AcceptedCall, Attempts
from foxwinch.serving.messages import RejectedRequest, Rejection, ServiceRequest
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import RoutingView

RECORD_WAIT_TARGETS = 0.2
"""Maximum delay of the first event by its record, in multiples of the route's target time. A
response with a later first event counts as late."""
RECORD_SECONDS = 0.8
"""Time after which the attempt to store an origin ends; most streams have ended by then."""
UNKNOWN_ORIGIN_RETRY_AFTER_SECONDS = 0.3
"""Retry time for a stream of unknown origin; the record of a slow store may still arrive."""
MAX_RECENT_ORIGINS = 4_096
"""Number of origins of this node's streams that are kept in memory."""
log = EventLog("stream_origins")


class StreamOrigins:
    """Records origins of begun streams and resolves origins of resumed ones."""

    def __init__(
        self,
        store: ObservedStore,
        routing: RoutingView,
        clock: Clock,
        metrics: ServingMetrics,
        tasks: ServiceTasks,
    ) -> None:
        """Track the origins in `store`; writes run as `tasks`."""
        self._store = store
        self._records = StreamOriginRecords(store, clock)
        self._routing = routing
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._recent: LRUCache[str, StreamOrigin] = LRUCache(MAX_RECENT_ORIGINS)
        """Origins of streams that this node began, by request id."""
        self._writing: dict[str, asyncio.Task[None]] = {}
        """Running writes of origins, by request id."""

    def record_expected(self, attempts: Attempts) -> None:
        """Bind a new stream to the only version of its service and start to record it.

        The record is then usually committed when the first event arrives. If several versions
        serve, the stream is bound to the one of the worker that accepts it.
        """
        if not attempts.route.resumable:
            return
        expected = self._only_origin(attempts.services)
        if expected is not None:
            self._start_recording(attempts, expected)

    async def wait_until_recorded(self, attempts: Attempts, accepted: AcceptedCall) -> None:
        """Record the origin of a stream before its first event is forwarded.

        A slow store delays the event only briefly; until its write is committed, only this node can
        resume the stream.
        """
        if attempts.origin is None:
            self._start_recording(attempts, origin_of(accepted.worker))
        request_id = attempts.request.request_id
        writing = self._writing.get(request_id)
        started_at = self._clock.monotonic()
        if writing is not None and not writing.done():
            is_degraded = self._store.is_degraded()
            wait_seconds = RECORD_WAIT_TARGETS * attempts.route.latency_target_seconds
            await asyncio.wait([writing], timeout=0.0 if is_degraded else wait_seconds)
        log.info(
            "stream_began",
            request=request_id,
            worker=accepted.worker.worker_id,
            software=accepted.worker.software_version,
            origin_pending=request_id in self._writing,
            waited_ms=int(1e3 * (self._clock.monotonic() - started_at)),
        )

    async def resolve(
        self, attempts: Attempts, deadline_at: float
    ) -> StreamOrigin | RejectedRequest:
        """Return the origin of the stream that a request resumes, or why it is not resumed."""
        request = attempts.request
        resumed = request.resumed_request
        if resumed is not None and resumed in self._recent:
            return self._resolved(request, "memory", self._recent[resumed])
        found = await self._records.find(attempts.fingerprint, deadline_at)
        if isinstance(found, Refused):
            self._log_resolution(request, "store", None, found.detail)
            return RejectedRequest(
                Rejection.NOT_RUN, "stream_origin_unavailable", found.retry_after_seconds
            )
        if resumed is not None or found:
            return self._resolved(request, "store", _origin_among(found, resumed))
        origin = await self._only_recent_origin(attempts.services)
        return self._resolved(request, "workers", origin)

    def _resolved(
        self, request: ServiceRequest, source: str, origin: StreamOrigin | None
    ) -> StreamOrigin | RejectedRequest:
        self._log_resolution(request, source, origin, None)
        if origin is None:
            return RejectedRequest(
                Rejection.NOT_RUN, "stream_origin_unknown", UNKNOWN_ORIGIN_RETRY_AFTER_SECONDS
            )
        return origin

    def _start_recording(self, attempts: Attempts, origin: StreamOrigin) -> None:
        request_id = attempts.request.request_id
        attempts.origin = origin
        if attempts.route.resumable:
            self._recent[request_id] = origin
            stream = BegunStream(request_id, origin)
            writing = self._tasks.start(self._write(attempts.fingerprint, stream))
            self._writing[request_id] = writing
            writing.add_done_callback(lambda _: self._writing.pop(request_id, None))

    async def _write(self, fingerprint: str, stream: BegunStream) -> None:
        deadline_at = self._clock.monotonic() + RECORD_SECONDS
        refused = await self._records.write(fingerprint, stream, deadline_at)
        self._metrics.stream_origins.labels("unstored" if refused else "stored").inc()
        if refused is not None:
            log.warning(
                "stream_origin_not_stored",
                request=stream.request_id,
                reason=refused.reason.value,
                detail=refused.detail,
            )

    def _only_origin(self, services: list[str]) -> StreamOrigin | None:
        """Return the only origin of all known workers of the services, if there is only one."""
        origins = {
            origin_of(worker)
            for worker in self._routing.directory.known_workers()
            if worker.service in services
        }
        return origins.pop() if len(origins) == 1 else None

    async def _only_recent_origin(self, services: list[str]) -> StreamOrigin | None:
        """Return the only origin of all workers that may have begun a running stream.

        A node that has just started does not know the workers that have left before. A list of any
        age lacks workers that have joined since, so it is confirmed first.
        """
        knows_left = self._routing.workers_known_seconds() >= EVICT_WORKERS_SECONDS
        if not knows_left or self._only_origin(services) is None:
            return None
        is_current = await self._routing.confirm_workers()
        return self._only_origin(services) if is_current else None

    def _log_resolution(
        self, request: ServiceRequest, source: str, origin: StreamOrigin | None, detail: str | None
    ) -> None:
        self._metrics.stream_origins.labels("resolved" if origin else "unknown").inc()
        log.info(
            "stream_origin_resolved" if origin else "stream_origin_unknown",
            request=request.request_id,
            resumes=request.resumed_request,
            last_event=request.last_event_id,
            source=source,
            service=origin.service if origin else None,
            software=origin.software_version if origin else None,
            list_known_ms=age_ms(self._routing.workers_known_seconds()),
            list_age_ms=age_ms(self._routing.workers_age_seconds()),
            detail=detail,
        )


def _origin_among(streams: Iterable[BegunStream], resumed: str | None) -> StreamOrigin | None:
    """Return the origin of the resumed one of a request's streams, if there is only one."""
    origins = {stream.origin for stream in streams if resumed in (None, stream.request_id)}
    return origins.pop() if len(origins) == 1 else None
