"""Baseline policies: common load balancers for a pool of inference engines.

Each baseline dispatches a call on arrival and leaves queueing to the engine, which orders calls by
priority, then by arrival. A baseline tracks its own dispatches exactly, which is more information
than delayed load reports provide. The affinity router reads the same cache events as foxwinch.
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
"""Highest load of an affinity worker, as a multiple of the mean number of calls per worker.

The value is the one commonly used for consistent hashing with bounded loads."""
LOAD_SLACK = 2
"""Calls added to `LOAD_BOUND`, so that the bound also works on an idle pool."""


class ImmediateDispatch(ABC):
    """Base of the baselines: dispatch every call on arrival; subclasses choose the worker."""

    uses_priority = False

    def __init__(self) -> None:
        """Create a policy without workers."""
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
    """Cycle through the workers; engines serve calls in order of arrival."""

    def __init__(self) -> None:
        """Create a policy without workers."""
        super().__init__()
        self._next = 0

    def choose(self, call: PoolCall, now: float) -> WorkerId:
        """Return the next worker."""
        workers = list(self.outstanding)
        self._next += 1
        return workers[self._next % len(workers)]


class LeastLoaded(ImmediateDispatch):
    """Choose the worker with the fewest calls; engines serve calls in order of arrival."""

    def choose(self, call: PoolCall, now: float) -> WorkerId:
        """Return the least loaded worker."""
        return self.least_loaded()


class ClassPriority(LeastLoaded):
    """Choose the worker with the fewest calls; engines serve calls by class."""

    uses_priority = True


class PrefixAffinity(ImmediateDispatch):
    """Choose the longest cached prefix within a load bound; engines serve calls by class."""

    uses_priority = True

    def __init__(self) -> None:
        """Create a policy with empty cache indexes."""
        super().__init__()
        self._indexes: dict[WorkerId, CacheIndex] = {}

    def handle(self, event: PoolEvent, now: float) -> Sequence[PoolAction]:
        """Update the cache indexes from dispatches and cache events."""
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
        """Return the worker with the longest cached prefix among those within the load bound."""
        counts = {worker: len(calls) for worker, calls in self.outstanding.items()}
        bound = LOAD_BOUND * sum(counts.values()) / len(counts) + LOAD_SLACK
        allowed = [worker for worker in counts if counts[worker] <= bound]
        best = min(
            allowed,
            key=lambda w: (-self._indexes[w].cached_prefix(call.prefix_hashes), counts[w]),
        )
        self._indexes[best].use(call.prefix_hashes, call.program_id, now)
        return best
