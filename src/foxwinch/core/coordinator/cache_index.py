"""Estimated contents of a worker's prefix cache.

The scheduler assumes that the prompts it dispatched are cached. Cache events, which arrive late and
may have gaps, correct this estimate. The index is limited to the worker's cache capacity and evicts
the least recently used blocks, as the engine does.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch.identifiers import ProgramId

EVENT_LAG_SECONDS = 1.0
"""A removal event received within this time after a local use predates that use: engines publish
events up to about half a second late and do not evict blocks in use."""


@dataclass(frozen=True, slots=True)
class BlockChange:
    """Blocks that were stored or removed, or a `cleared` marker that precedes a complete list."""

    kind: str
    """`stored`, `removed` or `cleared`."""
    block_hashes: tuple[int, ...]


@dataclass(slots=True)
class _Entry:
    program_id: ProgramId | None
    """Last program that used the block through this scheduler, or None."""
    used_at_seconds: float
    shared: bool = False
    """True once a second program has used the block."""


class CacheIndex:
    """LRU index of cached blocks by hash, with the program and time of the last use."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, _Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks assumed to be cached."""
        return len(self._blocks)

    def cached_prefix(self, hashes: Sequence[int]) -> int:
        """Return the number of leading blocks that are cached, in O(log n).

        Each hash covers all preceding blocks and engines evict the last block of a prefix first.
        The cached blocks therefore form a prefix, whose length is found by bisection.
        """
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high) // 2
            if hashes[middle] in self._blocks:
                low = middle + 1
            else:
                high = middle
        return low

    def last_program(self, block_hash: int) -> ProgramId | None:
        """Return the last program that used the block, or None if unknown."""
        entry = self._blocks.get(block_hash)
        return entry.program_id if entry else None

    def use(self, hashes: Sequence[int], program_id: ProgramId, now: float) -> None:
        """Mark the blocks of a dispatched or finished call as cached."""
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
        """Apply an event that reports stored blocks."""
        for block_hash in reversed(hashes):
            if block_hash not in self._blocks:
                self._blocks[block_hash] = _Entry(None, now)

    def removed(self, hashes: Sequence[int], now: float) -> None:
        """Apply an event that reports evicted blocks, except blocks used locally since then."""
        for block_hash in hashes:
            entry = self._blocks.get(block_hash)
            if entry is None:
                continue
            used_locally = entry.program_id is not None
            if used_locally and now - entry.used_at_seconds < EVENT_LAG_SECONDS:
                continue
            del self._blocks[block_hash]

    def replace(self, hashes: Sequence[int], now: float) -> None:
        """Apply a complete list of cached blocks, keeping blocks used too recently to be in it."""
        listed = set(hashes)
        for block_hash in list(self._blocks):
            if block_hash not in listed:
                self.removed((block_hash,), now)
        self.stored(hashes, now)

    def apply(self, changes: Sequence[BlockChange], now: float) -> None:
        """Apply a page of events, or a complete list that starts with `cleared`."""
        if changes and changes[0].kind == "cleared":
            self.replace([h for change in changes for h in change.block_hashes], now)
            return
        for change in changes:
            if change.kind == "stored":
                self.stored(change.block_hashes, now)
            else:
                self.removed(change.block_hashes, now)

    def remove_program(self, hashes: Sequence[int], program_id: ProgramId) -> None:
        """Remove released blocks that no other program is known to have used."""
        for block_hash in hashes:
            entry = self._blocks.get(block_hash)
            if entry is not None and entry.program_id == program_id and not entry.shared:
                del self._blocks[block_hash]
