"""The owner's short-lived copy of who serves what, so that not every call reads all digests."""

from dataclasses import dataclass, field

from foxwinch.clock import Clock
from foxwinch.core.coordinator.assignment import Holder
from foxwinch.identifiers import ModelName, NodeId, WorkerId
from foxwinch.workers.coordinator_directory import (
    CoordinatorDirectory,
    ServingCoordinator,
    worker_resource,
)

KEPT_SECONDS = 0.05
"""Far below the time that a digest takes to spread; a wrong choice is refused and made again."""


@dataclass(slots=True)
class _Copy:
    read_at: float
    holders: dict[str, Holder]
    serving: dict[ModelName, list[ServingCoordinator]] = field(default_factory=dict)


class CoordinatorCache:
    """Reads the directory at most once in `KEPT_SECONDS`."""

    def __init__(self, directory: CoordinatorDirectory, clock: Clock) -> None:
        """Start without a copy."""
        self._directory = directory
        self._clock = clock
        self._copy: _Copy | None = None

    def serving(self, model: ModelName) -> list[ServingCoordinator]:
        """Return the coordinators with a worker that serves the model."""
        copy = self._fresh()
        found = copy.serving.get(model)
        if found is None:
            found = copy.serving[model] = self._directory.serving(model)
        return found

    def coordinator_of(self, worker: WorkerId) -> NodeId | None:
        """Return the node that holds a worker."""
        holder = self._fresh().holders.get(worker_resource(worker))
        return None if holder is None else holder.node

    def _fresh(self) -> _Copy:
        now = self._clock.monotonic()
        if self._copy is None or now - self._copy.read_at > KEPT_SECONDS:
            self._copy = _Copy(now, self._directory.holders())
        return self._copy
