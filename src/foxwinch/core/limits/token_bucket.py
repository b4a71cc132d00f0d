"""A token bucket over a time that is given: the arithmetic of every rate limit.

The balance may go below zero by `reserve` and `charge`, so that work whose size is known only
afterwards is paid for later.
"""

from dataclasses import dataclass

BALANCE_TOLERANCE = 1e-9
"""Tokens; repeated additions of fractions must not refuse a whole token."""


@dataclass(slots=True)
class TokenBucket:
    """Tokens that grow at a rate up to a capacity; times are seconds on a monotonic clock."""

    rate_per_second: float
    capacity: float
    balance: float
    """Tokens at `updated_at_seconds`; below zero while more was reserved than had grown."""
    updated_at_seconds: float

    @classmethod
    def full(cls, rate_per_second: float, capacity: float, now: float) -> "TokenBucket":
        """Return a bucket that starts full."""
        return cls(rate_per_second, capacity, capacity, now)

    def available(self, now: float) -> float:
        """Return the balance at `now`."""
        self._grow(now)
        return self.balance

    def try_take(self, amount: float, now: float) -> bool:
        """Take `amount` if it is there; otherwise take nothing."""
        self._grow(now)
        if self.balance + BALANCE_TOLERANCE < amount:
            return False
        self.balance -= amount
        return True

    def wait_seconds(self, amount: float, now: float) -> float:
        """Return the time until `amount` is there; infinite when the bucket never holds it."""
        self._grow(now)
        missing = amount - self.balance
        if missing <= BALANCE_TOLERANCE:
            return 0.0
        if amount > self.capacity or self.rate_per_second <= 0:
            return float("inf")
        return missing / self.rate_per_second

    def reserve(self, amount: float, now: float) -> float:
        """Take `amount` in any case and return how long to wait before it may be used."""
        self._grow(now)
        self.balance -= amount
        if self.balance >= -BALANCE_TOLERANCE:
            return 0.0
        if self.rate_per_second <= 0:
            return float("inf")
        return -self.balance / self.rate_per_second

    def charge(self, amount: float, now: float) -> None:
        """Take `amount` even below zero; a negative amount gives tokens back."""
        self._grow(now)
        self.balance = min(self.capacity, self.balance - amount)

    def pause_for(self, seconds: float, now: float) -> None:
        """Let nothing pass for `seconds`, as a server's Retry-After asks for."""
        self._grow(now)
        self.balance = min(self.balance, -seconds * self.rate_per_second)

    def change_rate(self, rate_per_second: float, capacity: float, now: float) -> None:
        """Go on at another rate from `now`."""
        self._grow(now)
        self.rate_per_second = rate_per_second
        self.capacity = capacity
        self.balance = min(self.balance, capacity)

    def _grow(self, now: float) -> None:
        elapsed = now - self.updated_at_seconds
        if elapsed <= 0:
            return
        self.balance = min(self.capacity, self.balance + elapsed * self.rate_per_second)
        self.updated_at_seconds = now
