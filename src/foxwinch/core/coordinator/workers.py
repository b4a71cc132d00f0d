"""A worker of the pool as its scheduler sees it: places, memory and cache."""

from dataclasses import dataclass, field

from foxwinch.core.coordinator.cache_index import CacheIndex
from foxwinch.core.coordinator.calls import PoolCall, WorkerDescription
from foxwinch.identifiers import CallId


@dataclass(slots=True, eq=False)
class PlacedCall:
    """A call that holds a place on a worker: running, or waiting there for its prefix to arrive."""

    call: PoolCall
    worker: "WorkerState"
    placed_at_seconds: float
    arrived_at_seconds: float
    expected_cached_tokens: int
    expected_end_seconds: float
    private_blocks: int
    """Blocks for the answer and the last, partial block of the prompt."""
    reason: str
    copied_blocks: int = 0
    dispatched_at_seconds: float | None = None
    """None while its prefix is being copied."""


@dataclass(slots=True, eq=False)
class WorkerState:
    """One worker."""

    description: WorkerDescription
    index: CacheIndex
    leaving: bool = False
    placed: dict[CallId, PlacedCall] = field(default_factory=dict)
    urgent: int = 0
    """Placed calls of the most urgent rank."""
    prefill_until_seconds: float = 0.0
    """When the prefill that was sent there should be done."""
    _pinned: dict[int, int] = field(default_factory=dict)
    _private_blocks: int = 0

    @property
    def free_slots(self) -> int:
        """Places left in the batch."""
        return self.description.slots - len(self.placed)

    @property
    def pinned_blocks(self) -> int:
        """Blocks that placed calls need at their end."""
        return len(self._pinned) + self._private_blocks

    def fits(self, call: PoolCall, private_blocks: int) -> bool:
        """Tell whether prompt and answer find room beside the placed calls."""
        room = self.description.cache_blocks - self.pinned_blocks - private_blocks
        if room >= len(call.prefix_hashes):
            return True
        return sum(1 for h in call.prefix_hashes if h not in self._pinned) <= room

    def place(self, placed: PlacedCall) -> None:
        """Take a place and memory."""
        self.placed[placed.call.call_id] = placed
        self._private_blocks += placed.private_blocks
        for block_hash in placed.call.prefix_hashes:
            self._pinned[block_hash] = self._pinned.get(block_hash, 0) + 1
        if placed.call.class_rank == 0:
            self.urgent += 1

    def leave(self, placed: PlacedCall) -> None:
        """Give place and memory back."""
        del self.placed[placed.call.call_id]
        self._private_blocks -= placed.private_blocks
        for block_hash in placed.call.prefix_hashes:
            self._pinned[block_hash] -= 1
            if self._pinned[block_hash] == 0:
                del self._pinned[block_hash]
        if placed.call.class_rank == 0:
            self.urgent -= 1

    def next_place_seconds(self, now: float) -> float:
        """Return the predicted wait for a place."""
        if self.free_slots > 0:
            return 0.0
        ends = (placed.expected_end_seconds for placed in self.placed.values())
        return max(0.0, min(ends, default=now) - now)
