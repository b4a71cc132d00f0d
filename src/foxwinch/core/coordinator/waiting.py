"""The waiting calls of a pool in order of their keys.

A key is a time: arrival plus an offset for the class, or earlier where a deadline
asks for it. Keys never change, so a call that has waited longer than the largest offset goes
before every newcomer: that is the bound on starvation.
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
    """Expected time in a batch, for predicted waits."""


def order_key(
    policy: PolicySettings,
    call: PoolCall,
    arrived_at: float,
    step_began_at: float,
    expected_seconds: float,
) -> float:
    """Return a call's place in the order; lower goes first.

    `step_began_at` is when the parallel step that the call belongs to began.
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
    """Queued calls by key."""

    def __init__(self) -> None:
        """Start empty."""
        self._ordered = SortedKeyList(key=lambda w: (w.key_seconds, w.sequence))
        self._by_id: dict[CallId, WaitingCall] = {}
        self._seconds_by_rank: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._by_id)

    def __contains__(self, call_id: CallId) -> bool:
        """Tell whether a call is queued."""
        return call_id in self._by_id

    def __iter__(self) -> Iterator[WaitingCall]:
        """Iterate from the first in order; the queue must not be changed meanwhile."""
        return iter(self._ordered)

    def first(self, count: int) -> list[WaitingCall]:
        """Return the first calls in order."""
        return list(self._ordered.islice(0, count))

    def add(self, waiting: WaitingCall) -> None:
        """Queue a call."""
        self._ordered.add(waiting)
        self._by_id[waiting.call.call_id] = waiting
        rank = waiting.call.class_rank
        self._seconds_by_rank[rank] = (
            self._seconds_by_rank.get(rank, 0.0) + waiting.expected_seconds
        )

    def remove(self, call_id: CallId) -> WaitingCall | None:
        """Take a call out; None when it is not queued."""
        waiting = self._by_id.pop(call_id, None)
        if waiting is not None:
            self._ordered.remove(waiting)
            self._seconds_by_rank[waiting.call.class_rank] -= waiting.expected_seconds
        return waiting

    def expected_seconds(self, rank: int) -> float:
        """Return the batch time that queued calls at least as urgent as `rank` will take."""
        return sum(s for r, s in self._seconds_by_rank.items() if r <= rank)
