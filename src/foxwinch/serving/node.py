"""A serving node: its components, readiness and graceful shutdown."""

from collections.abc import Awaitable, Callable
from math import isfinite
from zlib import crc32

from foxwinch.clock import Clock
from foxwinch.log import EventLog
from foxwinch.records.budgets import BudgetLedger
from foxwinch.records.crash_records import CrashRecords
from foxwinch.records.node_registry import NodeRegistry
from foxwinch.records.send_records import SendRecords
from foxwinch.records.store_probe import StoreProbe
from foxwinch.records.store_state import ObservedStore
from foxwinch.records.turns import TurnRecords
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempts import Dispatcher
from foxwinch.serving.crash_detection import CrashDetector
from foxwinch.serving.crash_guard import CrashGuard
from foxwinch.serving.crash_notices import CrashNotices
from foxwinch.serving.handler import RequestHandler
from foxwinch.serving.lost_sends import LostSends
from foxwinch.serving.messages import Caller, RejectedRequest, Rejection, ServiceRequest
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import Workers
from foxwinch.serving.routing import RoutingTables
from foxwinch.serving.send_witnesses import SendWitnesses
from foxwinch.serving.stream_origins import StreamOrigins

READINESS_PROPAGATION_SECONDS = 3.2
"""Time from the start of a shutdown until load balancers have seen that the node is not ready and
send no more requests."""
ISOLATION_SECONDS = 1.0
"""Time without any response of the store after which requests should go to other nodes."""
STOPPING_RETRY_AFTER_SECONDS = 0.05
"""Retry time for requests to a closed node; it is short because another node can serve them."""
POLL_SECONDS = 0.05
log = EventLog("node")


class ServingNode:
    """The components of one node and their lifecycle."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        store: ObservedStore,
        workers: Workers,
        routing: RoutingTables,
        clock: Clock,
        metrics: ServingMetrics,
        grace_seconds: float,
    ) -> None:
        """Create node `name` in `zone`; a shutdown takes at most `grace_seconds`."""
        self._clock = clock
        self._store = store
        self._grace_seconds = grace_seconds
        self._tasks = ServiceTasks("serving")
        self.routing = routing
        self.metrics = metrics
        run_id = f"{name}/{clock.identifier()[:8]}"
        self.budgets = BudgetLedger(store, clock, self._tasks, run_id)
        self.turns = TurnRecords(store, clock)
        self.crash_records = CrashRecords(store, clock, self._tasks)
        run = crc32(run_id.encode())
        self.registry = NodeRegistry(store, clock, name, zone, run)
        self.notices = CrashNotices(self.registry, clock)
        lost_sends = LostSends(
            self.crash_records,
            CrashDetector(routing, workers, clock, metrics),
            self.notices,
            routing,
            store,
            clock,
            metrics,
            self._tasks,
            run_id,
        )
        self.witnesses = SendWitnesses(
            self.notices,
            self.registry,
            self.crash_records,
            lost_sends,
            SendRecords(store, clock, self._tasks),
            clock,
            self._tasks,
            run,
        )
        guard = CrashGuard(
            self.crash_records, lost_sends, self.witnesses, routing, clock, metrics, self._tasks
        )
        self.dispatcher = Dispatcher(routing, workers, clock, zone, metrics, guard)
        origins = StreamOrigins(store, routing, clock, metrics, self._tasks)
        self._handler = RequestHandler(
            routing, self.dispatcher, self.budgets, self.turns, origins, clock, metrics
        )
        self._running = 0
        self._closed = False
        self.stopping = False

    @property
    def ready(self) -> bool:
        """Whether the node should receive new requests."""
        knows_crashes = isfinite(self.crash_records.watch.age_seconds())
        knows_nodes = self.registry.is_registered or not self.registry.address
        is_informed = self.routing.is_complete and knows_crashes and knows_nodes
        return not self.stopping and not self.is_isolated and is_informed

    @property
    def is_isolated(self) -> bool:
        """Whether the store has been unreachable for more than `ISOLATION_SECONDS`.

        Other nodes may then serve requests better. When the store is down for all nodes, all are
        isolated and requests go to all of them.
        """
        return self._store.unavailable_seconds() > ISOLATION_SECONDS

    def start(self, notices_address: str | None = None) -> None:
        """Start the watches; other nodes send notices to `notices_address`, if given."""
        self._tasks.start(self.routing.configuration_watch.run())
        self._tasks.start(self.routing.workers_watch.run())
        self._tasks.start(self.crash_records.watch.run())
        self._tasks.start(self.crash_records.run_cleanup())
        if notices_address is not None:
            self._tasks.start(self.registry.watch.run())
            self._tasks.start(self.registry.run(notices_address))
            self._tasks.start(self.notices.ask_for_unstored())
            self._tasks.start(self.witnesses.take_over())
        table = self.routing.configuration_watch.table
        self._tasks.start(StoreProbe(self._store, self._clock, table).run())

    async def handle(self, request: ServiceRequest, caller: Caller) -> None:
        """Serve one request."""
        if self._closed:
            rejected = RejectedRequest(Rejection.NOT_RUN, "stopping", STOPPING_RETRY_AFTER_SECONDS)
            await caller.reject(rejected)
            log.info("request_refused", request=request.request_id, reason=rejected.reason)
            return
        self._running += 1
        try:
            await self._handler.handle(request, caller)
        finally:
            self._running -= 1

    async def stop(self, close: Callable[[], Awaitable[None]]) -> None:
        """Drain the node: report it as not ready, finish the requests in flight and return leases.

        `close` must stop listening; it is called once load balancers should have stopped sending
        requests. Requests that arrive before are served.
        """
        self.stopping = True
        started_at = self._clock.monotonic()
        deadline_at = started_at + self._grace_seconds
        log.info("stopping", running=self._running)
        await self._clock.sleep(min(READINESS_PROPAGATION_SECONDS, self._grace_seconds / 2))
        await close()
        self._closed = True
        while self._clock.monotonic() < deadline_at and self._running:
            await self._clock.sleep(POLL_SECONDS)
        self.budgets.release_all()
        while self.budgets.programs and self._clock.monotonic() < deadline_at:
            await self._clock.sleep(POLL_SECONDS)
        await self.registry.unregister()
        log.info(
            "stopped",
            running=self._running,
            programs_owing=self.budgets.programs,
            took_ms=int(1e3 * (self._clock.monotonic() - started_at)),
        )

    async def close(self) -> None:
        """Cancel all background tasks; also needed after `start` without `stop`."""
        self.notices.close()
        await self._tasks.stop()
