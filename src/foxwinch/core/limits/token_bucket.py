"""Token bucket without a clock of its own, used by every rate limit.

`reserve` and `charge` may take the balance below zero, so that work whose size is known only
afterwards can be charged later.
"""

from dataclasses import dataclass

BALANCE_TOLERANCE = 1e-9
"""Tolerance in tokens, so that rounding of accumulated fractions does not withhold a token."""


@dataclass(slots=True)
class TokenBucket:
    """A bucket that refills at a rate up to a capacity; times are monotonic seconds."""

    rate_per_second: float
    capacity: float
    balance: float
    """Tokens at `updated_at_seconds`; negative while more is reserved than has been refilled."""
    updated_at_seconds: float

    @classmethod
    def full(cls, rate_per_second: float, capacity: float, now: float) -> "TokenBucket":
        """Return a full bucket."""
        return cls(rate_per_second, capacity, capacity, now)

    def available(self, now: float) -> float:
        """Return the balance at `now`."""
        self._refill(now)
        return self.balance

    def try_take(self, amount: float, now: float) -> bool:
        """Take `amount` if it is available, otherwise nothing; return whether it was taken."""
        self._refill(now)
        if self.balance + BALANCE_TOLERANCE < amount:
            return False
        self.balance -= amount
        return True

    def wait_seconds(self, amount: float, now: float) -> float:
        """Return the time until `amount` is available; infinite if it never will be."""
        self._refill(now)
        missing = amount - self.balance
        if missing <= BALANCE_TOLERANCE:
            return 0.0
        if amount > self.capacity or self.rate_per_second <= 0:
            return float("inf")
        return missing / self.rate_per_second

    def reserve(self, amount: float, now: float) -> float:
        """Take `amount` unconditionally and return the seconds to wait before using it."""
        self._refill(now)
        self.balance -= amount
        if self.balance >= -BALANCE_TOLERANCE:
            return 0.0
        if self.rate_per_second <= 0:
            return float("inf")
        return -self.balance / self.rate_per_second

    def charge(self, amount: float, now: float) -> None:
        """Take `amount`, below zero if necessary; a negative amount returns tokens."""
        self._refill(now)
        self.balance = min(self.capacity, self.balance - amount)

    def pause_for(self, seconds: float, now: float) -> None:
        """Make no tokens available for `seconds`, as requested by a Retry-After header."""
        self._refill(now)
        self.balance = min(self.balance, -seconds * self.rate_per_second)

    def change_rate(self, rate_per_second: float, capacity: float, now: float) -> None:
        """Change the rate and capacity as of `now`."""
        self._refill(now)
        self.rate_per_second = rate_per_second
        self.capacity = capacity
        self.balance = min(self.balance, capacity)

    def _refill(self, now: float) -> None:
        elapsed = now - self.updated_at_seconds
        if elapsed <= 0:
            return
        self.balance = min(self.capacity, self.balance + elapsed * self.rate_per_second)
        self.updated_at_seconds = now
