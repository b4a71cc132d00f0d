"""Circuit breaker of one backend: closed, open or half open.

An open circuit breaker rejects calls for a jittered time, then admits a single trial call to check
whether the backend has recovered. The caller supplies time and random numbers.
"""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from foxwinch.core.limits.backoff import Backoff

WINDOW_SECONDS = 10.0
"""Sliding window over which failures are counted."""
MIN_CALLS = 5
"""Minimum number of calls in the window needed to judge the backend."""
FAILURE_FRACTION = 0.5
OPEN_BACKOFF = Backoff(base_seconds=1.0, cap_seconds=4.0)
MIN_OPEN_SECONDS = 0.5
"""Lower bound of the open time, since full jitter alone could yield almost no wait."""
TRIAL_TIMEOUT_SECONDS = 30.0
"""Time after which a trial call without a result counts as lost and another is admitted."""


class CircuitState(StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, slots=True)
class _CallResult:
    at: float
    failed: bool


class CircuitBreaker:
    """Circuit breaker of one backend; callers check it before each call and report the result."""

    def __init__(self) -> None:
        self._state = CircuitState.CLOSED
        self._results: deque[_CallResult] = deque()
        self._consecutive_openings = 0
        self._open_until = 0.0
        self._trial_at: float | None = None

    def state(self, now: float) -> CircuitState:
        """Return the state at `now`."""
        if self._state is CircuitState.OPEN and now >= self._open_until:
            self._state, self._trial_at = CircuitState.HALF_OPEN, None
        return self._state

    def try_call(self, now: float) -> bool:
        """Return whether a call may be sent; a half-open breaker admits one call at a time."""
        state = self.state(now)
        if state is CircuitState.CLOSED:
            return True
        if state is CircuitState.OPEN:
            return False
        if self._trial_at is not None and now - self._trial_at < TRIAL_TIMEOUT_SECONDS:
            return False
        self._trial_at = now
        return True

    def wait_seconds(self, now: float) -> float:
        """Return the time to wait before the next attempt; 0 if a call may be sent now."""
        state = self.state(now)
        if state is CircuitState.OPEN:
            return self._open_until - now
        return MIN_OPEN_SECONDS if self._trial_at is not None else 0.0

    def record_success(self, now: float) -> None:
        """Record a call that the backend responded to, even if with an error response."""
        if self.state(now) is CircuitState.HALF_OPEN:
            self._state, self._consecutive_openings, self._trial_at = CircuitState.CLOSED, 0, None
            self._results.clear()
        self._record(False, now)

    def record_failure(self, now: float, random_number: float) -> None:
        """Record a call that the backend did not respond to."""
        state = self.state(now)
        self._record(True, now)
        if state is CircuitState.HALF_OPEN or (
            state is CircuitState.CLOSED and self._has_high_failure_rate()
        ):
            wait = OPEN_BACKOFF.wait_seconds(self._consecutive_openings, random_number)
            self._open_until = now + MIN_OPEN_SECONDS + wait
            self._consecutive_openings += 1
            self._state, self._trial_at = CircuitState.OPEN, None
            self._results.clear()

    def _record(self, failed: bool, now: float) -> None:
        self._results.append(_CallResult(now, failed))
        while self._results[0].at < now - WINDOW_SECONDS:
            self._results.popleft()

    def _has_high_failure_rate(self) -> bool:
        failures = sum(entry.failed for entry in self._results)
        count = len(self._results)
        return count >= MIN_CALLS and failures >= FAILURE_FRACTION * count
