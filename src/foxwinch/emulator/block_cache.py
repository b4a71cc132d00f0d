"""The prefix cache of a modelled engine: blocks by hash, pinned while in use, else evicted LRU."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from foxwinch.identifiers import ProgramId

SHARED_OWNERS = 4
"""A block that so many programs have used, such as a system prompt, is held for no one program."""


@dataclass(slots=True)
class CacheLedger:
    """Measurements over all engines of a pool; decides nothing."""

    known: set[int] = field(default_factory=set)
    """Every block that any engine has computed."""
    held_dead_token_seconds: dict[ProgramId, float] = field(default_factory=dict)
    """By one of the ended programs that the tokens were held for."""
    ended_tokens: int = 0
    """Tokens that were held only for programs at the moment they ended."""


@dataclass(slots=True)
class Block:
    """One cached block."""

    pins: int
    owners: dict[ProgramId, None] | None
    """Programs that have used it, or None for good once there were `SHARED_OWNERS` of them."""
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
            if block.owners is not None and program_id not in block.owners:
                self._add_owner(block_hash, block, program_id, now)

    def unpin(self, hashes: Sequence[int], now: float) -> None:
        """Let blocks be evicted again, the deepest first; free those of released programs."""
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
                self._forget(block_hash, now)
        if freed:
            self._publish("removed", tuple(freed), now)

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
            self._blocks[block_hash] = Block(1, {program_id: None}, dead)
            self._owned.setdefault(program_id, {})[block_hash] = None
            fresh.append(block_hash)
        self._ledger.known.update(fresh)
        if fresh:
            self._publish("stored", tuple(fresh), now)

    def release(self, program_id: ProgramId, now: float) -> None:
        """Free the blocks that no other program has used; pinned ones once they are idle."""
        freed = []
        for block_hash in self._owned.pop(program_id, {}):
            block = self._blocks[block_hash]
            assert block.owners is not None
            if len(block.owners) == 1:
                self._account(block, now)
            del block.owners[program_id]
            if not block.owners and block.pins == 0:
                freed.append(block_hash)
                del self._idle[block_hash]
                self._forget(block_hash, now)
        if freed:
            self._publish("removed", tuple(freed), now)

    def program_ended(self, program_id: ProgramId, now: float) -> None:
        """Measure from now on what is held for ended programs only."""
        self._dead.add(program_id)
        for block_hash in self._owned.get(program_id, {}):
            block = self._blocks[block_hash]
            owners = block.owners or {}
            if block.dead_since_seconds is None and all(o in self._dead for o in owners):
                block.dead_since_seconds = now
                self._ledger.ended_tokens += self._block_tokens

    def close_measurement(self, now: float) -> None:
        """Account for the blocks that are still held for ended programs."""
        for block in self._blocks.values():
            self._account(block, now)

    def _add_owner(self, block_hash: int, block: Block, program_id: ProgramId, now: float) -> None:
        self._account(block, now)
        assert block.owners is not None
        block.owners[program_id] = None
        self._owned.setdefault(program_id, {})[block_hash] = None
        if len(block.owners) >= SHARED_OWNERS:
            self._disown(block_hash, block)
            block.owners = None

    def _disown(self, block_hash: int, block: Block) -> None:
        for owner in block.owners or {}:
            owned = self._owned[owner]
            del owned[block_hash]
            if not owned:
                del self._owned[owner]

    def _forget(self, block_hash: int, now: float) -> None:
        block = self._blocks.pop(block_hash)
        self._account(block, now)
        self._disown(block_hash, block)

    def _account(self, block: Block, now: float) -> None:
        since, block.dead_since_seconds = block.dead_since_seconds, None
        owner = next(iter(block.owners or ()), None)
        if since is None or owner is None:
            return
        held = self._ledger.held_dead_token_seconds
        held[owner] = held.get(owner, 0.0) + (now - since) * self._block_tokens
