"""Simulate retries after a zone outage in virtual time: `python -m foxwinch.bench.retry_storm`.

One backend serves calls in order of arrival at a fixed rate. During an outage it refuses every
attempt. An attempt that waits longer than its timeout fails, although the backend still serves it;
this wasted work sustains a retry storm. A call is retried until its deadline under one of three
policies, of which foxwinch uses the last.
"""

import argparse
import heapq
import itertools
import json
import random
from dataclasses import asdict, dataclass
from enum import StrEnum

from foxwinch.core.limits.backoff import Backoff
from foxwinch.core.limits.circuit_breaker import CircuitBreaker
from foxwinch.core.limits.retry_budget import RetryBudget, RetryKey
from foxwinch.identifiers import TenantName, WorkerId


class Policy(StrEnum):
    """Retry policy for failed attempts."""

    FIXED = "fixed_1s"
    JITTER = "full_jitter"
    BUDGET = "full_jitter_budget_circuit"


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of the load, the backend and the outage."""

    calls_per_second: float = 80.0
    served_per_second: float = 100.0
    attempt_timeout_seconds: float = 2.0
    deadline_seconds: float = 30.0
    outage_start_seconds: float = 30.0
    outage_end_seconds: float = 90.0
    end_seconds: float = 210.0
    clients: int = 12
    """Nodes that send calls, each with its own circuit breaker and retry budget."""


@dataclass(frozen=True, slots=True)
class StormResult:
    """Figures of the outage, of the 30 s after its end and of the recovery."""

    policy: str
    attempts_per_call_while_away: float
    attempts_per_call_after_return: float
    peak_attempts_per_second: int
    succeeded_fraction_after_return: float
    seconds_to_recover: float | None
    """Time from the end of the outage until at least 95% of new calls succeed at the first attempt.

    The rate must hold in every later second; None means that it did not recover.
    """


@dataclass(slots=True)
class _Call:
    started_at: float
    client: int
    attempts: int = 0
    succeeded_at: float | None = None


class _Simulation:
    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario, self.policy = scenario, policy
        self.random = random.Random(seed)
        self.calls: list[_Call] = []
        self.attempts: list[tuple[float, bool]] = []
        self.busy_until = 0.0
        self.backoff = Backoff(0.2, 8.0)
        self.circuits = [CircuitBreaker() for _ in range(scenario.clients)]
        self.budgets = [RetryBudget() for _ in range(scenario.clients)]
        self.queue: list[tuple[float, int, str, _Call]] = []
        self.order = itertools.count()

    def run(self) -> None:
        at = 0.0
        while at < self.scenario.end_seconds:
            at += self.random.expovariate(self.scenario.calls_per_second)
            call = _Call(at, self.random.randrange(self.scenario.clients))
            self.calls.append(call)
            self._schedule(at, "attempt", call)
        while self.queue:
            now, _, kind, call = heapq.heappop(self.queue)
            if kind == "attempt":
                self._attempt(call, now)
            elif kind == "answer":
                call.succeeded_at = now
                self.circuits[call.client].record_success(now)
            else:
                self.circuits[call.client].record_failure(now, self.random.random())
                self._schedule_retry(call, now)

    def _schedule(self, at: float, kind: str, call: _Call) -> None:
        heapq.heappush(self.queue, (at, next(self.order), kind, call))

    def _attempt(self, call: _Call, now: float) -> None:
        if self.policy is Policy.BUDGET:
            if call.attempts == 0:
                self.budgets[call.client].record_first_attempt(_KEY)
            if not self.circuits[call.client].try_call(now):
                return  # rejected immediately, with a retry-after time
        call.attempts += 1
        self.attempts.append((now, call.attempts > 1))
        if self.scenario.outage_start_seconds <= now < self.scenario.outage_end_seconds:
            self._schedule(now + 0.01, "failure", call)
            return
        self.busy_until = max(self.busy_until, now) + 1.0 / self.scenario.served_per_second
        if self.busy_until - now > self.scenario.attempt_timeout_seconds:
            self._schedule(now + self.scenario.attempt_timeout_seconds, "failure", call)
        else:
            self._schedule(self.busy_until, "answer", call)

    def _schedule_retry(self, call: _Call, now: float) -> None:
        if self.policy is Policy.FIXED:
            wait = 1.0
        else:
            wait = self.backoff.wait_seconds(call.attempts - 1, self.random.random())
        if now + wait > call.started_at + self.scenario.deadline_seconds:
            return
        if self.policy is Policy.BUDGET and not self.budgets[call.client].try_retry(_KEY):
            return
        self._schedule(now + wait, "attempt", call)


_KEY = RetryKey(TenantName("tenant"), WorkerId("worker"))


def run_policy(scenario: Scenario, policy: Policy, seed: int) -> StormResult:
    """Simulate one policy and return its figures."""
    simulation = _Simulation(scenario, policy, seed)
    simulation.run()
    returned_at = scenario.outage_end_seconds

    def ratio(start: float, end: float) -> float:
        attempts = sum(start <= at < end for at, _ in simulation.attempts)
        return attempts / sum(start <= c.started_at < end for c in simulation.calls)

    after = [c for c in simulation.calls if returned_at <= c.started_at < returned_at + 30.0]
    peak = max(
        sum(second <= at < second + 1 for at, _ in simulation.attempts)
        for second in range(int(returned_at), int(returned_at) + 30)
    )
    return StormResult(
        policy=policy.value,
        attempts_per_call_while_away=round(ratio(scenario.outage_start_seconds, returned_at), 2),
        attempts_per_call_after_return=round(ratio(returned_at, returned_at + 30.0), 2),
        peak_attempts_per_second=peak,
        succeeded_fraction_after_return=round(
            sum(c.succeeded_at is not None for c in after) / len(after), 3
        ),
        seconds_to_recover=_recovery_seconds(simulation.calls, scenario),
    )


def _recovery_seconds(calls: list[_Call], scenario: Scenario) -> float | None:
    last_degraded_second: float | None = None
    for second in range(int(scenario.outage_end_seconds), int(scenario.end_seconds) - 1):
        new_calls = [c for c in calls if second <= c.started_at < second + 1]
        first_attempt_successes = sum(
            c.succeeded_at is not None and c.attempts == 1 for c in new_calls
        )
        if new_calls and first_attempt_successes < 0.95 * len(new_calls):
            last_degraded_second = second
    if last_degraded_second is not None and last_degraded_second >= scenario.end_seconds - 3:
        return None
    return (
        0.0
        if last_degraded_second is None
        else last_degraded_second + 1.0 - scenario.outage_end_seconds
    )


def main() -> None:
    """Print the figures of every policy as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    results = [run_policy(Scenario(), policy, arguments.seed) for policy in Policy]
    print(json.dumps([asdict(result) for result in results], indent=2))


if __name__ == "__main__":
    main()
