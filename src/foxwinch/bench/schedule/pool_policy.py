"""What an experiment asks of a policy."""

from collections.abc import Sequence
from typing import Protocol

from foxwinch.core.coordinator.actions import PoolAction
from foxwinch.core.coordinator.events import PoolEvent


class PoolPolicy(Protocol):
    """What decides for the pool."""

    def handle(self, event: PoolEvent, now: float) -> Sequence[PoolAction]:
        """Take in an event and return what is to be done."""
        ...
