"""The platform's table service as the fleet sees it: slow, counted, and sometimes down."""

from collections.abc import Callable
from typing import TypeVar

from foxwinch.bench.simulator import Simulator
from foxwinch.core.configuration.change import Change

Result = TypeVar("Result")
LATENCY_SECONDS = 0.02
TIMEOUT_SECONDS = 1.0
"""After which a caller gives up while the service is down."""


class TableModel:
    """Rows that the control code uses: the head of the configuration, and epochs."""

    def __init__(self, simulator: Simulator) -> None:
        """Start empty and up."""
        self.is_up = True
        self.operations = 0
        self.changes: list[Change] = []
        self.epochs: dict[str, int] = {}
        self._simulator = simulator

    @property
    def revision(self) -> int:
        """The newest revision of the configuration."""
        return len(self.changes)

    def operate(
        self, operation: Callable[[], Result], done: Callable[[Result | None], None]
    ) -> None:
        """Count and run an operation; None when the service is down."""
        self.operations += 1
        if not self.is_up:
            self._simulator.after(TIMEOUT_SECONDS, lambda: done(None))
            return

        def run() -> None:
            result = operation() if self.is_up else None
            self._simulator.after(LATENCY_SECONDS / 2, lambda: done(result))

        self._simulator.after(LATENCY_SECONDS / 2, run)

    def raise_epoch(self, resource: str) -> int:
        """Raise an epoch and return it."""
        self.epochs[resource] = self.epochs.get(resource, 0) + 1
        return self.epochs[resource]
