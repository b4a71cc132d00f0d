"""Retry budgets: retries are limited to a fraction of first attempts per tenant and backend.

Without a bound, every layer that retries multiplies the load on an overloaded backend.
"""

from dataclasses import dataclass

from cachetools import LRUCache

from foxwinch.identifiers import TenantName, WorkerId

RETRY_RATIO = 0.1
"""Retries per first attempt in the long run."""
RETRY_BURST = 5.0
"""Retries that an idle pair of tenant and backend may make at once."""
MAX_PAIRS = 8_192


@dataclass(frozen=True, slots=True)
class RetryKey:
    """A pair of tenant and backend."""

    tenant: TenantName
    worker: WorkerId


class RetryBudget:
    """Retry allowance of each pair of tenant and backend."""

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        """Allow `ratio` retries per first attempt and up to `burst` at once."""
        self._ratio = ratio
        self._burst = burst
        self._allowances: LRUCache[RetryKey, float] = LRUCache(MAX_PAIRS)

    def record_first_attempt(self, key: RetryKey) -> None:
        """Record a first attempt, which adds to the allowance."""
        self._allowances[key] = min(
            self._burst, self._allowances.get(key, self._burst) + self._ratio
        )

    def try_retry(self, key: RetryKey) -> bool:
        """Take one retry from the budget; return False if the call must not be retried."""
        allowance = self._allowances.get(key, self._burst)
        if allowance < 1.0:
            return False
        self._allowances[key] = allowance - 1.0
        return True
