"""Priority queue of the waiting calls of a pool.

The sort key is a time: the arrival plus an offset for the class, or earlier if the deadline
requires it. Keys never change, so a call that has waited longer than the largest offset precedes
every new call. This bounds starvation.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedKeyList

from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.policy import PolicySettings
from foxwinch.identifiers import CallId


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A queued call."""

    call: PoolCall
    key_seconds: float
    sequence: int
    arrived_at_seconds: float
    expected_seconds: float
    """Expected duration in a batch, for predicting waits."""


def order_key(
    policy: PolicySettings,
    call: PoolCall,
    arrived_at: float,
    step_began_at: float,
    expected_seconds: float,
) -> float:
    """Return the sort key of a call; calls with a lower key are placed first.

    `step_began_at` is the start of the parallel step that the call belongs to.
    """
    features = policy.features
    if features.class_order and call.class_rank == 0:
        return arrived_at - policy.class_step_seconds
    offset = 0.0
    if features.class_order:
        offset += policy.class_step_seconds * (call.class_rank - 1)
    key = (step_began_at if features.critical_path else arrived_at) + offset
    if features.deadline_order:
        key = min(key, max(arrived_at, call.deadline_at_seconds - expected_seconds))
    return key


class WaitingCalls:
    """Queued calls in key order."""

    def __init__(self) -> None:
        self._ordered = SortedKeyList(key=lambda w: (w.key_seconds, w.sequence))
        self._by_id: dict[CallId, WaitingCall] = {}
        self._seconds_by_rank: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._by_id)

    def __contains__(self, call_id: CallId) -> bool:
        """Return whether a call is queued."""
        return call_id in self._by_id

    def __iter__(self) -> Iterator[WaitingCall]:
        """Iterate in key order; the queue must not change during the iteration."""
        return iter(self._ordered)

    def first(self, count: int) -> list[WaitingCall]:
        """Return the first `count` calls in key order."""
        return list(self._ordered.islice(0, count))

    def add(self, waiting: WaitingCall) -> None:
        """Add a call to the queue."""
        self._ordered.add(waiting)
        self._by_id[waiting.call.call_id] = waiting
        rank = waiting.call.class_rank
        self._seconds_by_rank[rank] = (
            self._seconds_by_rank.get(rank, 0.0) + waiting.expected_seconds
        )

    def remove(self, call_id: CallId) -> WaitingCall | None:
        """Remove and return a call, or return None if it is not queued."""
        waiting = self._by_id.pop(call_id, None)
        if waiting is not None:
            self._ordered.remove(waiting)
            self._seconds_by_rank[waiting.call.class_rank] -= waiting.expected_seconds
        return waiting

    def expected_seconds(self, rank: int) -> float:
        """Return the total expected duration of queued calls at least as urgent as `rank`."""
        return sum(s for r, s in self._seconds_by_rank.items() if r <= rank)
