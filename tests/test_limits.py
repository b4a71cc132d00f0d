"""Rate limits across nodes, retry budgets, circuit breakers and backoff."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from foxwinch.bench.retry_storm import Policy, Scenario, run_policy
from foxwinch.core.limits.backoff import Backoff
from foxwinch.core.limits.circuit_breaker import CircuitBreaker, CircuitState
from foxwinch.core.limits.limiter import Limit, Limited, Limiter, Passed
from foxwinch.core.limits.retry_budget import RetryBudget, RetryKey
from foxwinch.core.limits.shares import LEASE_SECONDS, ShareTable
from foxwinch.core.limits.usage import (
    DemandMeter,
    UsageDigest,
    decode,
    demand_of_step,
    encode,
    key_hash,
    quantize,
)

LIMIT = Limit("tenant:one", 40.0, 1e9, 4.0)
LOADS = [0.0, 4.0, 30.0, 120.0]
NAME = key_hash(LIMIT.key)
STEP_SECONDS = 0.25
GOSSIP_SECONDS = 3.0
DETECTION_SECONDS = 2.0
SEEN_SECONDS = 1.25
"""Delay of one update and one step."""
SHIFT_SECONDS = GOSSIP_SECONDS + SEEN_SECONDS + 1.0
"""Time after which a node that was unreachable knows the demand of all others."""


class ModelNode:
    def __init__(self, fleet, number, now):
        self.fleet, self.name, self.offered = fleet, f"node-{number}", 0.0
        self.table, self.meter = ShareTable(self.name, now), DemandMeter(now)
        self.limiter = Limiter(lambda key, at: self.table.share(key_hash(key), at), now)
        self.paused = False
        self.backlog = 0.0
        self.last_update = -1.0

    def step(self, now):
        if self.paused:
            return 0
        if now - self.last_update >= 1.0:
            self.update(now)
        self.backlog += self.offered * STEP_SECONDS
        admitted = 0
        while self.backlog >= 1.0:
            self.backlog -= 1.0
            self.meter.add(LIMIT.key, 1.0 / LIMIT.requests_per_second)
            admitted += isinstance(self.limiter.admit((LIMIT,), 0, 1.0, now), Passed)
        return admitted

    def update(self, now):
        self.last_update = now
        if self.table.update(self.fleet.seen_by(self), now):
            self.limiter.reset(now)
        self.meter.advance(now)
        digest = self.meter.digest()
        self.table.record_own_digest(digest, now)
        for other in self.fleet.nodes:
            if other is not self:
                delay = self.fleet.random.uniform(0.0, GOSSIP_SECONDS)
                self.fleet.messages.append((now + delay, self, other, digest, now))


class Fleet:
    """Nodes with gossip delayed up to a bound and delayed failure detection."""

    def __init__(self, seed):
        self.random, self.now = random.Random(seed), 0.0
        self.nodes, self.messages, self.numbers = [], [], 0
        self.cut, self.cut_before, self.cut_changed_at = set(), set(), -100.0
        self.gone = {}
        self.newest = {}

    def join(self):
        self.numbers += 1
        node = ModelNode(self, self.numbers, self.now)
        self.nodes.append(node)
        return node

    def separated(self, one, other):
        return (one.name in self.cut) != (other.name in self.cut)

    def seen_by(self, node):
        settled = self.now - self.cut_changed_at >= DETECTION_SECONDS
        cut = self.cut if settled else self.cut_before
        names = [o.name for o in self.nodes if (o.name in cut) == (node.name in cut)]
        dying = [n for n, at in self.gone.items() if self.now - at < DETECTION_SECONDS]
        paused = {
            o.name for o in self.nodes if o.paused and self.now - o.paused_at >= DETECTION_SECONDS
        }
        return [n for n in names + dying if n not in paused]

    def set_cut(self, names):
        self.cut_before, self.cut, self.cut_changed_at = self.cut, names, self.now

    def step(self):
        self.now += STEP_SECONDS
        due = [m for m in self.messages if m[0] <= self.now]
        self.messages = [m for m in self.messages if m[0] > self.now]
        for _, sender, receiver, digest, told_at in sorted(due, key=lambda m: m[0]):
            if receiver.paused or self.separated(sender, receiver):
                continue
            if told_at > self.newest.get((sender, receiver), -1.0):
                self.newest[sender, receiver] = told_at
                receiver.table.record_digest(sender.name, digest, self.now)
        return sum(node.step(self.now) for node in list(self.nodes))


class LimitMachine(RuleBasedStateMachine):
    """Oracle: a leaky bucket over all nodes and the sum of the shares; see docs/design/limits.md.

    A node that starts or resumes learns the demand of the others within `SHIFT_SECONDS`.
    """

    @initialize(nodes=st.integers(1, 6), seed=st.integers(0, 999))
    def begin(self, nodes, seed):
        self.fleet = Fleet(seed)
        self.level, self.allowance = 0.0, float(nodes)
        self.cut_share, self.cut_at, self.shifting_until = 0.0, 0.0, 1.0
        for _ in range(nodes):
            self.fleet.join()

    @precondition(lambda self: len(self.fleet.nodes) < 7)
    @rule(offered=st.sampled_from(LOADS))
    def join(self, offered):
        self.fleet.join().offered = offered
        self.allow_start()

    def allow_start(self):
        """Allow one request, and an equal share until the node knows the demand of the others."""
        equal = LIMIT.requests_per_second / len(self.fleet.nodes)
        self.allowance += 1.0 + equal * SHIFT_SECONDS
        self.shifting_until = self.fleet.now + SHIFT_SECONDS

    @precondition(lambda self: len(self.fleet.nodes) > 1)
    @rule(choice=st.integers(0, 9))
    def die(self, choice):
        node = self.fleet.nodes.pop(choice % len(self.fleet.nodes))
        self.fleet.gone[node.name] = self.fleet.now

    @rule(choice=st.integers(0, 9), offered=st.sampled_from(LOADS))
    def load(self, choice, offered):
        self.fleet.nodes[choice % len(self.fleet.nodes)].offered = offered

    @rule(offered=st.sampled_from(LOADS))
    def load_everywhere(self, offered):
        for node in self.fleet.nodes:
            node.offered = offered

    @rule(choice=st.integers(0, 9), seconds=st.sampled_from([5.0, 30.0]))
    def pause_and_wake(self, choice, seconds):
        node = self.fleet.nodes[choice % len(self.fleet.nodes)]
        node.paused, node.paused_at = True, self.fleet.now
        self.advance(seconds)
        node.paused = False
        self.allow_start()

    @precondition(lambda self: len(self.fleet.nodes) > 2)
    @rule(seconds=st.sampled_from([5.0, 40.0]), offered=st.sampled_from(LOADS))
    def cut_and_heal(self, seconds, offered):
        self.advance(SHIFT_SECONDS)
        fleet = self.fleet
        minority = fleet.nodes[: (len(fleet.nodes) - 1) // 2]
        for node in minority:
            node.offered = offered
        self.cut_at = fleet.now
        fleet.set_cut({node.name for node in minority})
        self.advance(seconds)
        fleet.set_cut(set())
        # Tokens accumulated by the minority, and an equal share until both sides see each other.
        self.allowance += self.cut_share * LIMIT.requests_per_second * LIMIT.burst_seconds
        for _ in minority:
            self.allow_start()
        self.shifting_until = fleet.now + DETECTION_SECONDS + SHIFT_SECONDS
        self.advance(DETECTION_SECONDS + SHIFT_SECONDS)
        self.cut_share = 0.0

    @rule(seconds=st.sampled_from([1.0, 10.0]))
    def advance(self, seconds):
        rate = LIMIT.requests_per_second
        for _ in range(int(seconds / STEP_SECONDS)):
            admitted = self.fleet.step()
            self.check_shares()
            drained = rate * (1.0 + self.cut_share) * STEP_SECONDS
            self.level = max(0.0, self.level - drained) + admitted
            if self.level == 0.0 and not self.fleet.cut and self.fleet.now > self.shifting_until:
                self.allowance = float(len(self.fleet.nodes))
            assert self.level <= rate * LIMIT.burst_seconds + drained + self.allowance

    def check_shares(self):
        fleet = self.fleet
        running = [node for node in fleet.nodes if not node.paused]
        share = {node.name: node.table.share(NAME, fleet.now) for node in running}
        inside = sum(value for name, value in share.items() if name in fleet.cut)
        outside = sum(value for name, value in share.items() if name not in fleet.cut)
        if fleet.now <= self.shifting_until:
            return
        if fleet.cut and fleet.now <= self.cut_at + DETECTION_SECONDS + SEEN_SECONDS:
            highest = [node.table.highest_share(NAME) for node in running if node.name in fleet.cut]
            self.cut_share = min(1.0, sum(highest))
        assert outside <= 1.0 + 1e-6
        assert inside <= self.cut_share + 1e-6


TestLimitMachine = LimitMachine.TestCase
TestLimitMachine.settings = settings(
    max_examples=30, stateful_step_count=20, deadline=None, derandomize=True
)


def run_fleet(offered, seconds, nodes=None):
    fleet = Fleet(seed=7)
    for load in offered:
        fleet.join().offered = load
    return fleet, [fleet.step() for _ in range(int(seconds / STEP_SECONDS))]


def test_shares_follow_demand_and_the_limit_is_used_up():
    _, admitted = run_fleet([400.0, 0.0, 0.0], 60.0)
    last_seconds = admitted[-80:]
    assert 0.9 * 40.0 * 20.0 <= sum(last_seconds) <= 40.0 * 20.0 * 1.05


def test_idle_tenant_is_admitted_at_any_node_immediately():
    fleet, _ = run_fleet([0.0] * 6, 10.0)
    for node in fleet.nodes:
        assert node.limiter.admit((LIMIT,), 9, 1.0, fleet.now) == Passed()


def test_lost_share_is_redistributed_and_an_isolated_node_may_not_grow():
    fleet, _ = run_fleet([400.0, 400.0, 400.0], 30.0)
    before = fleet.nodes[0].table.share(NAME, fleet.now)
    fleet.set_cut({fleet.nodes[0].name})
    for _ in range(int(40 / STEP_SECONDS)):
        fleet.step()
    assert fleet.nodes[0].table.is_isolated
    assert fleet.nodes[0].table.share(NAME, fleet.now) <= before + 1e-9
    majority = sum(node.table.share(NAME, fleet.now) for node in fleet.nodes[1:])
    assert majority == pytest.approx(1.0)


def test_share_stays_with_a_silent_node_for_its_lease():
    table = ShareTable("a", 0.0)
    table.record_digest("b", UsageDigest({NAME: 1.0}), 0.0)
    table.update(["b", "c"], 0.0)
    while_alive = table.share(NAME, 0.0)
    table.update(["c"], LEASE_SECONDS - 1.0)
    assert table.share(NAME, LEASE_SECONDS - 1.0) == while_alive
    table.update(["c"], LEASE_SECONDS + 1.0)
    assert table.share(NAME, LEASE_SECONDS + 1.0) > 4 * while_alive


def test_node_paused_past_its_lease_has_no_share():
    fleet, _ = run_fleet([400.0], 10.0)
    table = fleet.nodes[0].table
    assert table.share(NAME, fleet.now) > 0.9
    assert table.share(NAME, fleet.now + LEASE_SECONDS + 1.0) == 0.0


def test_urgent_classes_are_refused_last():
    limiter = Limiter(lambda key, at: 1.0, 0.0)
    passed = dict.fromkeys((2, 1, 0), 0)
    for rank in passed:
        while isinstance(limiter.admit((LIMIT,), rank, 1.0, 100.0), Passed):
            passed[rank] += 1
    assert passed[2] == pytest.approx(160 * 0.84, abs=2)
    assert passed[1] == pytest.approx(160 * 0.08, abs=2)
    assert passed[0] == pytest.approx(160 * 0.08, abs=2)
    outcome = limiter.admit((LIMIT,), 0, 1.0, 100.0)
    assert isinstance(outcome, Limited)
    later = 100.0 + outcome.wait_seconds
    assert limiter.admit((LIMIT,), 0, 1.0, later) == Passed()


def test_new_node_has_no_accumulated_tokens():
    limiter = Limiter(lambda key, at: 1.0, 100.0)
    assert limiter.admit((LIMIT,), 0, 1.0, 100.0) == Passed()
    assert isinstance(limiter.admit((LIMIT,), 0, 1.0, 100.0), Limited)


def test_no_retry_storm_after_the_backend_recovers():
    small = Scenario(calls_per_second=16.0, served_per_second=20.0, end_seconds=130.0, clients=3)
    fixed, budget = (run_policy(small, policy, 3) for policy in (Policy.FIXED, Policy.BUDGET))
    assert budget.attempts_per_call_after_return <= 1.11
    assert budget.peak_attempts_per_second < fixed.peak_attempts_per_second / 2
    assert budget.seconds_to_recover <= 5.0


def test_tokens_are_settled_by_actual_usage():
    limit = Limit("tenant:one", 100.0, 1_000.0, 5.0)
    limiter = Limiter(lambda key, at: 1.0, 0.0)
    assert limiter.admit((limit,), 0, 50_000.0, 100.0) == Passed()
    assert isinstance(limiter.admit((limit,), 0, 1.0, 100.0), Limited)
    limiter.settle((limit,), 50_000.0, 100.0, 100.0)
    assert limiter.admit((limit,), 0, 1.0, 100.0) == Passed()


@given(st.dictionaries(st.integers(0, 2**32 - 1), st.floats(0.0, 4.0), max_size=64))
def test_digest_keeps_demand_within_a_step_and_a_datagram(demand):
    steps = {key: demand_of_step(quantize(value)) for key, value in demand.items()}
    digest = UsageDigest({key: value for key, value in steps.items() if value})
    payload = encode(digest)
    assert len(payload) <= 330
    assert decode(payload) == digest
    for key, value in digest.demand.items():
        assert value <= min(1.0, demand[key]) <= value * 1.1


def test_retries_are_a_fraction_of_first_attempts():
    budget, key = RetryBudget(ratio=0.1, burst=5.0), RetryKey("tenant", "worker")
    repeats = 0
    for _ in range(1_000):
        budget.record_first_attempt(key)
        repeats += budget.try_retry(key)
    assert 100 <= repeats <= 105


@given(st.integers(0, 100), st.floats(0.0, 1.0, exclude_max=True))
def test_backoff_stays_within_its_cap(attempt, number):
    wait = Backoff(0.1, 2.0).wait_seconds(attempt, number)
    assert 0.0 <= wait <= min(2.0, 0.1 * 2.0**attempt)


def test_circuit_breaker_opens_admits_one_trial_and_closes():
    circuit = CircuitBreaker()
    for second in range(5):
        assert circuit.try_call(float(second))
        circuit.record_failure(float(second), 0.5)
    assert circuit.state(4.0) is CircuitState.OPEN
    assert not circuit.try_call(4.1)
    again = 4.0 + circuit.wait_seconds(4.0)
    assert circuit.try_call(again)
    assert not circuit.try_call(again)
    circuit.record_failure(again, 0.999)
    assert circuit.wait_seconds(again) > 2.0
    later = again + circuit.wait_seconds(again)
    assert circuit.try_call(later)
    circuit.record_success(later)
    assert circuit.state(later) is CircuitState.CLOSED
    assert circuit.try_call(later)


def test_isolated_failures_leave_the_circuit_breaker_closed():
    circuit = CircuitBreaker()
    for second in range(100):
        if second % 3:
            circuit.record_success(float(second))
        else:
            circuit.record_failure(float(second), 0.5)
    assert circuit.state(100.0) is CircuitState.CLOSED
