"""Retries of model calls stay within their budget, and circuit breakers stop dispatches."""

import asyncio

import pytest
from prometheus_client import CollectorRegistry

from foxwinch.commands.call_retries import RETRY_AFTER_SECONDS, CallRetries
from foxwinch.core.limits.circuit_breaker import MIN_CALLS
from foxwinch.core.limits.retry_budget import RETRY_BURST
from foxwinch.core.program.call_events import CallFinished
from foxwinch.identifiers import Epoch, WorkerId
from foxwinch.outcomes import Reason, RunState, not_run
from foxwinch.workers.ports import Grant
from program_fakes import BROKEN, TENANT, Rig, collect

pytestmark = [pytest.mark.looptime]
DOWN = not_run(Reason.BACKEND_UNAVAILABLE, "down")
BAD, GOOD = WorkerId("bad"), WorkerId("good")


class TwoWorkers:
    """Grants the bad worker first; a call that failed there is granted the good one, if any."""

    def __init__(self, rig, has_good):
        self.failed = set()
        rig.grants.acquire = self.acquire
        settle = rig.grants.settle
        self.has_good = has_good

        def record_usage(grant, usage):
            if usage.failed:
                self.failed.add(usage.call_id)
            settle(grant, usage)

        rig.grants.settle = record_usage

    async def acquire(self, request):
        good = self.has_good and request.call_id in self.failed
        worker = GOOD if good else BAD
        return Grant(request.call_id, worker, "http://x", Epoch(1), 0, 0, 0.0, "test")


def exhaust_budget(rig, worker):
    while rig.ports.retries.try_retry(TENANT, worker, BROKEN, sent=True):
        pass


def open_circuit(rig, worker):
    for _ in range(MIN_CALLS):
        rig.ports.retries.record_end(worker, DOWN, rig.clock.monotonic(), lambda: 0.5)


@pytest.mark.parametrize("failure", [DOWN, BROKEN])
async def test_without_retry_budget_a_failure_is_returned_immediately_with_its_run_state(failure):
    rig = Rig()
    TwoWorkers(rig, has_good=True)
    exhaust_budget(rig, BAD)
    rig.engine.failures = [(0, failure)]
    _, last = await collect(rig.model())
    assert (last.reason, last.run_state) == (failure.reason, failure.run_state)
    assert last.retry_after_seconds == RETRY_AFTER_SECONDS
    assert len(rig.engine.orders) == 1


async def test_a_call_skips_a_worker_with_an_open_circuit_without_a_dispatch():
    rig = Rig()
    TwoWorkers(rig, has_good=True)
    open_circuit(rig, BAD)
    count = 3 * int(RETRY_BURST)
    answers = await asyncio.gather(*(collect(rig.model(name=f"p{n}")) for n in range(count)))
    assert all(isinstance(last, CallFinished) for _, last in answers)
    assert len(rig.engine.orders) == count


async def test_an_open_circuit_without_another_worker_is_refused_as_not_run():
    rig = Rig()
    TwoWorkers(rig, has_good=False)
    open_circuit(rig, BAD)
    _, last = await collect(rig.model())
    assert (last.reason, last.run_state) == (Reason.BACKEND_UNAVAILABLE, RunState.NOT_RUN)
    assert last.retry_after_seconds > 0
    assert rig.engine.orders == []
    await asyncio.sleep(10.0)
    assert isinstance((await collect(rig.model()))[1], CallFinished)


def test_retries_and_refusals_are_counted_and_a_coordinator_change_uses_no_budget():
    registry = CollectorRegistry()
    retries = CallRetries(registry)
    fenced = not_run(Reason.FENCED, "fenced")
    assert all(retries.try_retry(TENANT, BAD, fenced, sent=True) for _ in range(20))
    retried = sum(retries.try_retry(TENANT, BAD, DOWN, sent=True) for _ in range(20))
    assert retried == RETRY_BURST
    spent = {"cause": "budget_spent"}
    assert registry.get_sample_value("foxwinch_call_retries_total") == 20 + RETRY_BURST
    refusals = registry.get_sample_value("foxwinch_call_retry_refusals_total", spent)
    assert refusals == 20 - RETRY_BURST
