"""Conversation turns in the shared store: written once, read by their request id.

A turn's row lists all earlier turns, so a conversation is read in two steps: the last turn, then
all others concurrently. Turns are immutable, so every turn read or written stays in a bounded
cache.
"""

import asyncio
import struct
from dataclasses import dataclass

from cachetools import LRUCache
from google.protobuf.message import DecodeError

from foxwinch.clock import Clock
from foxwinch.core.records.turn import Turn
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.records.partitions import partition_of
from foxwinch.records.ports import (
    Conflict,
    RecordStore,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    Written,
)
from foxwinch.records.retry import retry_until

TURNS_TABLE = "turns"
MAX_CHUNK_BYTES = 45_000
"""Maximum size of a chunk; in base64 it stays below the store's limit of 65,536 bytes per row."""
MAX_CHUNKS_PER_TRANSACTION = 12
"""About 720 kB in base64, below the store's limit of 1 MB per transaction."""
CACHE_BYTES = 24 * 1024 * 1024
CHUNK_COUNT = struct.Struct(">H")
"""Header of the first chunk: the number of chunks."""
CHUNKS_END = "0"
"""The character after the slash, which ends the key range of a turn's rows."""


@dataclass(frozen=True, slots=True)
class NoSuchTurn:
    """The turn does not exist in the store."""

    request_id: str


class TurnRecords:
    """Reads and writes conversation turns."""

    def __init__(self, store: RecordStore, clock: Clock, cache_bytes: int = CACHE_BYTES) -> None:
        """Create the access to the turns in `store`, with an empty cache."""
        self._store = store
        self._clock = clock
        self._cache: LRUCache[str, Turn] = LRUCache(cache_bytes, getsizeof=_cached_bytes)

    async def chain(
        self, request_id: str, deadline_at: float
    ) -> tuple[Turn, ...] | NoSuchTurn | Refused:
        """Return a turn and all turns before it, oldest first."""
        last = await self._load_turn(request_id, deadline_at)
        if not isinstance(last, Turn):
            return last
        earlier = await asyncio.gather(
            *(self._load_turn(ancestor, deadline_at) for ancestor in last.ancestors)
        )
        chain: list[Turn] = []
        for turn in earlier:
            if not isinstance(turn, Turn):
                return turn
            chain.append(turn)
        return (*chain, last)

    async def write(self, turn: Turn, deadline_at: float) -> Refused | None:
        """Store a turn and return None once it is committed; writing it again has no effect."""
        data = turn.encode()
        chunks = [
            data[start : start + MAX_CHUNK_BYTES] for start in range(0, len(data), MAX_CHUNK_BYTES)
        ]
        chunks = chunks or [b""]
        later_chunks = [
            RowWrite(_row_key(turn.request_id, number), chunk)
            for number, chunk in enumerate(chunks)
            if number > 0
        ]
        first_chunk = RowWrite(
            _row_key(turn.request_id, 0), CHUNK_COUNT.pack(len(chunks)) + chunks[0]
        )
        # The first chunk is written last, so that its presence implies all others.
        writes = [*later_chunks, first_chunk]
        for start in range(0, len(writes), MAX_CHUNKS_PER_TRANSACTION):
            batch = tuple(writes[start : start + MAX_CHUNKS_PER_TRANSACTION])
            refused = await self._write_batch(batch, deadline_at)
            if refused is not None:
                return refused
        self._cache_turn(turn)
        return None

    async def _write_batch(self, batch: tuple[RowWrite, ...], deadline_at: float) -> Refused | None:
        outcome = await retry_until(
            self._clock,
            deadline_at,
            lambda timeout_seconds: self._store.transact((), batch, timeout_seconds),
        )
        return outcome if isinstance(outcome, Refused) else None

    def _cache_turn(self, turn: Turn) -> None:
        if _cached_bytes(turn) <= self._cache.maxsize:
            self._cache[turn.request_id] = turn

    async def _load_turn(self, request_id: str, deadline_at: float) -> Turn | NoSuchTurn | Refused:
        cached = self._cache.get(request_id)
        if cached is not None:
            return cached
        first_chunk = _row_key(request_id, 0)
        read = await retry_until(
            self._clock,
            deadline_at,
            lambda timeout_seconds: self._store.read(
                first_chunk, request_id + CHUNKS_END, timeout_seconds
            ),
        )
        if isinstance(read, Refused):
            return read
        turn = _assemble(request_id, read)
        if turn is not None:
            self._cache_turn(turn)
            return turn
        return await self._confirm_missing(request_id, deadline_at)

    async def _confirm_missing(self, request_id: str, deadline_at: float) -> NoSuchTurn | Refused:
        """Check by a transaction that the turn is missing; unlike a read it is never stale."""
        condition = RowCondition(_row_key(request_id, 0), 0)

        async def check_row(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact((condition,), (), timeout_seconds)

        outcome = await retry_until(self._clock, deadline_at, check_row)
        if isinstance(outcome, Written):
            return NoSuchTurn(request_id)
        if isinstance(outcome, Conflict):
            return not_run(Reason.STORE_UNAVAILABLE, "the store returned a stale read", 0.2)
        return outcome


def _row_key(request_id: str, chunk: int) -> RowKey:
    key = request_id if chunk == 0 else f"{request_id}/{chunk:04d}"
    return RowKey(TURNS_TABLE, partition_of(request_id), key)


def _assemble(request_id: str, read: RowsRead) -> Turn | None:
    """Join the chunks of a turn; return None if a chunk is missing or the data is malformed."""
    values = {row.row.key: row.value for row in read.rows}
    first_chunk = values.get(request_id)
    if first_chunk is None:
        return None
    (count,) = CHUNK_COUNT.unpack_from(first_chunk)
    chunks = [first_chunk[CHUNK_COUNT.size :]]
    for number in range(1, count):
        chunk = values.get(_row_key(request_id, number).key)
        if chunk is None:
            return None
        chunks.append(chunk)
    try:
        return Turn.decode(request_id, b"".join(chunks))
    except DecodeError:
        return None


def _cached_bytes(turn: Turn) -> int:
    return len(turn.input) + len(turn.output) + 32 * len(turn.ancestors) + 256
