"""Scheduler state of a worker: slots, reserved memory and cache index."""

from dataclasses import dataclass, field

from foxwinch.core.coordinator.cache_index import CacheIndex
from foxwinch.core.coordinator.calls import PoolCall, WorkerDescription
from foxwinch.identifiers import CallId


@dataclass(slots=True, eq=False)
class PlacedCall:
    """A call that occupies a slot on a worker while it runs or waits for its prefix transfer."""

    call: PoolCall
    worker: "WorkerState"
    placed_at_seconds: float
    arrived_at_seconds: float
    expected_cached_tokens: int
    expected_end_seconds: float
    private_blocks: int
    """Number of blocks for the answer and the last, partial block of the prompt."""
    reason: str
    copied_blocks: int = 0
    dispatched_at_seconds: float | None = None
    """Dispatch time, or None while the prefix is being copied."""


@dataclass(slots=True, eq=False)
class WorkerState:
    """One worker."""

    description: WorkerDescription
    index: CacheIndex
    leaving: bool = False
    placed: dict[CallId, PlacedCall] = field(default_factory=dict)
    urgent_calls: int = 0
    """Number of placed calls of the most urgent rank."""
    prefill_until_seconds: float = 0.0
    """Expected end of the dispatched prefill work."""
    _pinned: dict[int, int] = field(default_factory=dict)
    _private_blocks: int = 0

    @property
    def free_slots(self) -> int:
        """Number of free slots in the batch."""
        return self.description.slots - len(self.placed)

    @property
    def pinned_blocks(self) -> int:
        """Number of blocks that the placed calls need by the time they finish."""
        return len(self._pinned) + self._private_blocks

    def fits(self, call: PoolCall, private_blocks: int) -> bool:
        """Return whether the prompt and answer fit into the cache next to the placed calls."""
        free_blocks = self.description.cache_blocks - self.pinned_blocks - private_blocks
        if free_blocks >= len(call.prefix_hashes):
            return True
        return sum(1 for h in call.prefix_hashes if h not in self._pinned) <= free_blocks

    def add_call(self, placed: PlacedCall) -> None:
        """Occupy a slot and reserve memory for a call."""
        self.placed[placed.call.call_id] = placed
        self._private_blocks += placed.private_blocks
        for block_hash in placed.call.prefix_hashes:
            self._pinned[block_hash] = self._pinned.get(block_hash, 0) + 1
        if placed.call.class_rank == 0:
            self.urgent_calls += 1

    def remove_call(self, placed: PlacedCall) -> None:
        """Free the slot and the reserved memory of a call."""
        del self.placed[placed.call.call_id]
        self._private_blocks -= placed.private_blocks
        for block_hash in placed.call.prefix_hashes:
            self._pinned[block_hash] -= 1
            if self._pinned[block_hash] == 0:
                del self._pinned[block_hash]
        if placed.call.class_rank == 0:
            self.urgent_calls -= 1

    def next_slot_seconds(self, now: float) -> float:
        """Return the predicted time until a slot is free, in seconds."""
        if self.free_slots > 0:
            return 0.0
        ends = (placed.expected_end_seconds for placed in self.placed.values())
        return max(0.0, min(ends, default=now) - now)
