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

FAILURE_PAUSE_SECONDS = 10.0
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
class _Wanted:
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
        self._first_seen: dict[_Wanted, float] = {}
        self._not_before: dict[_Wanted, float] = {}
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
        staying = sorted(
            (w for w in workers if not w.leaving), key=lambda worker: (worker.load, worker.worker)
        )
        view = _View({goal.model: goal for goal in goals}, staying, waiting)
        wanted = self._differences(view)
        self._first_seen = {want: self._first_seen.get(want, now) for want in wanted}
        orders: list[Order] = []
        for want in wanted:
            if self._allowed(want, view, now):
                orders.append(self._issue(want, now))
        return orders

    def completed(self, token: str, succeeded: bool, now: float) -> Order | None:
        """Handle the result of an order and return the order, or None if it is not in flight."""
        order = self._in_flight.pop(token, None)
        if order is not None:
            want = _Wanted(order.worker, order.kind, order.model, order.value)
            pause = self._policy.stable_seconds if succeeded else FAILURE_PAUSE_SECONDS
            self._not_before[want] = now + pause
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

    def _differences(self, view: _View) -> list[_Wanted]:
        """Return the required changes, ordered by kind urgency and then by worker load."""
        found = self._missing_minimum(view)
        found += self._idle_workers(view)
        found += self._under_pressure(view)
        for worker in view.workers:
            found += self._wrong_details(worker, view)
        for worker in view.workers:
            found += self._superfluous(worker, view)
        return list(dict.fromkeys(found))

    def _missing_minimum(self, view: _View) -> list[_Wanted]:
        found: list[_Wanted] = []
        for goal in sorted(view.goals.values(), key=lambda g: g.model):
            missing = goal.minimum_workers - self._present_or_loading(goal.model, view.workers)
            found += _loads(goal, view.workers)[: max(0, missing)]
        return found

    def _present_or_loading(self, model: ModelName, workers: Iterable[WorkerActual]) -> int:
        loading = {
            order.worker
            for order in self._in_flight.values()
            if order.model == model and order.kind is OrderKind.LOAD
        }
        return sum(model in w.models or w.worker in loading for w in workers)

    def _idle_workers(self, view: _View) -> list[_Wanted]:
        """Return loads for workers without a model, choosing the rarest model of their pool."""
        found: list[_Wanted] = []
        for worker in view.workers:
            fitting = [g for g in view.goals.values() if worker.pool in g.pools]
            busy = any(order.worker == worker.worker for order in self._in_flight.values())
            if worker.models or busy or not fitting:
                continue
            rarest = min(
                fitting, key=lambda g: (self._present_or_loading(g.model, view.workers), g.model)
            )
            found.append(_load(rarest, worker))
        return found

    def _under_pressure(self, view: _View) -> list[_Wanted]:
        found: list[_Wanted] = []
        for goal in sorted(view.goals.values(), key=lambda g: g.model):
            serving = max(1, self._present_or_loading(goal.model, view.workers))
            if view.waiting.get(goal.model, 0) > serving * self._policy.pressure_waiting:
                found += _loads(goal, view.workers)[:1]
        return found

    def _wrong_details(self, worker: WorkerActual, view: _View) -> list[_Wanted]:
        found: list[_Wanted] = []
        if worker.wanted_role and worker.role != worker.wanted_role:
            model = min(worker.models, default=ModelName(""))
            found.append(_Wanted(worker.worker, OrderKind.SET_ROLE, model, worker.wanted_role))
        for model in sorted(worker.models & view.goals.keys()):
            goal = view.goals[model]
            if worker.versions.get(model) != goal.version:
                found.append(_Wanted(worker.worker, OrderKind.SET_VERSION, model, goal.version))
            present = {adapter for name, adapter in worker.adapters if name == model}
            for adapter in sorted(goal.adapters - present):
                found.append(_Wanted(worker.worker, OrderKind.LOAD_ADAPTER, model, adapter))
            for adapter in sorted(present - goal.adapters):
                found.append(_Wanted(worker.worker, OrderKind.UNLOAD_ADAPTER, model, adapter))
        return found

    def _superfluous(self, worker: WorkerActual, view: _View) -> list[_Wanted]:
        return [
            _Wanted(worker.worker, OrderKind.UNLOAD, model)
            for model in sorted(worker.models)
            if model not in view.goals or worker.pool not in view.goals[model].pools
        ]

    def _allowed(self, want: _Wanted, view: _View, now: float) -> bool:
        if any(order.worker == want.worker for order in self._in_flight.values()):
            return False
        if now < self._not_before.get(want, now):
            return False
        if not self._is_urgent(want, view) and not self._has_lasted(want, now):
            return False
        if want.kind in READS_WEIGHTS and not self._store_has_room(now):
            return False
        return want.kind not in INTERRUPTS_SERVING or self._keeps_minimum(want, view)

    def _has_lasted(self, want: _Wanted, now: float) -> bool:
        return now - self._first_seen[want] >= self._policy.stable_seconds

    def _is_urgent(self, want: _Wanted, view: _View) -> bool:
        if want.kind is not OrderKind.LOAD:
            return False
        goal = view.goals[want.model]
        return self.serving(want.model, view.workers) < goal.minimum_workers

    def _store_has_room(self, now: float) -> bool:
        loading = sum(order.kind in READS_WEIGHTS for order in self._in_flight.values())
        return loading < self._policy.loads_in_flight and now >= self._next_load_at

    def _keeps_minimum(self, want: _Wanted, view: _View) -> bool:
        goal = view.goals.get(want.model)
        minimum = goal.minimum_workers if goal else 0
        return self.serving(want.model, view.workers) - 1 >= minimum

    def _issue(self, want: _Wanted, now: float) -> Order:
        self._sequence += 1
        token = f"{self._epoch}-{self._sequence}"
        order = Order(token, want.worker, want.kind, want.model, want.value)
        self._in_flight[token] = order
        if want.kind in READS_WEIGHTS:
            self._next_load_at = now + self._policy.load_interval_seconds
        return order


def _loads(goal: ModelGoal, workers: Iterable[WorkerActual]) -> list[_Wanted]:
    """Return loads of a model on the eligible workers, the least loaded first."""
    return [
        _load(goal, worker)
        for worker in workers
        if worker.pool in goal.pools and goal.model not in worker.models
    ]


def _load(goal: ModelGoal, worker: WorkerActual) -> _Wanted:
    return _Wanted(worker.worker, OrderKind.LOAD, goal.model, goal.version)
