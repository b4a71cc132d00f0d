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
PIECE_BYTES = 45_000
"""Maximum size of a chunk; in base64 it stays below the store's limit of 65,536 bytes per row."""
PIECES_IN_TRANSACTION = 12
"""About 720 kB in base64, below the store's limit of 1 MB per transaction."""
CACHE_BYTES = 24 * 1024 * 1024
PIECE_COUNT = struct.Struct(">H")
"""Header of the first chunk: the number of chunks."""
AFTER_PIECES = "0"
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
        self._cache: LRUCache[str, Turn] = LRUCache(cache_bytes, getsizeof=_size_of)

    async def chain(
        self, request_id: str, deadline_at: float
    ) -> tuple[Turn, ...] | NoSuchTurn | Refused:
        """Return a turn and all turns before it, oldest first."""
        last = await self._turn(request_id, deadline_at)
        if not isinstance(last, Turn):
            return last
        earlier = await asyncio.gather(
            *(self._turn(ancestor, deadline_at) for ancestor in last.ancestors)
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
        pieces = [data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES)]
        pieces = pieces or [b""]
        later = [
            RowWrite(_row(turn.request_id, number), piece)
            for number, piece in enumerate(pieces)
            if number > 0
        ]
        first = RowWrite(_row(turn.request_id, 0), PIECE_COUNT.pack(len(pieces)) + pieces[0])
        # The first chunk is written last, so that its presence implies all others.
        writes = [*later, first]
        for start in range(0, len(writes), PIECES_IN_TRANSACTION):
            batch = tuple(writes[start : start + PIECES_IN_TRANSACTION])
            refused = await self._write_batch(batch, deadline_at)
            if refused is not None:
                return refused
        self._keep(turn)
        return None

    async def _write_batch(self, batch: tuple[RowWrite, ...], deadline_at: float) -> Refused | None:
        outcome = await retry_until(
            self._clock,
            deadline_at,
            lambda timeout_seconds: self._store.transact((), batch, timeout_seconds),
        )
        return outcome if isinstance(outcome, Refused) else None

    def _keep(self, turn: Turn) -> None:
        if _size_of(turn) <= self._cache.maxsize:
            self._cache[turn.request_id] = turn

    async def _turn(self, request_id: str, deadline_at: float) -> Turn | NoSuchTurn | Refused:
        cached = self._cache.get(request_id)
        if cached is not None:
            return cached
        first = _row(request_id, 0)
        read = await retry_until(
            self._clock,
            deadline_at,
            lambda timeout_seconds: self._store.read(
                first, request_id + AFTER_PIECES, timeout_seconds
            ),
        )
        if isinstance(read, Refused):
            return read
        turn = _assemble(request_id, read)
        if turn is not None:
            self._keep(turn)
            return turn
        return await self._confirm_missing(request_id, deadline_at)

    async def _confirm_missing(self, request_id: str, deadline_at: float) -> NoSuchTurn | Refused:
        """Check by a transaction that the turn is missing; unlike a read it is never stale."""
        condition = RowCondition(_row(request_id, 0), 0)

        async def ask(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact((condition,), (), timeout_seconds)

        outcome = await retry_until(self._clock, deadline_at, ask)
        if isinstance(outcome, Written):
            return NoSuchTurn(request_id)
        if isinstance(outcome, Conflict):
            return not_run(Reason.STORE_UNAVAILABLE, "the store returned a stale read", 0.2)
        return outcome


def _row(request_id: str, piece: int) -> RowKey:
    key = request_id if piece == 0 else f"{request_id}/{piece:04d}"
    return RowKey(TURNS_TABLE, partition_of(request_id), key)


def _assemble(request_id: str, read: RowsRead) -> Turn | None:
    """Join the chunks of a turn; return None if a chunk is missing or the data is malformed."""
    values = {row.row.key: row.value for row in read.rows}
    first = values.get(request_id)
    if first is None:
        return None
    (count,) = PIECE_COUNT.unpack_from(first)
    pieces = [first[PIECE_COUNT.size :]]
    for number in range(1, count):
        piece = values.get(_row(request_id, number).key)
        if piece is None:
            return None
        pieces.append(piece)
    try:
        return Turn.decode(request_id, b"".join(pieces))
    except DecodeError:
        return None


def _size_of(turn: Turn) -> int:
    return len(turn.input) + len(turn.output) + 32 * len(turn.ancestors) + 256
