"""Whether a model call is dispatched to a back end, and whether and when it is dispatched again.

One object serves all calls of a node: a circuit for each back end and a budget of repeats for each
tenant at a back end. A call that is not repeated keeps the run state of what was tried.
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
"""When a caller may come back that was refused because the budget of repeats is spent."""
MAX_CIRCUITS = 4_096
"""Above the workers of the largest document."""
BACKEND_REASONS = frozenset({Reason.BACKEND_UNAVAILABLE, Reason.BACKEND_FAILED})
"""The back end did not do its work: counted by its circuit and paid for by the budget."""
UNSETTLED_REASONS = frozenset({Reason.CANCELLED, Reason.BUDGET_EXHAUSTED})
"""The call was cut from this side, which says nothing of the back end."""


class CallRetries:
    """Circuits and budgets of one node; times are seconds on the monotonic clock."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        """Start with closed circuits and full budgets; metrics go to `registry`."""
        self._budget = RetryBudget()
        self._circuits: LRUCache[WorkerId, CircuitBreaker] = LRUCache(MAX_CIRCUITS)
        self._retries = Counter(
            "foxwinch_call_retries", "Repeated dispatches of model calls", registry=registry
        )
        self._refusals = Counter(
            "foxwinch_call_retry_refusals",
            "Dispatches of model calls that were not tried",
            ["cause"],
            registry=registry,
        )

    def refuse_dispatch(self, worker: WorkerId, now: float) -> Refused | None:
        """Return why nothing may be sent to a back end now; None lets one call pass."""
        circuit = self._circuit(worker)
        if circuit.try_call(now):
            return None
        self._refusals.labels("circuit_open").inc()
        detail = f"worker {worker} has failed too often and is left alone for a moment"
        wait = circuit.wait_seconds(now)
        return not_run(Reason.BACKEND_UNAVAILABLE, detail, wait)

    def ended(
        self,
        worker: WorkerId,
        end: GenerateFinished | Refused,
        now: float,
        uniform: Callable[[], float],
    ) -> None:
        """Tell the back end's circuit how a dispatch ended; `uniform` draws from 0 up to 1."""
        circuit = self._circuit(worker)
        if isinstance(end, GenerateFinished):
            circuit.record_success(now)
        elif end.reason in BACKEND_REASONS:
            circuit.record_failure(now, uniform())
        elif end.reason not in UNSETTLED_REASONS:
            circuit.record_success(now)

    def first_attempt(self, tenant: TenantName, worker: WorkerId) -> None:
        """Count a first attempt, of which a part may be repeated."""
        self._budget.record_first_attempt(RetryKey(tenant, worker))

    def may_repeat(self, tenant: TenantName, worker: WorkerId, end: Refused, sent: bool) -> bool:
        """Tell whether a call may be dispatched again after `end` at a back end.

        Repeats that no back end has caused cost nothing: after a change of the coordinator, and
        when nothing was sent because of an open circuit.
        """
        paid = sent and end.reason in BACKEND_REASONS
        if paid and not self._budget.try_retry(RetryKey(tenant, worker)):
            self._refusals.labels("budget_spent").inc()
            return False
        self._retries.inc()
        return True

    def wait_seconds(self, attempt: int, random_number: float) -> float:
        """Return the pause after dispatch `attempt` (1 is the first)."""
        return BACKOFF.wait_seconds(attempt - 1, random_number)

    def _circuit(self, worker: WorkerId) -> CircuitBreaker:
        found = self._circuits.get(worker)
        if found is None:
            found = self._circuits[worker] = CircuitBreaker()
        return found


def come_back(refused: Refused) -> Refused:
    """Return the refusal of a call that is not repeated, with a time to come back."""
    retry = refused.retry_after_seconds or RETRY_AFTER_SECONDS
    return replace(refused, retry_after_seconds=retry)
