"""In-memory model of the platform's machine list, which is published with a lag."""

from collections import deque
from dataclasses import replace

from foxwinch.storage.ports import Machine

MAX_PAST_LISTS = 1_000
"""Number of past lists kept, which bounds how far back a lag can reach."""


class MachineModel:
    """The current list of machines and its history; times are seconds on a monotonic clock."""

    def __init__(self, machines: tuple[Machine, ...] = ()) -> None:
        """Start with machines that have always been listed."""
        self._history: deque[tuple[float, tuple[Machine, ...]]] = deque(
            [(float("-inf"), machines)], maxlen=MAX_PAST_LISTS
        )

    @property
    def current(self) -> tuple[Machine, ...]:
        """Current list, without lag."""
        return self._history[-1][1]

    def change(self, machines: tuple[Machine, ...], now: float) -> None:
        """Replace the list as of `now`."""
        self._history.append((now, machines))

    def mark_leaving(self, name: str, now: float) -> None:
        """Mark one machine as leaving."""
        changed = (replace(m, leaving=True) if m.name == name else m for m in self.current)
        self.change(tuple(changed), now)

    def remove(self, name: str, now: float) -> None:
        """Remove one machine from the list."""
        self.change(tuple(m for m in self.current if m.name != name), now)

    def listed(self, now: float, lag_seconds: float) -> tuple[Machine, ...]:
        """Return the list as it was `lag_seconds` ago."""
        for since, machines in reversed(self._history):
            if since <= now - lag_seconds:
                return machines
        return self._history[0][1]
