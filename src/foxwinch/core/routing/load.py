"""Worker load as observed by this node: its in-flight calls and their results.

Loads are kept by incarnation, so a restarted worker has no in-flight calls and no failures. A
worker that sheds load is avoided for a short fixed time; one that is unreachable or aborts a call
is avoided with exponential backoff. Avoided workers are still chosen when there is no other.
"""

import math
from dataclasses import dataclass

SHED_AVOIDANCE_SECONDS = 0.05
"""Avoidance time after load shedding: about the duration of one short request."""
FAILURE_AVOIDANCE_SECONDS = 0.4
"""Avoidance time after the first failure; it doubles with each consecutive failure."""
MAX_FAILURE_AVOIDANCE_SECONDS = 3.2
FAILURE_DOUBLINGS = 3
MAX_LOADS = 8_192
"""Maximum number of entries, above the worker count of the design size. When it is reached, workers
without in-flight calls are evicted."""
WAIT_SMOOTHING_FACTOR = 0.3
"""Smoothing factor: the weight of the newest observation in the smoothed wait."""
WAIT_HALF_LIFE_SECONDS = 1.0
"""About the duration of two turns, so that a slow worker is soon tried again."""


@dataclass(slots=True)
class WorkerLoad:
    """Load of one worker as observed by this node."""

    in_flight: int = 0
    """This node's calls in flight at the worker."""
    failures: int = 0
    """Consecutive failures."""
    avoid_until: float = 0.0
    """Time until which the worker is avoided, on the node's monotonic clock."""
    wait_seconds: float = 0.0
    """Smoothed time to the start of a response, as of `wait_updated_at`."""
    wait_updated_at: float = 0.0

    def expected_wait_seconds(self, now: float) -> float:
        """Return the expected time to the start of a response; it decays without observations."""
        half_lives = (now - self.wait_updated_at) / WAIT_HALF_LIFE_SECONDS
        return self.wait_seconds * math.exp2(-half_lives)

    def is_avoided(self, now: float) -> bool:
        """Return whether the worker should be avoided at `now`."""
        return now < self.avoid_until


class LoadTable:
    """Loads by worker incarnation."""

    def __init__(self) -> None:
        """Start without any load."""
        self._loads: dict[str, WorkerLoad] = {}

    def get_load(self, incarnation: str) -> WorkerLoad:
        """Return the load of a worker; a new worker gets an empty one."""
        load = self._loads.get(incarnation)
        if load is None:
            if len(self._loads) >= MAX_LOADS:
                self._loads = {key: entry for key, entry in self._loads.items() if entry.in_flight}
            load = self._loads[incarnation] = WorkerLoad()
        return load

    def call_started(self, incarnation: str) -> None:
        """Count a call as in flight."""
        self.get_load(incarnation).in_flight += 1

    def call_ended(self, incarnation: str) -> None:
        """Stop counting a call as in flight, whatever its result."""
        self.get_load(incarnation).in_flight -= 1

    def record_response_start(self, incarnation: str, seconds: float, now: float) -> None:
        """Record the time that a worker took to start a response.

        It reflects the load from other nodes, whose calls are not visible to this one.
        """
        load = self.get_load(incarnation)
        expected = load.expected_wait_seconds(now)
        load.wait_seconds = expected + WAIT_SMOOTHING_FACTOR * (seconds - expected)
        load.wait_updated_at = now

    def record_success(self, incarnation: str) -> None:
        """Record a complete response that is a success."""
        load = self.get_load(incarnation)
        load.failures = 0

    def record_shed(self, incarnation: str, now: float) -> None:
        """Record that a worker shed a call because it was full."""
        load = self.get_load(incarnation)
        load.avoid_until = max(load.avoid_until, now + SHED_AVOIDANCE_SECONDS)

    def record_failure(self, incarnation: str, now: float) -> None:
        """Record that a worker was unreachable, aborted its response or sent an invalid one."""
        load = self.get_load(incarnation)
        wait = FAILURE_AVOIDANCE_SECONDS * 2.0 ** min(load.failures, FAILURE_DOUBLINGS)
        load.failures += 1
        load.avoid_until = max(load.avoid_until, now + min(wait, MAX_FAILURE_AVOIDANCE_SECONDS))
