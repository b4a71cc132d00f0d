"""What a worker's prefix cache is believed to hold.

The scheduler knows what it sent and assumes it cached; events, late and gapped, correct that. The
index holds at most the worker's memory, forgetting the least recently used as the engine does.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch.identifiers import ProgramId

EVENT_LAG_SECONDS = 1.0
"""A removal that arrives within this time of our own use is older than the use: engines publish
events up to about half a second late, and a block in use is not evicted."""


@dataclass(frozen=True, slots=True)
class BlockChange:
    """Blocks stored or removed, or with `cleared` all forgotten first."""

    kind: str
    """`stored`, `removed` or `cleared`."""
    block_hashes: tuple[int, ...]


@dataclass(slots=True)
class _Entry:
    program_id: ProgramId | None
    """Program that used the block last through this scheduler, or None."""
    used_at_seconds: float
    shared: bool = False
    """True once a second program has used it."""


class CacheIndex:
    """Blocks by hash, each with the program and time of its last use."""

    def __init__(self, capacity_blocks: int) -> None:
        """Start empty."""
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, _Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks believed cached."""
        return len(self._blocks)

    def cached_prefix(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are cached, in O(log n).

        A hash is chained over all blocks before it and engines evict the deepest block of a
        prefix first, so the cached ones are a prefix and can be found by bisection.
        """
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high) // 2
            if hashes[middle] in self._blocks:
                low = middle + 1
            else:
                high = middle
        return low

    def program_of(self, block_hash: int) -> ProgramId | None:
        """Return the program that used the block last, if known."""
        entry = self._blocks.get(block_hash)
        return entry.program_id if entry else None

    def use(self, hashes: Sequence[int], program_id: ProgramId, now: float) -> None:
        """Assume the blocks cached because a call with them was sent or has ended."""
        for block_hash in reversed(hashes):
            entry = self._blocks.get(block_hash)
            if entry is None:
                self._blocks[block_hash] = _Entry(program_id, now)
                continue
            entry.shared = entry.shared or entry.program_id not in (None, program_id)
            entry.program_id, entry.used_at_seconds = program_id, now
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)

    def stored(self, hashes: Sequence[int], now: float) -> None:
        """Take in an event that blocks were stored."""
        for block_hash in reversed(hashes):
            if block_hash not in self._blocks:
                self._blocks[block_hash] = _Entry(None, now)

    def removed(self, hashes: Sequence[int], now: float) -> None:
        """Take in an event that blocks were evicted, unless it is older than our own use."""
        for block_hash in hashes:
            entry = self._blocks.get(block_hash)
            if entry is None:
                continue
            ours = entry.program_id is not None
            if ours and now - entry.used_at_seconds < EVENT_LAG_SECONDS:
                continue
            del self._blocks[block_hash]

    def replace(self, hashes: Sequence[int], now: float) -> None:
        """Take in a whole list, keeping what was used too lately to be in it."""
        listed = set(hashes)
        for block_hash in list(self._blocks):
            if block_hash not in listed:
                self.removed((block_hash,), now)
        self.stored(hashes, now)

    def apply(self, changes: Sequence[BlockChange], now: float) -> None:
        """Take in a page of events, or a whole list that begins with `cleared`."""
        if changes and changes[0].kind == "cleared":
            self.replace([h for change in changes for h in change.block_hashes], now)
            return
        for change in changes:
            if change.kind == "stored":
                self.stored(change.block_hashes, now)
            else:
                self.removed(change.block_hashes, now)

    def forget_program(self, hashes: Sequence[int], program_id: ProgramId) -> None:
        """Forget blocks that only this program is known to have used and that were released."""
        for block_hash in hashes:
            entry = self._blocks.get(block_hash)
            if entry is not None and entry.program_id == program_id and not entry.shared:
                del self._blocks[block_hash]
