"""Retry rate after a zone returns, on virtual time: `python -m foxwinch.bench.retry_storm`.

One back end serves calls in order of arrival at a fixed rate. It is away for a time, in which every
attempt is refused. An attempt that waits longer than its timeout fails, though the back end still
serves it: that wasted work is what keeps a storm going. A call is repeated until its deadline, by
one of three policies; the last one is what foxwinch does.
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
    """How failed attempts are repeated."""

    FIXED = "fixed_1s"
    JITTER = "full_jitter"
    BUDGET = "full_jitter_budget_circuit"


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load, back end and outage; times in seconds."""

    calls_per_second: float = 80.0
    served_per_second: float = 100.0
    attempt_timeout: float = 2.0
    deadline: float = 30.0
    away_from: float = 30.0
    away_until: float = 90.0
    end: float = 210.0
    clients: int = 12
    """Nodes that send calls, each with a circuit and a budget of its own."""


@dataclass(frozen=True, slots=True)
class StormResult:
    """What was seen in the 30 s after the return, and how long it took to recover."""

    policy: str
    attempts_per_call_while_away: float
    attempts_per_call_after_return: float
    peak_attempts_per_second: int
    succeeded_fraction_after_return: float
    seconds_to_recover: float | None
    """From the return until 95% of a second's new calls succeed at the first attempt, for good."""


@dataclass(slots=True)
class _Call:
    started_at: float
    client: int
    attempts: int = 0
    done_at: float | None = None


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
        while at < self.scenario.end:
            at += self.random.expovariate(self.scenario.calls_per_second)
            call = _Call(at, self.random.randrange(self.scenario.clients))
            self.calls.append(call)
            self._push(at, "attempt", call)
        while self.queue:
            now, _, kind, call = heapq.heappop(self.queue)
            if kind == "attempt":
                self._attempt(call, now)
            elif kind == "answer":
                call.done_at = now
                self.circuits[call.client].record_success(now)
            else:
                self.circuits[call.client].record_failure(now, self.random.random())
                self._repeat(call, now)

    def _push(self, at: float, kind: str, call: _Call) -> None:
        heapq.heappush(self.queue, (at, next(self.order), kind, call))

    def _attempt(self, call: _Call, now: float) -> None:
        if self.policy is Policy.BUDGET:
            if call.attempts == 0:
                self.budgets[call.client].record_first_attempt(_KEY)
            if not self.circuits[call.client].try_call(now):
                return  # refused at once, with a time to come back
        call.attempts += 1
        self.attempts.append((now, call.attempts > 1))
        if self.scenario.away_from <= now < self.scenario.away_until:
            self._push(now + 0.01, "failure", call)
            return
        self.busy_until = max(self.busy_until, now) + 1.0 / self.scenario.served_per_second
        if self.busy_until - now > self.scenario.attempt_timeout:
            self._push(now + self.scenario.attempt_timeout, "failure", call)
        else:
            self._push(self.busy_until, "answer", call)

    def _repeat(self, call: _Call, now: float) -> None:
        if self.policy is Policy.FIXED:
            wait = 1.0
        else:
            wait = self.backoff.wait_seconds(call.attempts - 1, self.random.random())
        if now + wait > call.started_at + self.scenario.deadline:
            return
        if self.policy is Policy.BUDGET and not self.budgets[call.client].try_retry(_KEY):
            return
        self._push(now + wait, "attempt", call)


_KEY = RetryKey(TenantName("tenant"), WorkerId("worker"))


def run_policy(scenario: Scenario, policy: Policy, seed: int) -> StormResult:
    """Run one policy."""
    simulation = _Simulation(scenario, policy, seed)
    simulation.run()
    back = scenario.away_until

    def ratio(start: float, end: float) -> float:
        attempts = sum(start <= at < end for at, _ in simulation.attempts)
        return attempts / sum(start <= c.started_at < end for c in simulation.calls)

    after = [c for c in simulation.calls if back <= c.started_at < back + 30.0]
    peak = max(
        sum(second <= at < second + 1 for at, _ in simulation.attempts)
        for second in range(int(back), int(back) + 30)
    )
    return StormResult(
        policy=policy.value,
        attempts_per_call_while_away=round(ratio(scenario.away_from, back), 2),
        attempts_per_call_after_return=round(ratio(back, back + 30.0), 2),
        peak_attempts_per_second=peak,
        succeeded_fraction_after_return=round(
            sum(c.done_at is not None for c in after) / len(after), 3
        ),
        seconds_to_recover=_recovery(simulation.calls, scenario),
    )


def _recovery(calls: list[_Call], scenario: Scenario) -> float | None:
    last_bad: float | None = None
    for second in range(int(scenario.away_until), int(scenario.end) - 1):
        new = [c for c in calls if second <= c.started_at < second + 1]
        good = sum(c.done_at is not None and c.attempts == 1 for c in new)
        if new and good < 0.95 * len(new):
            last_bad = second
    if last_bad is not None and last_bad >= scenario.end - 3:
        return None
    return 0.0 if last_bad is None else last_bad + 1.0 - scenario.away_until


def main() -> None:
    """Print the results of every policy as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    results = [run_policy(Scenario(), policy, arguments.seed) for policy in Policy]
    print(json.dumps([asdict(result) for result in results], indent=2))


if __name__ == "__main__":
    main()
