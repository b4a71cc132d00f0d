"""The prefix cache of a modelled engine: blocks by hash, pinned while in use, else evicted LRU."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from foxwinch.identifiers import ProgramId


@dataclass(slots=True)
class CacheLedger:
    """Measurements over all engines of a pool; decides nothing."""

    known: set[int] = field(default_factory=set)
    """Every block that any engine has computed."""
    held_dead_token_seconds: dict[ProgramId, float] = field(default_factory=dict)


@dataclass(slots=True)
class Block:
    """One cached block."""

    pins: int
    owner: ProgramId | None
    """The only program that has used it, or None once a second one has."""
    dead_since_seconds: float | None = None


class BlockCache:
    """Blocks of one engine's memory, and reservations for blocks not yet computed."""

    def __init__(
        self,
        capacity_blocks: int,
        block_tokens: int,
        ledger: CacheLedger,
        publish: Callable[[str, tuple[int, ...], float], None],
    ) -> None:
        """Start empty; `publish(kind, hashes, now)` is told of each change."""
        self.capacity_blocks = capacity_blocks
        self._block_tokens = block_tokens
        self._ledger = ledger
        self._publish = publish
        self._blocks: dict[int, Block] = {}
        self._idle: OrderedDict[int, None] = OrderedDict()
        self._owned: dict[ProgramId, dict[int, None]] = {}
        self._dead: set[ProgramId] = set()
        self._reserved = 0

    @property
    def used_blocks(self) -> int:
        """Blocks cached or reserved."""
        return len(self._blocks) + self._reserved

    def hashes(self) -> tuple[int, ...]:
        """Return every cached block."""
        return tuple(self._blocks)

    def cached_prefix(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are cached."""
        count = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            count += 1
        return count

    def available_blocks(self, excluding: Sequence[int] = ()) -> int:
        """Return the blocks that could be had by eviction, `excluding` some that must stay."""
        kept = sum(1 for block_hash in excluding if block_hash in self._idle)
        return self.capacity_blocks - self.used_blocks + len(self._idle) - kept

    def pin(self, hashes: Iterable[int], program_id: ProgramId, now: float) -> None:
        """Keep cached blocks from eviction while a call of the program uses them."""
        for block_hash in hashes:
            block = self._blocks[block_hash]
            block.pins += 1
            self._idle.pop(block_hash, None)
            if block.owner is not None and block.owner != program_id:
                self._share(block_hash, block, now)

    def unpin(self, hashes: Sequence[int]) -> None:
        """Let blocks be evicted again, the deepest of the prefix first."""
        for block_hash in reversed(hashes):
            block = self._blocks[block_hash]
            block.pins -= 1
            if block.pins == 0:
                self._idle[block_hash] = None

    def reserve(self, blocks: int, now: float) -> None:
        """Take room for blocks that will be computed, evicting the least recently used."""
        evicted = []
        while self.capacity_blocks - self.used_blocks < blocks:
            block_hash, _ = self._idle.popitem(last=False)
            evicted.append(block_hash)
            self._forget(block_hash, now)
        self._reserved += blocks
        if evicted:
            self._publish("removed", tuple(evicted), now)

    def unreserve(self, blocks: int) -> None:
        """Give reserved room back."""
        self._reserved -= blocks

    def store(self, hashes: Sequence[int], program_id: ProgramId, now: float) -> None:
        """Turn reserved room into cached, pinned blocks; a block already cached is only pinned."""
        fresh = []
        for block_hash in hashes:
            self._reserved -= 1
            if block_hash in self._blocks:
                self.pin((block_hash,), program_id, now)
                continue
            dead = now if program_id in self._dead else None
            self._blocks[block_hash] = Block(1, program_id, dead)
            self._owned.setdefault(program_id, {})[block_hash] = None
            fresh.append(block_hash)
        self._ledger.known.update(fresh)
        if fresh:
            self._publish("stored", tuple(fresh), now)

    def release(self, program_id: ProgramId, now: float) -> None:
        """Free the idle blocks that only this program has used."""
        owned = self._owned.get(program_id, {})
        freed = [h for h in owned if self._blocks[h].pins == 0]
        for block_hash in freed:
            del self._idle[block_hash]
            self._forget(block_hash, now)
        if freed:
            self._publish("removed", tuple(freed), now)

    def program_ended(self, program_id: ProgramId, now: float) -> None:
        """Measure from now on what is held for this program only."""
        self._dead.add(program_id)
        for block_hash in self._owned.get(program_id, {}):
            block = self._blocks[block_hash]
            if block.dead_since_seconds is None:
                block.dead_since_seconds = now

    def close_measurement(self, now: float) -> None:
        """Account for the blocks that are still held for ended programs."""
        for block in self._blocks.values():
            self._account(block, now)

    def _share(self, block_hash: int, block: Block, now: float) -> None:
        self._account(block, now)
        if block.owner is not None:
            self._owned[block.owner].pop(block_hash, None)
        block.owner = None

    def _forget(self, block_hash: int, now: float) -> None:
        block = self._blocks.pop(block_hash)
        self._account(block, now)
        if block.owner is not None:
            owned = self._owned[block.owner]
            del owned[block_hash]
            if not owned:
                del self._owned[block.owner]

    def _account(self, block: Block, now: float) -> None:
        if block.dead_since_seconds is None or block.owner is None:
            return
        held = (now - block.dead_since_seconds) * self._block_tokens
        ledger = self._ledger.held_dead_token_seconds
        ledger[block.owner] = ledger.get(block.owner, 0.0) + held
        block.dead_since_seconds = None
