"""Short soaks of real nodes with injected faults; see docs/TESTING.md for longer ones."""

import signal

import pytest

from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.identifiers import PeerAddress
from soak.disruptions import STORE, DisruptionLog
from soak.invariants import Attempt, InvariantChecker, Run
from soak.nodes import SoakNode
from soak.run import Plan, run_soak

REGRESSION_SEEDS: dict[int, str] = {}
"""Seeds that once exposed a fault, each with its cause."""
SECONDS = 20.0


@pytest.mark.soak
@pytest.mark.parametrize("seed", [1, 3, *REGRESSION_SEEDS])
def test_invariants_hold_under_faults(seed):
    result = run_soak(Plan(seed, SECONDS))
    assert result.violations == [], f"faults: {result.faults}; logs in {result.folder}"
    assert result.outcomes["stream 200"] > 0
    assert result.outcomes["unsafe 200"] > 0
    assert result.outcomes["configuration held to its bound"] > 0


def attempt(request_id="r1", kind="unsafe", status=200, **fields):
    sample = Attempt(request_id, "p1", kind, b"body", status, is_complete=True, **fields)
    sample.stamp = f"stamp-{request_id}" if status == 200 else None
    return sample


def violated_rules(*attempts, runs=(), budget=1_000):
    checker = InvariantChecker()
    for each in attempts:
        checker.record_sent(each)
    for run_ in runs:
        checker.record_run(run_)
    for each in attempts:
        checker.check_response(each, end_id=3)
    checker.check_totals({"p1": (budget, 25)})
    return [line.split()[0] for line in checker.violations]


def test_each_violated_invariant_is_reported():
    ran = Run("r1", b"body", 1)
    complete = {"event_ids": [1, 2, 3], "data": ["r1 1", "r1 2", "r1 3"]}
    assert violated_rules(attempt(), runs=[ran]) == []
    assert violated_rules(attempt(kind="stream", **complete), runs=[ran]) == []
    assert violated_rules(attempt(), runs=[ran, ran]) == ["TWICE"]
    assert violated_rules(attempt(status=503), runs=[ran]) == ["REFUSED"]
    assert violated_rules(attempt(), runs=[Run("r1", b"other", 1)]) == ["UNASKED"]
    assert violated_rules(attempt(), runs=[ran, Run("r9", b"body", 1)]) == ["UNASKED"]
    assert violated_rules(attempt(data=["r2 done"]), runs=[ran]) == ["MIXED"]
    short = {"event_ids": [1, 2], "data": ["r1 1", "r1 2"]}
    assert violated_rules(attempt(kind="stream", **short), runs=[ran]) == ["ORDER"]
    twice = {"event_ids": [1, 1, 3], "data": ["r1 1", "r1 1", "r1 3"]}
    assert violated_rules(attempt(kind="stream", **twice), runs=[ran]) == ["ORDER"]
    assert violated_rules(attempt(kind="stream", **complete), runs=[ran], budget=25) == ["BUDGET"]


def test_a_request_that_crashes_more_than_three_workers_is_reported():
    checker = InvariantChecker()
    for number in range(4):
        crashing = attempt(f"r{number}", status=502)
        checker.record_sent(crashing)
        assert checker.violations == []
        checker.record_crash(crashing.request_id)
    checker.check_totals({"p1": (1_000, 25)})
    assert [line.split()[0] for line in checker.violations] == ["BUDGET"]


def test_a_node_that_uses_too_much_memory_or_fails_internally_is_reported():
    checker = InvariantChecker()
    checker.check_memory("n0", 200 << 20)
    assert checker.violations == []
    checker.check_memory("n0", 300 << 20)
    checker.check_response(attempt(status=500), end_id=3)
    assert [line.split()[0] for line in checker.violations] == ["FAULT", "FAULT"]


def test_streams_of_two_software_versions_are_reported():
    checker = InvariantChecker()
    for number in range(4):
        begun = attempt(f"a{number}", "stream", event_ids=[1], data=[f"a{number} 1 v1"])
        resumed = attempt(f"b{number}", "stream", event_ids=[2, 3], last_event_id=1)
        resumed.origin = f"a{number}"
        version = "v2" if number < 3 else "v1"
        resumed.data = [f"b{number} 2 {version}", f"b{number} 3 {version}"]
        begun.is_complete = False
        for each in (begun, resumed):
            checker.record_sent(each)
            checker.check_response(each, end_id=3)
    checker.check_totals({"p1": (1_000, 25)})
    assert [line.split()[0] for line in checker.violations] == ["ORDER"]
    assert checker.outcomes["streams of two versions"] == 3


def test_streams_that_callers_cannot_resume_are_reported():
    checker = InvariantChecker()
    for number in range(12):
        begun = attempt(f"a{number}", "stream", event_ids=[1], data=[f"a{number} 1 v1"])
        begun.is_complete = False
        resumed = attempt(f"b{number}", "stream", status=503, last_event_id=1)
        resumed.origin = f"a{number}"
        for each in (begun, resumed):
            each.is_checked = True
            checker.record_sent(each)
            checker.check_response(each, end_id=3)
    checker.check_totals({"p1": (1_000, 25)})
    assert [line.split()[0] for line in checker.violations] == ["LOST"]


async def test_an_unexpected_process_exit_is_reported(tmp_path):
    checker = InvariantChecker()
    proxy = FaultProxy(PeerAddress("127.0.0.1", 9))
    await proxy.start()
    node = SoakNode("n0", "z", proxy, tmp_path, checker, DisruptionLog())
    await node.start()
    node.signal(signal.SIGTERM)
    await node.wait_until_exited()
    assert checker.violations == ["FAULT n0: ended by itself with 0"]
    await proxy.stop()


def test_only_undisrupted_nodes_are_held_to_time_bounds():
    disruptions = DisruptionLog()
    assert disruptions.is_undisrupted("n0")
    with disruptions.span("n0", "freeze"):
        assert not disruptions.is_undisrupted("n0")
        assert disruptions.is_undisrupted("n1")
    assert not disruptions.is_undisrupted("n0")
    with disruptions.span(STORE, "mood"):
        pass
    assert not disruptions.is_undisrupted("n1")
    now = disruptions.now()
    assert disruptions.kinds_between(["n0", STORE], now - 1.0, now) == {"freeze", "mood"}


async def test_a_late_node_is_reported():
    checker, disruptions = InvariantChecker(), DisruptionLog()
    checker.report_stale_configuration("n0", 7, "known before")
    checker.report_request_after_drain("r1", "n0", 2.5)
    interrupted = attempt(status=None)
    checker.record_sent(interrupted)
    checker.report_loss_during_stop(interrupted, 0.1)
    checker.report_loss_during_stop(interrupted, 0.3)
    assert [line.split()[0] for line in checker.violations] == ["CONFIG", "DRAIN", "LOST"]
    assert disruptions.is_undisrupted("n0")
