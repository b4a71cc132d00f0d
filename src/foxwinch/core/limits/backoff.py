"""Waiting times between attempts: exponential backoff with full jitter."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backoff:
    """Bounds of the waiting times, in seconds."""

    base_seconds: float
    """Upper bound before the first repeat."""
    cap_seconds: float
    """Upper bound before any repeat."""

    def wait_seconds(self, attempt: int, random_number: float) -> float:
        """Return the wait before repeat `attempt` (0 is the first).

        `random_number` is from 0 up to 1. The wait is spread evenly from 0 to the bound ("full
        jitter"), so that clients that failed together do not come back together.
        """
        bound = min(self.cap_seconds, self.base_seconds * 2.0 ** min(attempt, 32))
        return random_number * bound
