"""Discrete-event simulation in virtual time."""

import heapq
from collections.abc import Callable


class Simulator:
    """Runs callbacks at virtual times in seconds; callbacks of equal times run in FIFO order."""

    def __init__(self) -> None:
        """Start the virtual time at 0."""
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._scheduled = 0

    def at(self, seconds: float, callback: Callable[[], object]) -> None:
        """Schedule `callback` at a time, or now if that has passed."""
        self._scheduled += 1
        heapq.heappush(self._queue, (max(seconds, self.now), self._scheduled, callback))

    def after(self, seconds: float, callback: Callable[[], object]) -> None:
        """Schedule `callback` after a delay."""
        self.at(self.now + seconds, callback)

    def every(self, period_seconds: float, callback: Callable[[], object], first: float) -> None:
        """Schedule `callback` at `first` and then once per period without end."""

        def run() -> None:
            callback()
            self.after(period_seconds, run)

        self.at(first, run)

    def run_until(self, seconds: float) -> None:
        """Run all events up to and including a time, and advance the clock to it."""
        while self._queue and self._queue[0][0] <= seconds:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = seconds

    def run_while(self, condition: Callable[[], bool], limit_seconds: float) -> None:
        """Run events while `condition` holds; stop after the first one at or past the limit."""
        while condition() and self._queue and self.now < limit_seconds:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
