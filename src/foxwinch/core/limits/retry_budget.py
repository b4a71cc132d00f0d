"""Bounds on repeats: a part of the first attempts, for each tenant and back end.

Without a bound, every layer that repeats multiplies the load of a back end that is in trouble.
"""

from dataclasses import dataclass

from cachetools import LRUCache

from foxwinch.identifiers import TenantName, WorkerId

RETRY_RATIO = 0.1
"""Repeats for each first attempt, in the long run."""
RETRY_BURST = 5.0
"""Repeats saved up; a quiet pair may repeat so many calls at once."""
MAX_PAIRS = 8_192


@dataclass(frozen=True, slots=True)
class RetryKey:
    """A tenant at a back end."""

    tenant: TenantName
    worker: WorkerId


class RetryBudget:
    """Repeats allowed to each pair of tenant and back end."""

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        """Allow `ratio` repeats for each first attempt, and up to `burst` at once."""
        self._ratio = ratio
        self._burst = burst
        self._saved: LRUCache[RetryKey, float] = LRUCache(MAX_PAIRS)

    def first_attempt(self, key: RetryKey) -> None:
        """Count a first attempt."""
        self._saved[key] = min(self._burst, self._saved.get(key, self._burst) + self._ratio)

    def try_repeat(self, key: RetryKey) -> bool:
        """Take one repeat from the budget; False: answer with the failure at once."""
        saved = self._saved.get(key, self._burst)
        if saved < 1.0:
            return False
        self._saved[key] = saved - 1.0
        return True
