"""One serving node: its parts, its readiness, and its planned stop."""

import asyncio

from foxwinch.clock import Clock
from foxwinch.log import EventLog
from foxwinch.records.budgets import BudgetLedger
from foxwinch.records.ports import RecordStore
from foxwinch.records.turns import TurnRecords
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempts import Dispatcher
from foxwinch.serving.handler import RequestHandler
from foxwinch.serving.messages import Caller, ServiceRequest
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import Workers
from foxwinch.serving.routing import RoutingTables

IDLE_SWEEP_SECONDS = 30.0
TAKEN_OUT_SECONDS = 3.2
"""After a stop was asked for: by then whoever sends callers here has seen that the node is not
ready, and sends no more."""
QUIET_SECONDS = 0.4
"""Without a request under way, before a stopping node ends."""
POLL_SECONDS = 0.05
log = EventLog("node")


class ServingNode:
    """The parts of one node and their life."""

    def __init__(
        self,
        *,
        zone: str,
        store: RecordStore,
        workers: Workers,
        routing: RoutingTables,
        clock: Clock,
        metrics: ServingMetrics,
        grace_seconds: float,
    ) -> None:
        """Build a node in `zone`; a stop takes at most `grace_seconds`."""
        self._clock = clock
        self._grace_seconds = grace_seconds
        self._tasks = ServiceTasks("serving")
        self.routing = routing
        self.metrics = metrics
        self.budgets = BudgetLedger(store, clock, self._tasks)
        self.turns = TurnRecords(store, clock)
        self.dispatcher = Dispatcher(routing, workers, clock, zone, metrics)
        self._handler = RequestHandler(
            routing, self.dispatcher, self.budgets, self.turns, clock, metrics
        )
        self._running = 0
        self._last_request_at = 0.0
        self.stopping = False

    @property
    def ready(self) -> bool:
        """Whether new callers should be sent here."""
        return not self.stopping and self.routing.complete

    def start(self) -> None:
        """Begin to follow the configuration and the workers."""
        self._tasks.keep(self.routing.configuration_watch.run())
        self._tasks.keep(self.routing.workers_watch.run())
        self._tasks.keep(self._sweep())

    async def handle(self, request: ServiceRequest, caller: Caller) -> None:
        """Serve one request."""
        self._running += 1
        self._last_request_at = self._clock.monotonic()
        try:
            await self._handler.handle(request, caller)
        finally:
            self._running -= 1
            self._last_request_at = self._clock.monotonic()

    async def stop(self) -> None:
        """Take no new callers, serve what is under way and what still comes, then return."""
        self.stopping = True
        began = self._clock.monotonic()
        end_at = began + self._grace_seconds
        log.info("stopping", running=self._running)
        while self._clock.monotonic() < end_at and not self._quiet(began):
            await self._clock.sleep(POLL_SECONDS)
        self.budgets.settle_now()
        while self.budgets.unsettled and self._clock.monotonic() < end_at:
            await self._clock.sleep(POLL_SECONDS)
        log.info(
            "stopped",
            running=self._running,
            unsettled=self.budgets.unsettled,
            took_ms=int(1e3 * (self._clock.monotonic() - began)),
        )
        await self._tasks.stop()

    def _quiet(self, began: float) -> bool:
        now = self._clock.monotonic()
        if self._running or now - began < TAKEN_OUT_SECONDS:
            return False
        return now - self._last_request_at >= QUIET_SECONDS

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_SECONDS)
            self.budgets.drop_idle()
