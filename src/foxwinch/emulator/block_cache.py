"""The prefix cache of a modelled engine, with pinned blocks and LRU eviction of idle ones."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from foxwinch.identifiers import ProgramId

SHARED_BLOCK_OWNERS = 4
"""A block used by this many programs, such as a system prompt, is attributed to none of them."""


@dataclass(slots=True)
class CacheStatistics:
    """Statistics over all engines of a pool; they do not influence any decision."""

    computed_blocks: set[int] = field(default_factory=set)
    """Hashes of all blocks that any engine has computed."""
    held_dead_token_seconds: dict[ProgramId, float] = field(default_factory=dict)
    """Token-seconds held only for ended programs, by one of these programs."""
    ended_tokens: int = 0
    """Tokens that were held only for ended programs at the time the last of them ended."""


@dataclass(slots=True)
class Block:
    """One cached block."""

    pins: int
    owners: dict[ProgramId, None] | None
    """Programs that have used the block, or None once there were `SHARED_BLOCK_OWNERS` of them."""
    ended_since_seconds: float | None = None


class BlockCache:
    """Cached blocks of one engine, and reservations for blocks not yet computed."""

    def __init__(
        self,
        capacity_blocks: int,
        block_tokens: int,
        statistics: CacheStatistics,
        publish: Callable[[str, tuple[int, ...], float], None],
    ) -> None:
        """Start empty; `publish(kind, hashes, now)` is called for each change."""
        self.capacity_blocks = capacity_blocks
        self._block_tokens = block_tokens
        self._statistics = statistics
        self._publish = publish
        self._blocks: dict[int, Block] = {}
        self._idle: OrderedDict[int, None] = OrderedDict()
        self._owned: dict[ProgramId, dict[int, None]] = {}
        self._ended: set[ProgramId] = set()
        self._reserved = 0

    @property
    def used_blocks(self) -> int:
        """Number of blocks that are cached or reserved."""
        return len(self._blocks) + self._reserved

    def hashes(self) -> tuple[int, ...]:
        """Return the hashes of all cached blocks."""
        return tuple(self._blocks)

    def cached_prefix(self, hashes: Sequence[int]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            count += 1
        return count

    def available_blocks(self, excluding: Sequence[int] = ()) -> int:
        """Return the number of blocks that are free or evictable, not counting `excluding`."""
        kept = sum(1 for block_hash in excluding if block_hash in self._idle)
        return self.capacity_blocks - self.used_blocks + len(self._idle) - kept

    def pin(self, hashes: Iterable[int], program_id: ProgramId, now: float) -> None:
        """Protect cached blocks from eviction while a call of the program uses them."""
        for block_hash in hashes:
            block = self._blocks[block_hash]
            block.pins += 1
            self._idle.pop(block_hash, None)
            if block.owners is not None and program_id not in block.owners:
                self._add_owner(block_hash, block, program_id, now)

    def unpin(self, hashes: Sequence[int], now: float) -> None:
        """Make blocks evictable, the deepest first, and free those of released programs."""
        freed = []
        for block_hash in reversed(hashes):
            block = self._blocks[block_hash]
            block.pins -= 1
            if block.pins > 0:
                continue
            if block.owners is None or block.owners:
                self._idle[block_hash] = None
            else:
                freed.append(block_hash)
                self._remove_block(block_hash, now)
        if freed:
            self._publish("removed", tuple(freed), now)

    def reserve(self, blocks: int, now: float) -> None:
        """Reserve room for blocks to be computed, evicting the least recently used."""
        evicted = []
        while self.capacity_blocks - self.used_blocks < blocks:
            block_hash, _ = self._idle.popitem(last=False)
            evicted.append(block_hash)
            self._remove_block(block_hash, now)
        self._reserved += blocks
        if evicted:
            self._publish("removed", tuple(evicted), now)

    def unreserve(self, blocks: int) -> None:
        """Return reserved room."""
        self._reserved -= blocks

    def store(self, hashes: Sequence[int], program_id: ProgramId, now: float) -> None:
        """Turn reserved room into pinned, cached blocks; a block already cached is only pinned."""
        fresh = []
        for block_hash in hashes:
            self._reserved -= 1
            if block_hash in self._blocks:
                self.pin((block_hash,), program_id, now)
                continue
            ended_since = now if program_id in self._ended else None
            self._blocks[block_hash] = Block(1, {program_id: None}, ended_since)
            self._owned.setdefault(program_id, {})[block_hash] = None
            fresh.append(block_hash)
        self._statistics.computed_blocks.update(fresh)
        if fresh:
            self._publish("stored", tuple(fresh), now)

    def release(self, program_id: ProgramId, now: float) -> None:
        """Free the blocks that no other program has used; pinned blocks are freed when unpinned."""
        freed = []
        for block_hash in self._owned.pop(program_id, {}):
            block = self._blocks[block_hash]
            assert block.owners is not None
            if len(block.owners) == 1:
                self._record_held_time(block, now)
            del block.owners[program_id]
            if not block.owners and block.pins == 0:
                freed.append(block_hash)
                del self._idle[block_hash]
                self._remove_block(block_hash, now)
        if freed:
            self._publish("removed", tuple(freed), now)

    def program_ended(self, program_id: ProgramId, now: float) -> None:
        """Start measuring the blocks that are held only for ended programs."""
        self._ended.add(program_id)
        for block_hash in self._owned.get(program_id, {}):
            block = self._blocks[block_hash]
            owners = block.owners or {}
            if block.ended_since_seconds is None and all(o in self._ended for o in owners):
                block.ended_since_seconds = now
                self._statistics.ended_tokens += self._block_tokens

    def close_measurement(self, now: float) -> None:
        """Record the blocks that are still held for ended programs."""
        for block in self._blocks.values():
            self._record_held_time(block, now)

    def _add_owner(self, block_hash: int, block: Block, program_id: ProgramId, now: float) -> None:
        self._record_held_time(block, now)
        assert block.owners is not None
        block.owners[program_id] = None
        self._owned.setdefault(program_id, {})[block_hash] = None
        if len(block.owners) >= SHARED_BLOCK_OWNERS:
            self._clear_owners(block_hash, block)
            block.owners = None

    def _clear_owners(self, block_hash: int, block: Block) -> None:
        for owner in block.owners or {}:
            owned = self._owned[owner]
            del owned[block_hash]
            if not owned:
                del self._owned[owner]

    def _remove_block(self, block_hash: int, now: float) -> None:
        block = self._blocks.pop(block_hash)
        self._record_held_time(block, now)
        self._clear_owners(block_hash, block)

    def _record_held_time(self, block: Block, now: float) -> None:
        since, block.ended_since_seconds = block.ended_since_seconds, None
        owner = next(iter(block.owners or ()), None)
        if since is None or owner is None:
            return
        held = self._statistics.held_dead_token_seconds
        held[owner] = held.get(owner, 0.0) + (now - since) * self._block_tokens
