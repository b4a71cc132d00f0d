"""Virtual time: a queue of events in the order of their times."""

import heapq
from collections.abc import Callable


class Simulator:
    """Runs callbacks at virtual times, in seconds; equal times run in the order of scheduling."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._scheduled = 0

    def at(self, seconds: float, callback: Callable[[], object]) -> None:
        """Run `callback` at that time, or now if it has passed."""
        self._scheduled += 1
        heapq.heappush(self._queue, (max(seconds, self.now), self._scheduled, callback))

    def after(self, seconds: float, callback: Callable[[], object]) -> None:
        """Run `callback` so much later."""
        self.at(self.now + seconds, callback)

    def every(self, period_seconds: float, callback: Callable[[], object], first: float) -> None:
        """Run `callback` at `first` and then in every period, for ever."""

        def run() -> None:
            callback()
            self.after(period_seconds, run)

        self.at(first, run)

    def run_until(self, seconds: float) -> None:
        """Run every event up to that time."""
        while self._queue and self._queue[0][0] <= seconds:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = seconds

    def run_while(self, goes_on: Callable[[], bool], limit_seconds: float) -> None:
        """Run events one by one while `goes_on`, none after the first at or past the limit."""
        while goes_on() and self._queue and self.now < limit_seconds:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
