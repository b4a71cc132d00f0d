"""Circuit breakers and retry budgets for the model calls of one node.

There is one circuit breaker per worker and one retry budget per tenant and worker. A call that is
not retried keeps the run state of what was attempted.
"""

from collections.abc import Callable
from dataclasses import replace

from cachetools import LRUCache
from prometheus_client import CollectorRegistry, Counter

from foxwinch.backends.ports import GenerateFinished
from foxwinch.core.limits.backoff import Backoff
from foxwinch.core.limits.circuit_breaker import CircuitBreaker
from foxwinch.core.limits.retry_budget import RetryBudget, RetryKey
from foxwinch.identifiers import TenantName, WorkerId
from foxwinch.outcomes import Reason, Refused, not_run

BACKOFF = Backoff(base_seconds=0.1, cap_seconds=2.0)
RETRY_AFTER_SECONDS = 1.0
"""Retry-After for a call that was refused because the retry budget is exhausted."""
MAX_CIRCUITS = 4_096
"""Greater than the number of workers in the largest configuration."""
BACKEND_FAILURE_REASONS = frozenset({Reason.BACKEND_UNAVAILABLE, Reason.BACKEND_FAILED})
"""Failures of the backend: they count in its circuit breaker, and retries draw on the budget."""
NEUTRAL_REASONS = frozenset({Reason.CANCELLED, Reason.BUDGET_EXHAUSTED})
"""Ends that this node caused and that are no evidence about the backend's health."""


class CallRetries:
    """Circuit breakers and retry budgets of one node; times are monotonic seconds."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        """Start with closed circuits and full budgets; register the metrics with `registry`."""
        self._budget = RetryBudget()
        self._circuits: LRUCache[WorkerId, CircuitBreaker] = LRUCache(MAX_CIRCUITS)
        self._retries = Counter(
            "foxwinch_call_retries", "Model call dispatches that were retries", registry=registry
        )
        self._refusals = Counter(
            "foxwinch_call_retry_refusals",
            "Model call dispatches that were refused by a circuit breaker or a retry budget",
            ["cause"],
            registry=registry,
        )

    def check_circuit(self, worker: WorkerId, now: float) -> Refused | None:
        """Return a refusal if the worker's circuit is open; None admits one call."""
        circuit = self._circuit(worker)
        if circuit.try_call(now):
            return None
        self._refusals.labels("circuit_open").inc()
        detail = f"the circuit breaker of worker {worker} is open after repeated failures"
        wait = circuit.wait_seconds(now)
        return not_run(Reason.BACKEND_UNAVAILABLE, detail, wait)

    def record_end(
        self,
        worker: WorkerId,
        end: GenerateFinished | Refused,
        now: float,
        uniform: Callable[[], float],
    ) -> None:
        """Record the end of a dispatch in the worker's circuit; `uniform` draws from [0, 1)."""
        circuit = self._circuit(worker)
        if isinstance(end, GenerateFinished):
            circuit.record_success(now)
        elif end.reason in BACKEND_FAILURE_REASONS:
            circuit.record_failure(now, uniform())
        elif end.reason not in NEUTRAL_REASONS:
            circuit.record_success(now)

    def record_first_attempt(self, tenant: TenantName, worker: WorkerId) -> None:
        """Add a first attempt to the retry budget, which allows a fraction of them as retries."""
        self._budget.record_first_attempt(RetryKey(tenant, worker))

    def try_retry(self, tenant: TenantName, worker: WorkerId, end: Refused, sent: bool) -> bool:
        """Take one retry after a dispatch ended with `end`; returns False if the budget is spent.

        Retries that no backend failure caused are free: those after a change of the coordinator,
        and those after an open circuit, where nothing was sent.
        """
        uses_budget = sent and end.reason in BACKEND_FAILURE_REASONS
        if uses_budget and not self._budget.try_retry(RetryKey(tenant, worker)):
            self._refusals.labels("budget_spent").inc()
            return False
        self._retries.inc()
        return True

    def wait_seconds(self, attempt: int, random_number: float) -> float:
        """Return the backoff after dispatch `attempt` (1 is the first)."""
        return BACKOFF.wait_seconds(attempt - 1, random_number)

    def _circuit(self, worker: WorkerId) -> CircuitBreaker:
        circuit = self._circuits.get(worker)
        if circuit is None:
            circuit = self._circuits[worker] = CircuitBreaker()
        return circuit


def with_retry_after(refused: Refused) -> Refused:
    """Return the refusal with a Retry-After, for a call that is not retried."""
    retry = refused.retry_after_seconds or RETRY_AFTER_SECONDS
    return replace(refused, retry_after_seconds=retry)
