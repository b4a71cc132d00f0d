"""Stand-in of the shared store: versioned rows, conditions, a feed, and the moods of a real one.

The model implements `foxwinch.records.ports.RecordStore` in process; `http_record_store` serves the
same model on the users' platform's wire.
"""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from sortedcontainers import SortedDict

from foxwinch.clock import Clock
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.records.ports import (
    Conflict,
    HistoryLost,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    StoredRow,
    Written,
)

PATIENCE_SECONDS = 0.8
"""For which clients wait for the answer of a held call, after the time that it is held."""
EMPTY: SortedDict = SortedDict()


class Mood(StrEnum):
    """How the store treats calls."""

    WELL = "well"
    BUSY = "busy"
    """Refuses: nothing was done."""
    LIMITED = "limited"
    """Refuses by its rate: nothing was done."""
    SILENT = "silent"
    """Takes calls and does nothing, without an answer."""
    LOSING = "losing"
    """Does writes and loses the answers."""
    LATE = "late"
    """Loses answers, and does writes some seconds later if their conditions still hold."""


@dataclass(slots=True)
class StoreMoods:
    """What goes wrong now; tests change it while nodes run."""

    mood: Mood = Mood.WELL
    partitions: frozenset[str] | None = None
    """Partitions that the mood is for; None: all, and reads of whole tables too."""
    delay_seconds: float = 0.0
    """Before each answer."""
    late_seconds: float = 3.0
    stale_reads: bool = False
    """Plain reads return the table as it was when this was set."""

    def of(self, partition: str) -> Mood:
        """Return the mood towards a partition."""
        if self.partitions is not None and partition not in self.partitions:
            return Mood.WELL
        return self.mood


@dataclass(slots=True)
class _Stored:
    value: bytes
    version: int


@dataclass(slots=True)
class _Calls:
    writes: int = 0
    commits: int = 0
    """Transactions that took effect."""
    reads: int = 0
    feeds: int = 0


class _Rows:
    """Rows by partition and key."""

    def __init__(self) -> None:
        self.version = 0
        self._partitions: dict[tuple[str, str], SortedDict] = {}

    def get(self, row: RowKey) -> _Stored | None:
        found: _Stored | None = self._partition(row).get(row.key)
        return found

    def put(self, row: RowKey, stored: _Stored) -> None:
        place = (row.table, row.partition)
        self._partitions.setdefault(place, SortedDict())[row.key] = stored

    def remove(self, row: RowKey) -> None:
        self._partition(row).pop(row.key, None)

    def between(self, first: RowKey, end_key: str | None) -> Iterator[StoredRow]:
        """Yield the rows of a partition in order, from `first` up to `end_key`."""
        partition = self._partition(first)
        for key in partition.irange(first.key, end_key, inclusive=(True, False)):
            stored = partition[key]
            row = RowKey(first.table, first.partition, key)
            yield StoredRow(row, stored.value, stored.version)

    def of(self, table: str) -> Iterator[tuple[RowKey, _Stored]]:
        for (name, partition), rows in self._partitions.items():
            if name == table:
                yield from ((RowKey(name, partition, key), rows[key]) for key in rows)

    def copy(self) -> "_Rows":
        copied = _Rows()
        copied.version = self.version
        copied._partitions = {place: rows.copy() for place, rows in self._partitions.items()}
        return copied

    def _partition(self, row: RowKey) -> SortedDict:
        return self._partitions.get((row.table, row.partition), EMPTY)


class RecordStoreModel:
    """The store in memory."""

    def __init__(self, clock: Clock) -> None:
        """Start empty and well."""
        self._clock = clock
        self._state = _Rows()
        self._frozen: _Rows | None = None
        self._history: list[StoredRow] = []
        self._history_from = 0
        self._changed = asyncio.Event()
        self.moods = StoreMoods()
        self.calls = _Calls()
        self.on_write: Callable[[tuple[RowWrite, ...]], None] = lambda writes: None
        """Called after each transaction that took effect."""

    def now_ms(self) -> int:
        """Return the store's steady clock."""
        return 1_000_000 + int(1e3 * self._clock.monotonic())

    def value(self, row: RowKey) -> bytes | None:
        """Return a row's value as it stands."""
        stored = self._state.get(row)
        return stored.value if stored is not None else None

    def rows_of(self, table: str) -> dict[RowKey, bytes]:
        """Return all rows of a table as they stand."""
        return {row: stored.value for row, stored in self._state.of(table)}

    def put(self, table: str, key: str, value: bytes, partition: str = "") -> int:
        """Write a row as the operator or a worker would, whatever the mood."""
        return self._commit((RowWrite(RowKey(table, partition, key), value),))

    def remove(self, table: str, key: str, partition: str = "") -> int:
        """Remove a row, whatever the mood."""
        return self._commit((RowWrite(RowKey(table, partition, key), None),))

    def forget_history(self) -> None:
        """Drop the changes so far: feeds that go on from before are told so."""
        self._history.clear()
        self._history_from = self._state.version
        self._wake_feeds()

    def hold_reads(self) -> None:
        """From now on plain reads return the rows as they are now."""
        self._frozen = self._state.copy()
        self.moods.stale_reads = True

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """Apply a transaction in the present mood."""
        self.calls.writes += 1
        rows = [entry.row for entry in conditions] + [write.row for write in writes]
        mood = self.moods.of(rows[0].partition if rows else "")
        refused = await self._enter(mood, timeout_seconds)
        if refused is not None:
            return refused
        if mood is Mood.LATE:
            self._apply_later(conditions, writes)
        else:
            outcome = self.apply(conditions, writes)
            if mood is not Mood.LOSING:
                return outcome
        await self._clock.sleep(timeout_seconds)
        return outcome_unknown(Reason.STORE_UNAVAILABLE, "no answer")

    def apply(
        self, conditions: tuple[RowCondition, ...], writes: tuple[RowWrite, ...]
    ) -> Written | Conflict:
        """Apply a transaction at once."""
        if any(self._version_of(entry.row) != entry.version for entry in conditions):
            found = tuple(self._stored(entry.row) for entry in conditions)
            return Conflict(found, self._state.version, self.now_ms())
        version = self._commit(writes) if writes else self._state.version
        return Written(version, self.now_ms())

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read rows of a partition."""
        self.calls.reads += 1
        refused = await self._enter(self.moods.of(first.partition), timeout_seconds)
        if refused is not None:
            return refused
        return self.rows_between(first, end_key)

    def rows_between(self, first: RowKey, end_key: str) -> RowsRead:
        """Return the rows of a partition from `first` up to `end_key`, whatever the mood."""
        return self._select(first, end_key)

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read the rows of a table whose partition is empty."""
        self.calls.reads += 1
        refused = await self._enter(self.moods.of(""), timeout_seconds)
        if refused is not None:
            return refused
        return self._select(RowKey(table, "", ""), None)

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """Wait for changes of a table."""
        self.calls.feeds += 1
        end_at = self._clock.monotonic() + wait_seconds
        while True:
            refused = await self._enter(self.moods.of(""), wait_seconds + PATIENCE_SECONDS)
            if refused is not None:
                return refused
            if after_version < self._history_from:
                return HistoryLost()
            rows = tuple(
                change
                for change in self._history
                if change.row.table == table and change.version > after_version
            )
            left = end_at - self._clock.monotonic()
            if rows or left <= 0:
                return RowsRead(rows, False, self._state.version, self.now_ms())
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _enter(self, mood: Mood, timeout_seconds: float) -> Refused | None:
        if mood is Mood.BUSY:
            return not_run(Reason.STORE_UNAVAILABLE, "busy")
        if mood is Mood.LIMITED:
            return not_run(Reason.RATE_LIMITED, "limited")
        delay = self.moods.delay_seconds
        if mood is Mood.SILENT or delay > timeout_seconds:
            await self._clock.sleep(timeout_seconds)
            return outcome_unknown(Reason.STORE_UNAVAILABLE, "no answer")
        if delay:
            await self._clock.sleep(delay)
        return None

    def _apply_later(
        self, conditions: tuple[RowCondition, ...], writes: tuple[RowWrite, ...]
    ) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.moods.late_seconds, self.apply, conditions, writes)

    def _select(self, first: RowKey, end_key: str | None) -> RowsRead:
        state = self._frozen if self.moods.stale_reads and self._frozen else self._state
        rows = tuple(state.between(first, end_key))
        return RowsRead(rows, False, state.version, self.now_ms())

    def _commit(self, writes: tuple[RowWrite, ...]) -> int:
        self.calls.commits += 1
        self._state.version += 1
        version = self._state.version
        for write in writes:
            if write.value is None:
                self._state.remove(write.row)
            else:
                self._state.put(write.row, _Stored(write.value, version))
            self._history.append(StoredRow(write.row, write.value, version))
        self.on_write(writes)
        self._wake_feeds()
        return version

    def _wake_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _version_of(self, row: RowKey) -> int:
        stored = self._state.get(row)
        return stored.version if stored is not None else 0

    def _stored(self, row: RowKey) -> StoredRow:
        stored = self._state.get(row)
        if stored is None:
            return StoredRow(row, None, 0)
        return StoredRow(row, stored.value, stored.version)
