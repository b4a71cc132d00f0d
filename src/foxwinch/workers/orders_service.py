"""Reconciliation of the models on all workers of a region with the configuration.

Every node runs this service, and the node that holds the orders epoch of the region issues the
orders. The coordinators execute them under the epochs of their workers and reject orders of a
replaced issuer.
"""

import asyncio
from collections.abc import Iterable

from foxwinch._generated.steward_pb2 import StewardedWorker, StewardedWorkers, WorkerOrder
from foxwinch.clock import Clock
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.core.coordinator.assignment import Resource
from foxwinch.core.orders.model import ModelGoal, Order, OrderKind, WorkerActual
from foxwinch.core.orders.reconciler import OrderPolicy, OrderReconciler
from foxwinch.identifiers import Epoch, ModelName, RegionName, WorkerId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.service_tasks import ServiceTasks
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.workers.coordinator_client import CoordinatorClient
from foxwinch.workers.coordinator_directory import CoordinatorDirectory
from foxwinch.workers.coordinator_service import CoordinatorService

RECONCILE_INTERVAL_SECONDS = 2.0
"""Reconciliation period; reports lag by a second and loading takes tens of seconds."""
MAX_REPORT_AGE_SECONDS = 5.0
"""Maximum age of a report; workers with older reports are excluded as their models are unknown."""
RETRY_SECONDS = 1.0
"""Delay before an unanswered order is resent under its token."""
DELIVERY_TIMEOUT_SECONDS = 300.0
"""Delivery timeout, after which an order counts as failed and may be issued again."""
DELIVERY_FAILURES = frozenset(
    {Reason.NOT_OWNER, Reason.PEER_UNREACHABLE, Reason.BACKEND_UNAVAILABLE, Reason.DRAINING}
)
"""Refusals caused by delivery rather than by the order itself."""

log = EventLog("orders")


def orders_resource(region: RegionName) -> Resource:
    """Return the resource whose holder issues the orders of a region."""
    return Resource(f"orders/{region}", None)


class OrdersService:
    """Issues orders while this node holds the epoch, and resends them until they are answered."""

    def __init__(
        self,
        region: RegionName,
        coordinator: CoordinatorService,
        directory: CoordinatorDirectory,
        client: CoordinatorClient,
        configuration: ConfigurationView,
        clock: Clock,
        policy: OrderPolicy,
    ) -> None:
        self._resource = orders_resource(region)
        self._coordinator = coordinator
        self._directory = directory
        self._client = client
        self._configuration = configuration
        self._clock = clock
        self._policy = policy
        self._epoch: Epoch | None = None
        self._reconciler: OrderReconciler | None = None
        self._tasks = ServiceTasks("orders")
        self._deliveries = ServiceTasks("order_deliveries")
        self._versions: dict[tuple[WorkerId, ModelName], str] = {}
        self._adapters: dict[WorkerId, set[tuple[ModelName, str]]] = {}
        coordinator.add_resource(self._resource)

    async def start(self) -> None:
        """Start the reconciliation loop."""
        self._tasks.start(self._reconcile_loop())

    async def stop(self) -> None:
        """Stop issuing orders; another node takes over and reads the state of the workers."""
        await self._tasks.stop()
        await self._deliveries.stop()

    async def _reconcile_loop(self) -> None:
        while True:
            await self._update_epoch()
            if self._reconciler is not None:
                await self._reconcile(self._reconciler)
            await self._clock.sleep(RECONCILE_INTERVAL_SECONDS)

    async def _update_epoch(self) -> None:
        """Reset the state after an epoch change; earlier results are read from the workers."""
        epoch = self._coordinator.epoch_of(self._resource.name)
        if epoch == self._epoch:
            return
        await self._deliveries.stop()
        self._epoch = epoch
        self._versions.clear()
        self._adapters.clear()
        self._reconciler = None if epoch is None else OrderReconciler(epoch, self._policy)
        if epoch is not None:
            log.info("orders_epoch", epoch=epoch)

    async def _reconcile(self, reconciler: OrderReconciler) -> None:
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return
        actual = await self._actual(snapshot.document)
        orders = reconciler.advance(
            model_goals(snapshot.document),
            actual,
            self._directory.queued(),
            self._clock.monotonic(),
        )
        for order in orders:
            log.info(
                "order_given",
                token=order.token,
                worker=order.worker,
                kind=order.kind,
                model=order.model,
                value=order.value,
            )
            self._deliveries.start(self._deliver(order, reconciler))

    async def _actual(self, document: ClusterConfiguration) -> list[WorkerActual]:
        members = [self._directory.member(node) for node in sorted(self._directory.coordinators())]
        requests = (self._client.describe(member) for member in members if member is not None)
        responses = await asyncio.gather(*requests)
        pools = {WorkerId(worker.name): worker.pool for worker in document.workers}
        found: dict[WorkerId, WorkerActual] = {}
        for status in _statuses(responses):
            worker = WorkerId(status.worker)
            if worker in pools and 0 <= status.report_age_seconds <= MAX_REPORT_AGE_SECONDS:
                found[worker] = self._worker_actual(status, pools[worker])
        return list(found.values())

    def _worker_actual(self, status: StewardedWorker, pool: str) -> WorkerActual:
        worker = WorkerId(status.worker)
        models = frozenset(ModelName(model) for model in status.models)
        versions = {m: v for (w, m), v in self._versions.items() if w == worker and m in models}
        adapters = {a for a in self._adapters.get(worker, set()) if a[0] in models}
        return WorkerActual(
            worker=worker,
            pool=pool,
            load=status.running + status.waiting,
            models=models,
            versions=versions,
            adapters=frozenset(adapters),
            leaving=status.leaving,
        )

    # --- delivery ----------------------------------------------------------------------------

    async def _deliver(self, order: Order, reconciler: OrderReconciler) -> None:
        """Resend an order under its token until it is answered or the delivery times out."""
        deadline_at = self._clock.monotonic() + DELIVERY_TIMEOUT_SECONDS
        succeeded = False
        while self._clock.monotonic() < deadline_at:
            response = await self._send(order)
            if response is None:
                succeeded = True
                self._record_done(order)
                break
            if response.run_state is RunState.NOT_RUN and response.reason not in DELIVERY_FAILURES:
                log.warning("order_refused", token=order.token, reason=response.reason)
                break
            await self._clock.sleep(RETRY_SECONDS)
        reconciler.completed(order.token, succeeded, self._clock.monotonic())

    async def _send(self, order: Order) -> Refused | None:
        """Send an order, and return None if it was executed."""
        node = self._directory.coordinator_of(order.worker)
        member = None if node is None else self._directory.member(node)
        if member is None:
            return Refused(Reason.NOT_OWNER, RunState.NOT_RUN, "the worker has no coordinator")
        message = WorkerOrder(
            token=order.token,
            orders_epoch=self._epoch or 0,
            worker=order.worker,
            kind=order.kind,
            model=order.model,
            value=order.value,
        )
        response = await self._client.order(member, message)
        return response if isinstance(response, Refused) else None

    def _record_done(self, order: Order) -> None:
        """Record versions and adapters, which load reports do not contain."""
        log.info("order_done", token=order.token, worker=order.worker, kind=order.kind)
        adapters = self._adapters.setdefault(order.worker, set())
        match order.kind:
            case OrderKind.LOAD | OrderKind.SET_VERSION:
                self._versions[(order.worker, order.model)] = order.value
            case OrderKind.LOAD_ADAPTER:
                adapters.add((order.model, order.value))
            case OrderKind.UNLOAD_ADAPTER:
                adapters.discard((order.model, order.value))
            case OrderKind.UNLOAD:
                self._versions.pop((order.worker, order.model), None)


def model_goals(document: ClusterConfiguration) -> list[ModelGoal]:
    """Return the goal states of the models in a configuration."""
    return [
        ModelGoal(
            model=ModelName(model.name),
            version=model.version,
            adapters=frozenset(model.adapters),
            minimum_workers=model.minimum_workers,
            pools=frozenset(p.name for p in document.pools if model.name in p.models),
        )
        for model in document.models
    ]


def _statuses(responses: Iterable[StewardedWorkers | Refused]) -> Iterable[StewardedWorker]:
    for response in responses:
        if not isinstance(response, Refused):
            yield from response.workers
