"""Tests that model orders reach the goal state within worker minimums and the load rate."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from foxwinch.core.orders.model import READS_WEIGHTS, ModelGoal, OrderKind, WorkerActual
from foxwinch.core.orders.reconciler import OrderPolicy, OrderReconciler
from foxwinch.identifiers import Epoch, ModelName, WorkerId

POLICY = OrderPolicy(loads_in_flight=2, load_interval_seconds=1.0, stable_seconds=3.0)
CHAT = ModelName("chat")
POOL = frozenset({"pool"})


def worker(name, load=0.0, models=(CHAT,), version="1", **more):
    names = frozenset(models)
    return WorkerActual(
        WorkerId(name), "pool", load, names, versions=dict.fromkeys(names, version), **more
    )


def goal(minimum=2, version="1", adapters=(), model=CHAT):
    return ModelGoal(model, version, frozenset(adapters), minimum, POOL)


def test_model_below_minimum_is_loaded_immediately_on_least_loaded_worker():
    reconciler = OrderReconciler(Epoch(1), POLICY)
    workers = [worker("a", 9.0, ()), worker("b", 1.0, ()), worker("c", 5.0)]
    orders = reconciler.advance([goal()], workers, {}, 0.0)
    assert [(o.worker, o.kind) for o in orders] == [("b", OrderKind.LOAD)]


def test_version_update_keeps_minimum_of_serving_workers():
    reconciler = OrderReconciler(Epoch(1), POLICY)
    workers = [worker("a"), worker("b"), worker("c")]
    target = [goal(minimum=2, version="2")]
    assert reconciler.advance(target, workers, {}, 0.0) == []
    assert len(reconciler.advance(target, workers, {}, 3.0)) == 1
    assert reconciler.advance(target, workers, {}, 10.0) == []


def test_version_is_not_updated_if_all_workers_are_needed():
    reconciler = OrderReconciler(Epoch(1), POLICY)
    workers = [worker("a"), worker("b")]
    for now in range(0, 60, 3):
        assert reconciler.advance([goal(2, "2")], workers, {}, float(now)) == []


def test_transient_difference_causes_no_order():
    reconciler = OrderReconciler(Epoch(1), POLICY)
    for now in range(20):
        adapters = ["a"] if now % 2 else []
        assert reconciler.advance([goal(1, "1", adapters)], [worker("w")], {}, float(now)) == []


def test_failed_order_is_retried_after_backoff():
    reconciler = OrderReconciler(Epoch(1), POLICY)
    workers = [worker("a", models=())]
    (order,) = reconciler.advance([goal(1)], workers, {}, 0.0)
    reconciler.completed(order.token, False, 1.0)
    assert reconciler.advance([goal(1)], workers, {}, 5.0) == []
    (again,) = reconciler.advance([goal(1)], workers, {}, 12.0)
    assert again.token != order.token


def test_overloaded_model_gets_additional_worker():
    other = ModelName("other")
    goals = [goal(1), goal(1, model=other)]
    workers = [worker("a"), worker("b", models=(other,)), worker("c", 3.0, models=(other,))]
    reconciler = OrderReconciler(Epoch(1), POLICY)
    assert reconciler.advance(goals, workers, {CHAT: 50}, 0.0) == []
    (order,) = reconciler.advance(goals, workers, {CHAT: 50}, 3.0)
    assert (order.worker, order.kind, order.model) == ("b", OrderKind.LOAD, CHAT)


def test_unconfigured_model_is_unloaded():
    reconciler = OrderReconciler(Epoch(1), POLICY)
    workers = [worker("a", models=(CHAT, ModelName("old")))]
    reconciler.advance([goal(1)], workers, {}, 0.0)
    (order,) = reconciler.advance([goal(1)], workers, {}, 3.0)
    assert (order.kind, order.model) == (OrderKind.UNLOAD, "old")


def apply(actual, order):
    """Return the state of a worker after it has executed an order."""
    if order.kind is OrderKind.LOAD:
        return replace(
            actual,
            models=actual.models | {order.model},
            versions={**actual.versions, order.model: order.value},
        )
    if order.kind is OrderKind.UNLOAD:
        return replace(actual, models=actual.models - {order.model})
    if order.kind is OrderKind.SET_VERSION:
        return replace(actual, versions={**actual.versions, order.model: order.value})
    change = {(order.model, order.value)}
    adapters = actual.adapters
    added = order.kind is OrderKind.LOAD_ADAPTER
    return replace(actual, adapters=adapters | change if added else adapters - change)


@settings(max_examples=60, deadline=None)
@given(
    loads=st.lists(st.floats(0.0, 10.0), min_size=3, max_size=8),
    present=st.integers(0, 8),
    minimum=st.integers(0, 3),
    answers=st.lists(st.tuples(st.booleans(), st.floats(0.1, 6.0)), max_size=20),
)
def test_goal_is_reached_within_load_rate_and_minimum(loads, present, minimum, answers):
    workers = {
        f"w{i}": worker(f"w{i}", load, (CHAT,) if i < present else ())
        for i, load in enumerate(loads)
    }
    target = goal(min(minimum, len(workers) - 1), "2", ["adapter"])
    reconciler = OrderReconciler(Epoch(7), POLICY)
    now, due, last_load = 0.0, {}, -10.0
    scripted_outcomes = iter(answers)
    for _ in range(600):
        now += 0.5
        for token in [t for t, at in due.items() if at[0] <= now]:
            _, succeeded = due.pop(token)
            order = reconciler.completed(token, succeeded, now)
            if succeeded:
                workers[order.worker] = apply(workers[order.worker], order)
        before = reconciler.serving(CHAT, workers.values())
        for order in reconciler.advance([target], workers.values(), {}, now):
            succeeded, seconds = next(scripted_outcomes, (True, 0.4))
            due[order.token] = (now + seconds, succeeded)
            if order.kind in READS_WEIGHTS:
                assert now - last_load >= POLICY.load_interval_seconds
                last_load = now
        loading = [o for o in reconciler.in_flight() if o.kind in READS_WEIGHTS]
        assert len(loading) <= POLICY.loads_in_flight
        after = reconciler.serving(CHAT, workers.values())
        assert after >= min(before, target.minimum_workers)
    for actual in workers.values():
        assert actual.models == {CHAT}
        assert actual.versions[CHAT] == "2"
        assert actual.adapters == {(CHAT, "adapter")}
