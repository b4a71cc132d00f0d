"""In-memory model of the platform's lagging list of machines."""

from collections import deque
from dataclasses import replace

from foxwinch.storage.ports import Machine

KEPT_LISTS = 1_000
"""Past lists that a lag may reach back to."""


class MachineModel:
    """The true list of machines and its past; times are seconds on a monotonic clock."""

    def __init__(self, machines: tuple[Machine, ...] = ()) -> None:
        """Start with machines that have always been listed."""
        self._past: deque[tuple[float, tuple[Machine, ...]]] = deque(
            [(float("-inf"), machines)], maxlen=KEPT_LISTS
        )

    @property
    def current(self) -> tuple[Machine, ...]:
        """The list as it is, without lag."""
        return self._past[-1][1]

    def change(self, machines: tuple[Machine, ...], now: float) -> None:
        """Replace the list from `now` on."""
        self._past.append((now, machines))

    def mark_leaving(self, name: str, now: float) -> None:
        """Mark one machine as leaving."""
        changed = (replace(m, leaving=True) if m.name == name else m for m in self.current)
        self.change(tuple(changed), now)

    def remove(self, name: str, now: float) -> None:
        """Take one machine off the list."""
        self.change(tuple(m for m in self.current if m.name != name), now)

    def listed(self, now: float, lag_seconds: float) -> tuple[Machine, ...]:
        """Return the list as it was `lag_seconds` ago."""
        for since, machines in reversed(self._past):
            if since <= now - lag_seconds:
                return machines
        return self._past[0][1]
