"""Short-lived cache of the coordinator directory, to avoid reading all digests for every call."""

from dataclasses import dataclass, field

from foxwinch.clock import Clock
from foxwinch.core.coordinator.assignment import Holder
from foxwinch.identifiers import ModelName, NodeId, WorkerId
from foxwinch.workers.coordinator_directory import (
    CoordinatorDirectory,
    ServingCoordinator,
    worker_resource,
)

CACHE_TTL_SECONDS = 0.05
"""Cache lifetime, far below the propagation time of a digest; after a stale choice the coordinator
refuses the request and the choice is repeated."""


@dataclass(slots=True)
class _Snapshot:
    read_at: float
    holders: dict[str, Holder]
    serving: dict[ModelName, list[ServingCoordinator]] = field(default_factory=dict)


class CoordinatorCache:
    """Cache that reads the directory at most once per `CACHE_TTL_SECONDS`."""

    def __init__(self, directory: CoordinatorDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._snapshot: _Snapshot | None = None

    def serving(self, model: ModelName) -> list[ServingCoordinator]:
        """Return the coordinators with a worker that serves the model."""
        snapshot = self._current()
        found = snapshot.serving.get(model)
        if found is None:
            found = snapshot.serving[model] = self._directory.serving(model)
        return found

    def coordinator_of(self, worker: WorkerId) -> NodeId | None:
        """Return the node that holds a worker, or None if no node does."""
        holder = self._current().holders.get(worker_resource(worker))
        return None if holder is None else holder.node

    def _current(self) -> _Snapshot:
        now = self._clock.monotonic()
        if self._snapshot is None or now - self._snapshot.read_at > CACHE_TTL_SECONDS:
            self._snapshot = _Snapshot(now, self._directory.holders())
        return self._snapshot
