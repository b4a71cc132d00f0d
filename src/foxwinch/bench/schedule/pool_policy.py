"""Interface of the policies in an experiment."""

from collections.abc import Sequence
from typing import Protocol

from foxwinch.core.coordinator.actions import PoolAction
from foxwinch.core.coordinator.events import PoolEvent


class PoolPolicy(Protocol):
    """Makes the scheduling decisions of a pool."""

    def handle(self, event: PoolEvent, now: float) -> Sequence[PoolAction]:
        """Handle an event and return the actions to execute."""
        ...
