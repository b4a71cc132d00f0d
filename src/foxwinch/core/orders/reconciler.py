"""Incremental reconciliation of the actual state of models with their goal state.

Three rules limit the orders. At most `loads_in_flight` orders read from the weight store at a time,
and they start at least `load_interval_seconds` apart. An order that interrupts serving is issued
only if enough other workers keep serving the model to meet its minimum. A difference must persist
for `stable_seconds` before it causes an order, because reports lag; loads of a model below its
minimum are exempt, because a delay would only prolong the shortage.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from foxwinch.core.orders.model import (
    INTERRUPTS_SERVING,
    READS_WEIGHTS,
    ModelGoal,
    Order,
    OrderKind,
    WorkerActual,
)
from foxwinch.identifiers import Epoch, ModelName, WorkerId

FAILURE_BACKOFF_SECONDS = 10.0
"""Delay before a failed order may be issued again."""


@dataclass(frozen=True, slots=True)
class OrderPolicy:
    """Limits on orders."""

    loads_in_flight: int = 2
    load_interval_seconds: float = 1.0
    stable_seconds: float = 5.0
    """Time a difference must persist, which exceeds two load report periods including lag."""
    pressure_waiting: int = 8
    """Waiting calls per serving worker above which a model gets an additional worker."""


@dataclass(frozen=True, slots=True)
class _Change:
    worker: WorkerId
    kind: OrderKind
    model: ModelName
    value: str = ""


@dataclass(frozen=True, slots=True)
class _View:
    goals: Mapping[ModelName, ModelGoal]
    workers: Sequence[WorkerActual]
    """Workers that are not leaving, the least loaded first."""
    waiting: Mapping[ModelName, int]


class OrderReconciler:
    """Issues the orders of a region; it runs on one node at a time, under an epoch."""

    def __init__(self, epoch: Epoch, policy: OrderPolicy) -> None:
        self._epoch = epoch
        self._policy = policy
        self._sequence = 0
        self._in_flight: dict[str, Order] = {}
        self._first_seen: dict[_Change, float] = {}
        self._not_before: dict[_Change, float] = {}
        self._next_load_at = float("-inf")

    def in_flight(self) -> tuple[Order, ...]:
        """Return the unanswered orders, which the driver resends until they are answered."""
        return tuple(self._in_flight.values())

    def advance(
        self,
        goals: Iterable[ModelGoal],
        workers: Iterable[WorkerActual],
        waiting: Mapping[ModelName, int],
        now: float,
    ) -> list[Order]:
        """Return the new orders; `waiting` is the number of waiting calls by model."""
        available = sorted(
            (w for w in workers if not w.leaving), key=lambda worker: (worker.load, worker.worker)
        )
        view = _View({goal.model: goal for goal in goals}, available, waiting)
        changes = self._required_changes(view)
        self._first_seen = {change: self._first_seen.get(change, now) for change in changes}
        orders: list[Order] = []
        for change in changes:
            if self._is_allowed(change, view, now):
                orders.append(self._issue(change, now))
        return orders

    def completed(self, token: str, succeeded: bool, now: float) -> Order | None:
        """Handle the result of an order and return the order, or None if it is not in flight."""
        order = self._in_flight.pop(token, None)
        if order is not None:
            change = _Change(order.worker, order.kind, order.model, order.value)
            delay = self._policy.stable_seconds if succeeded else FAILURE_BACKOFF_SECONDS
            self._not_before[change] = now + delay
        return order

    def serving(self, model: ModelName, workers: Iterable[WorkerActual]) -> int:
        """Return how many workers serve a model and are neither interrupted nor leaving."""
        interrupted = {
            order.worker
            for order in self._in_flight.values()
            if order.model == model and order.kind in INTERRUPTS_SERVING
        }
        return sum(
            model in w.models and not w.leaving and w.worker not in interrupted for w in workers
        )

    def _required_changes(self, view: _View) -> list[_Change]:
        """Return the required changes, ordered by kind urgency and then by worker load."""
        changes = self._loads_for_minimum(view)
        changes += self._loads_for_idle_workers(view)
        changes += self._loads_for_overload(view)
        for worker in view.workers:
            changes += self._setting_changes(worker, view)
        for worker in view.workers:
            changes += self._unloads(worker, view)
        return list(dict.fromkeys(changes))

    def _loads_for_minimum(self, view: _View) -> list[_Change]:
        changes: list[_Change] = []
        for goal in sorted(view.goals.values(), key=lambda g: g.model):
            missing = goal.minimum_workers - self._workers_with_model(goal.model, view.workers)
            changes += _loads(goal, view.workers)[: max(0, missing)]
        return changes

    def _workers_with_model(self, model: ModelName, workers: Iterable[WorkerActual]) -> int:
        loading = {
            order.worker
            for order in self._in_flight.values()
            if order.model == model and order.kind is OrderKind.LOAD
        }
        return sum(model in w.models or w.worker in loading for w in workers)

    def _loads_for_idle_workers(self, view: _View) -> list[_Change]:
        """Return loads for workers without a model, choosing the rarest model of their pool."""
        changes: list[_Change] = []
        for worker in view.workers:
            eligible = [g for g in view.goals.values() if worker.pool in g.pools]
            busy = any(order.worker == worker.worker for order in self._in_flight.values())
            if worker.models or busy or not eligible:
                continue
            rarest = min(
                eligible, key=lambda g: (self._workers_with_model(g.model, view.workers), g.model)
            )
            changes.append(_load(rarest, worker))
        return changes

    def _loads_for_overload(self, view: _View) -> list[_Change]:
        changes: list[_Change] = []
        for goal in sorted(view.goals.values(), key=lambda g: g.model):
            serving = max(1, self._workers_with_model(goal.model, view.workers))
            if view.waiting.get(goal.model, 0) > serving * self._policy.pressure_waiting:
                changes += _loads(goal, view.workers)[:1]
        return changes

    def _setting_changes(self, worker: WorkerActual, view: _View) -> list[_Change]:
        changes: list[_Change] = []
        if worker.target_role and worker.role != worker.target_role:
            model = min(worker.models, default=ModelName(""))
            changes.append(_Change(worker.worker, OrderKind.SET_ROLE, model, worker.target_role))
        for model in sorted(worker.models & view.goals.keys()):
            goal = view.goals[model]
            if worker.versions.get(model) != goal.version:
                changes.append(_Change(worker.worker, OrderKind.SET_VERSION, model, goal.version))
            present = {adapter for name, adapter in worker.adapters if name == model}
            for adapter in sorted(goal.adapters - present):
                changes.append(_Change(worker.worker, OrderKind.LOAD_ADAPTER, model, adapter))
            for adapter in sorted(present - goal.adapters):
                changes.append(_Change(worker.worker, OrderKind.UNLOAD_ADAPTER, model, adapter))
        return changes

    def _unloads(self, worker: WorkerActual, view: _View) -> list[_Change]:
        return [
            _Change(worker.worker, OrderKind.UNLOAD, model)
            for model in sorted(worker.models)
            if model not in view.goals or worker.pool not in view.goals[model].pools
        ]

    def _is_allowed(self, change: _Change, view: _View, now: float) -> bool:
        if any(order.worker == change.worker for order in self._in_flight.values()):
            return False
        if now < self._not_before.get(change, now):
            return False
        if not self._is_urgent(change, view) and not self._is_stable(change, now):
            return False
        if change.kind in READS_WEIGHTS and not self._may_start_load(now):
            return False
        return change.kind not in INTERRUPTS_SERVING or self._keeps_minimum(change, view)

    def _is_stable(self, change: _Change, now: float) -> bool:
        return now - self._first_seen[change] >= self._policy.stable_seconds

    def _is_urgent(self, change: _Change, view: _View) -> bool:
        if change.kind is not OrderKind.LOAD:
            return False
        goal = view.goals[change.model]
        return self.serving(change.model, view.workers) < goal.minimum_workers

    def _may_start_load(self, now: float) -> bool:
        loading = sum(order.kind in READS_WEIGHTS for order in self._in_flight.values())
        return loading < self._policy.loads_in_flight and now >= self._next_load_at

    def _keeps_minimum(self, change: _Change, view: _View) -> bool:
        goal = view.goals.get(change.model)
        minimum = goal.minimum_workers if goal else 0
        return self.serving(change.model, view.workers) - 1 >= minimum

    def _issue(self, change: _Change, now: float) -> Order:
        self._sequence += 1
        token = f"{self._epoch}-{self._sequence}"
        order = Order(token, change.worker, change.kind, change.model, change.value)
        self._in_flight[token] = order
        if change.kind in READS_WEIGHTS:
            self._next_load_at = now + self._policy.load_interval_seconds
        return order


def _loads(goal: ModelGoal, workers: Iterable[WorkerActual]) -> list[_Change]:
    """Return loads of a model on the eligible workers, the least loaded first."""
    return [
        _load(goal, worker)
        for worker in workers
        if worker.pool in goal.pools and goal.model not in worker.models
    ]


def _load(goal: ModelGoal, worker: WorkerActual) -> _Change:
    return _Change(worker.worker, OrderKind.LOAD, goal.model, goal.version)
