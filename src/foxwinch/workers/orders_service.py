"""Reconciles the models of all workers of a region with the configuration.

Every node runs this service; the one that holds the region's orders epoch decides. The coordinators
carry the orders out under their workers' epochs and refuse a decider that has been replaced.
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

DECIDE_SECONDS = 2.0
"""Period of comparing: reports lag by a second, and loading takes tens of seconds."""
OLDEST_REPORT_SECONDS = 5.0
"""A worker whose last report is older is left out: what it has loaded is not known."""
RETRY_SECONDS = 1.0
"""Pause before an unanswered order is sent again under its token."""
GIVE_UP_SECONDS = 300.0
"""An order that could not be delivered for so long has failed; it may be decided anew."""
UNDELIVERED = frozenset(
    {Reason.NOT_OWNER, Reason.PEER_UNREACHABLE, Reason.BACKEND_UNAVAILABLE, Reason.DRAINING}
)
"""Refusals that say nothing about the order itself."""

log = EventLog("orders")


def orders_resource(region: RegionName) -> Resource:
    """Return the resource whose holder decides on the orders of a region."""
    return Resource(f"orders/{region}", None)


class OrdersService:
    """Decides where this node holds the epoch, and delivers until answered."""

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
        """Have the orders epoch assigned among the nodes by `coordinator`."""
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
        coordinator.hold_also(self._resource)

    async def start(self) -> None:
        """Start deciding whenever this node holds the epoch."""
        self._tasks.start(self._decide_for_ever())

    async def stop(self) -> None:
        """Stop; another node takes over and asks the workers what they have."""
        await self._tasks.stop()
        await self._deliveries.stop()

    async def _decide_for_ever(self) -> None:
        while True:
            await self._follow_epoch()
            if self._reconciler is not None:
                await self._decide(self._reconciler)
            await self._clock.sleep(DECIDE_SECONDS)

    async def _follow_epoch(self) -> None:
        """Begin anew under a new epoch: what an earlier decider did is read from the workers."""
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

    async def _decide(self, reconciler: OrderReconciler) -> None:
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return
        actual = await self._actual(snapshot.document)
        orders = reconciler.advance(
            goals_of(snapshot.document),
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
        asked = (self._client.describe(member) for member in members if member is not None)
        answers = await asyncio.gather(*asked)
        pools = {WorkerId(worker.name): worker.pool for worker in document.workers}
        found: dict[WorkerId, WorkerActual] = {}
        for status in _statuses(answers):
            worker = WorkerId(status.worker)
            if worker in pools and 0 <= status.report_age_seconds <= OLDEST_REPORT_SECONDS:
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
        """Send an order under its token until it is answered or cannot be delivered."""
        deadline_at = self._clock.monotonic() + GIVE_UP_SECONDS
        succeeded = False
        while self._clock.monotonic() < deadline_at:
            answer = await self._send(order)
            if answer is None:
                succeeded = True
                self._note(order)
                break
            if answer.run_state is RunState.NOT_RUN and answer.reason not in UNDELIVERED:
                log.warning("order_refused", token=order.token, reason=answer.reason)
                break
            await self._clock.sleep(RETRY_SECONDS)
        reconciler.completed(order.token, succeeded, self._clock.monotonic())

    async def _send(self, order: Order) -> Refused | None:
        """Return None when the order was carried out."""
        node = self._directory.coordinator_of(order.worker)
        member = None if node is None else self._directory.member(node)
        if member is None:
            return Refused(Reason.NOT_OWNER, RunState.NOT_RUN, "the worker has no steward")
        message = WorkerOrder(
            token=order.token,
            orders_epoch=self._epoch or 0,
            worker=order.worker,
            kind=order.kind,
            model=order.model,
            value=order.value,
        )
        answer = await self._client.order(member, message)
        return answer if isinstance(answer, Refused) else None

    def _note(self, order: Order) -> None:
        """Remember what reports do not tell: versions and adapters."""
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


def goals_of(document: ClusterConfiguration) -> list[ModelGoal]:
    """Return what a configuration wants of each model."""
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


def _statuses(answers: Iterable[StewardedWorkers | Refused]) -> Iterable[StewardedWorker]:
    for answer in answers:
        if not isinstance(answer, Refused):
            yield from answer.workers
