"""Policies to compare with: what is usually put before a pool of engines.

Each sends a call on at once and leaves the queue to the engine, which takes calls by priority,
then first come first served. They know exactly what they have sent where, which is more than the
lagging load reports would tell them, and the affinity router reads the same cache events as
foxwinch.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from foxwinch.core.coordinator.actions import Dispatch, PoolAction, ResyncCache
from foxwinch.core.coordinator.cache_index import CacheIndex
from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.events import (
    CacheChanged,
    CallArrived,
    CallFinished,
    CallWithdrawn,
    PoolEvent,
    WorkerJoined,
)
from foxwinch.identifiers import CallId, WorkerId

LOAD_BOUND = 1.25
"""Affinity holds while a worker has at most this multiple of the mean number of calls: the value
commonly used for consistent hashing with bounded loads."""
LOAD_SLACK = 2
"""And so many calls more, so that the bound means something on an idle pool."""


class ImmediateDispatch(ABC):
    """Common to all baselines: choose a worker on arrival; subclasses say which."""

    uses_priority = False

    def __init__(self) -> None:
        """Start without workers."""
        self.outstanding: dict[WorkerId, dict[CallId, PoolCall]] = {}

    def handle(self, event: PoolEvent, now: float) -> Sequence[PoolAction]:
        """Dispatch each call as it arrives."""
        match event:
            case WorkerJoined():
                self.outstanding[event.description.worker] = {}
            case CallArrived():
                worker = self.choose(event.call, now)
                self.outstanding[worker][event.call.call_id] = event.call
                priority = event.call.class_rank if self.uses_priority else 0
                return [Dispatch(event.call.call_id, worker, priority, 0, 0.0, "")]
            case CallFinished() | CallWithdrawn():
                for calls in self.outstanding.values():
                    calls.pop(event.call_id, None)
        return []

    @abstractmethod
    def choose(self, call: PoolCall, now: float) -> WorkerId:
        """Return the worker for a call."""

    def least_loaded(self) -> WorkerId:
        """Return the worker with the fewest calls."""
        return min(self.outstanding, key=lambda worker: len(self.outstanding[worker]))


class RoundRobin(ImmediateDispatch):
    """One worker after another, first come first served."""

    def __init__(self) -> None:
        """Start with the first worker."""
        super().__init__()
        self._next = 0

    def choose(self, call: PoolCall, now: float) -> WorkerId:
        """Return the next worker."""
        workers = list(self.outstanding)
        self._next += 1
        return workers[self._next % len(workers)]


class LeastLoaded(ImmediateDispatch):
    """The worker with the fewest calls, first come first served."""

    def choose(self, call: PoolCall, now: float) -> WorkerId:
        """Return the least loaded worker."""
        return self.least_loaded()


class ClassPriority(LeastLoaded):
    """The worker with the fewest calls; engines take calls by class."""

    uses_priority = True


class PrefixAffinity(ImmediateDispatch):
    """The worker with the longest cached prefix, within a bound on load; by class in the engine."""

    uses_priority = True

    def __init__(self) -> None:
        """Start with nothing known to be cached."""
        super().__init__()
        self._indexes: dict[WorkerId, CacheIndex] = {}

    def handle(self, event: PoolEvent, now: float) -> Sequence[PoolAction]:
        """Keep the index by what is sent and by cache events."""
        if isinstance(event, WorkerJoined):
            blocks = event.description.cache_blocks
            self._indexes[event.description.worker] = CacheIndex(blocks)
        if isinstance(event, CacheChanged):
            return self._cache_changed(event, now)
        return super().handle(event, now)

    def _cache_changed(self, event: CacheChanged, now: float) -> Sequence[PoolAction]:
        self._indexes[event.worker].apply(event.changes, now)
        return [ResyncCache(event.worker)] if event.gap else []

    def choose(self, call: PoolCall, now: float) -> WorkerId:
        """Return the worker with the longest prefix among those not overloaded."""
        counts = {worker: len(calls) for worker, calls in self.outstanding.items()}
        bound = LOAD_BOUND * sum(counts.values()) / len(counts) + LOAD_SLACK
        allowed = [worker for worker in counts if counts[worker] <= bound]
        best = min(
            allowed,
            key=lambda w: (-self._indexes[w].cached_prefix(call.prefix_hashes), counts[w]),
        )
        self._indexes[best].use(call.prefix_hashes, call.program_id, now)
        return best
