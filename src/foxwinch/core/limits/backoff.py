"""Exponential backoff with full jitter."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backoff:
    """Bounds of the waits between attempts."""

    base_seconds: float
    """Upper bound of the wait before the first retry."""
    cap_seconds: float
    """Upper bound of the wait before any retry."""

    def wait_seconds(self, attempt: int, random_number: float) -> float:
        """Return the wait in seconds before retry `attempt` (0 is the first).

        `random_number` is in [0, 1). The wait is distributed uniformly from 0 to the bound (full
        jitter), so that clients that failed together do not retry together.
        """
        bound = min(self.cap_seconds, self.base_seconds * 2.0 ** min(attempt, 32))
        return random_number * bound
