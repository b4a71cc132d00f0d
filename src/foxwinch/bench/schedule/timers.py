"""Virtual time of a simulation: callbacks in the order of their times."""

import heapq
from collections.abc import Callable

Callback = Callable[[float], None]
"""Called with the time at which it is due, in seconds."""


class TimerQueue:
    """Callbacks by time; those of one moment run in the order in which they were added."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, Callback]] = []
        self._added = 0

    def add(self, at_seconds: float, callback: Callback) -> None:
        """Run `callback` at a time."""
        self._added += 1
        heapq.heappush(self._heap, (at_seconds, self._added, callback))

    def run(self, end_seconds: float, goes_on: Callable[[], bool]) -> float:
        """Run callbacks while `goes_on` up to the end; returns the time of the last one, seconds.

        The last one is the first that is due at or after the end, where there is one.
        """
        now = 0.0
        while goes_on() and self._heap and now < end_seconds:
            now, _, callback = heapq.heappop(self._heap)
            callback(now)
        return now
