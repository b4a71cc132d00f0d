"""What this node knows of each worker's load: its own calls under way, and how calls ended.

Loads are kept by incarnation: a worker that starts again has no call under way and no failure. One
that sheds, cannot be reached or breaks off is avoided for a while that grows with each
failure in a row. Avoided workers are still chosen when there is no other.
"""

import math
from dataclasses import dataclass

SHED_SECONDS = 0.05
"""A worker that was full is left alone for about one short piece of work."""
FAILURE_SECONDS = 0.4
"""After the first failure; doubled with each one in a row."""
MAX_FAILURE_SECONDS = 3.2
FAILURE_DOUBLINGS = 3
MAX_LOADS = 8_192
"""Above the workers of the design size; beyond it, workers without a call are forgotten."""
WAIT_GAIN = 0.3
"""Of the newest observation in the smoothed wait."""
WAIT_HALF_LIFE_SECONDS = 1.0
"""About two turns: a worker that was slow is tried again soon."""


@dataclass(slots=True)
class WorkerLoad:
    """One worker as seen from this node."""

    in_flight: int = 0
    """Calls of this node under way there."""
    failures: int = 0
    """Failures in a row."""
    avoid_until: float = 0.0
    """On the node's steady clock."""
    wait_seconds: float = 0.0
    """Smoothed time until the worker began to answer, as of `wait_at`."""
    wait_at: float = 0.0

    def expected_wait_seconds(self, now: float) -> float:
        """Return how long the worker takes to begin an answer; fades while nothing is seen."""
        half_lives = (now - self.wait_at) / WAIT_HALF_LIFE_SECONDS
        return self.wait_seconds * math.exp2(-half_lives)

    def avoided(self, now: float) -> bool:
        """Tell whether the worker is better left alone at `now`."""
        return now < self.avoid_until


class LoadTable:
    """Loads by the incarnation of a worker."""

    def __init__(self) -> None:
        """Start with nothing under way."""
        self._loads: dict[str, WorkerLoad] = {}

    def of(self, incarnation: str) -> WorkerLoad:
        """Return the load of a worker, empty for one that is new."""
        load = self._loads.get(incarnation)
        if load is None:
            if len(self._loads) >= MAX_LOADS:
                self._loads = {key: held for key, held in self._loads.items() if held.in_flight}
            load = self._loads[incarnation] = WorkerLoad()
        return load

    def began(self, incarnation: str) -> None:
        """Count a call that is sent."""
        self.of(incarnation).in_flight += 1

    def ended(self, incarnation: str) -> None:
        """Count a call out, however it ended."""
        self.of(incarnation).in_flight -= 1

    def began_to_answer(self, incarnation: str, seconds: float, now: float) -> None:
        """Take the time that a worker took to begin an answer.

        It tells of the calls of other nodes, which this one does not see.
        """
        load = self.of(incarnation)
        expected = load.expected_wait_seconds(now)
        load.wait_seconds = expected + WAIT_GAIN * (seconds - expected)
        load.wait_at = now

    def answered(self, incarnation: str) -> None:
        """Note that a worker gave a sound answer."""
        load = self.of(incarnation)
        load.failures = 0

    def shed(self, incarnation: str, now: float) -> None:
        """Note that a worker was full."""
        load = self.of(incarnation)
        load.avoid_until = max(load.avoid_until, now + SHED_SECONDS)

    def failed(self, incarnation: str, now: float) -> None:
        """Note that a worker could not be reached, broke off or answered wrong."""
        load = self.of(incarnation)
        wait = FAILURE_SECONDS * 2.0 ** min(load.failures, FAILURE_DOUBLINGS)
        load.failures += 1
        load.avoid_until = max(load.avoid_until, now + min(wait, MAX_FAILURE_SECONDS))
