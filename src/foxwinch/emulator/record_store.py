"""In-memory model of the shared store: versioned rows, conditional writes, a feed and faults.

The model implements `foxwinch.records.ports.RecordStore` in process. `http_record_store` serves the
same model over the wire protocol of the users' platform.
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

RESPONSE_GRACE_SECONDS = 0.8
"""Time that clients of the feed wait for a response beyond the requested wait."""
TIMER_RESOLUTION_SECONDS = 1e-3
"""Shortest wait of the feed; the loop's virtual time does not advance by a rounding error."""
NO_ROWS: SortedDict = SortedDict()


class StoreFault(StrEnum):
    """How the store fails."""

    NONE = "well"
    BUSY = "busy"
    """Refuses requests without effect."""
    RATE_LIMITED = "limited"
    """Refuses requests by rate limit, without effect."""
    UNRESPONSIVE = "silent"
    """Accepts requests, has no effect and does not respond."""
    RESPONSE_LOST = "losing"
    """Applies writes and loses the responses."""
    LATE_WRITE = "late"
    """Loses responses, and applies writes after `late_seconds` if their conditions still hold."""


@dataclass(slots=True)
class StoreFaultSettings:
    """The active fault; tests change it while nodes run."""

    fault: StoreFault = StoreFault.NONE
    partitions: frozenset[str] | None = None
    """Partitions that the fault applies to; None means all, including reads of complete tables."""
    delay_seconds: float = 0.0
    """Delay before each request is processed."""
    late_seconds: float = 3.0
    stale_reads: bool = False
    """Plain reads return the rows as of the last call of `serve_stale_reads`."""

    def fault_of(self, partition: str) -> StoreFault:
        """Return the active fault of a partition."""
        if self.partitions is not None and partition not in self.partitions:
            return StoreFault.NONE
        return self.fault


@dataclass(slots=True)
class _StoredValue:
    value: bytes
    version: int


@dataclass(slots=True)
class _CallCounts:
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

    def get(self, row: RowKey) -> _StoredValue | None:
        found: _StoredValue | None = self._partition(row).get(row.key)
        return found

    def put(self, row: RowKey, stored: _StoredValue) -> None:
        location = (row.table, row.partition)
        self._partitions.setdefault(location, SortedDict())[row.key] = stored

    def remove(self, row: RowKey) -> None:
        self._partition(row).pop(row.key, None)

    def between(self, first: RowKey, end_key: str | None) -> Iterator[StoredRow]:
        """Yield the rows of a partition in order, from `first` up to `end_key`."""
        partition = self._partition(first)
        for key in partition.irange(first.key, end_key, inclusive=(True, False)):
            stored = partition[key]
            row = RowKey(first.table, first.partition, key)
            yield StoredRow(row, stored.value, stored.version)

    def of(self, table: str) -> Iterator[tuple[RowKey, _StoredValue]]:
        for (name, partition), rows in self._partitions.items():
            if name == table:
                yield from ((RowKey(name, partition, key), rows[key]) for key in rows)

    def copy(self) -> "_Rows":
        copied = _Rows()
        copied.version = self.version
        copied._partitions = {location: rows.copy() for location, rows in self._partitions.items()}
        return copied

    def _partition(self, row: RowKey) -> SortedDict:
        return self._partitions.get((row.table, row.partition), NO_ROWS)


class RecordStoreModel:
    """The shared store, held in memory."""

    def __init__(self, clock: Clock) -> None:
        """Start empty and without faults."""
        self._clock = clock
        self._state = _Rows()
        self._frozen: _Rows | None = None
        self._history: list[StoredRow] = []
        self._history_from = 0
        self._changed = asyncio.Event()
        self.store_faults = StoreFaultSettings()
        self.calls = _CallCounts()
        self.on_write: Callable[[tuple[RowWrite, ...]], None] = lambda writes: None
        """Called after each transaction that took effect."""

    def now_ms(self) -> int:
        """Return the store's monotonic clock in milliseconds."""
        return 1_000_000 + int(1e3 * self._clock.monotonic())

    def value(self, row: RowKey) -> bytes | None:
        """Return the current value of a row, or None."""
        stored = self._state.get(row)
        return stored.value if stored is not None else None

    def rows_of(self, table: str) -> dict[RowKey, bytes]:
        """Return the current values of all rows of a table."""
        return {row: stored.value for row, stored in self._state.of(table)}

    def put(self, table: str, key: str, value: bytes, partition: str = "") -> int:
        """Write a row as the operator or a worker would, regardless of faults."""
        return self._commit((RowWrite(RowKey(table, partition, key), value),))

    def remove(self, table: str, key: str, partition: str = "") -> int:
        """Remove a row, regardless of faults."""
        return self._commit((RowWrite(RowKey(table, partition, key), None),))

    def drop_history(self) -> None:
        """Drop all past changes; feeds that resume from an earlier version get `HistoryLost`."""
        self._history.clear()
        self._history_from = self._state.version
        self._wake_feeds()

    def serve_stale_reads(self) -> None:
        """Make plain reads return the current rows until `stale_reads` is cleared."""
        self._frozen = self._state.copy()
        self.store_faults.stale_reads = True

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """Apply a transaction, subject to the active fault."""
        self.calls.writes += 1
        rows = [entry.row for entry in conditions] + [write.row for write in writes]
        fault = self.store_faults.fault_of(rows[0].partition if rows else "")
        refused = await self._apply_fault(fault, timeout_seconds)
        if refused is not None:
            return refused
        if fault is StoreFault.LATE_WRITE:
            self._schedule_apply(conditions, writes)
        else:
            outcome = self.apply(conditions, writes)
            if fault is not StoreFault.RESPONSE_LOST:
                return outcome
        await self._clock.sleep(timeout_seconds)
        return outcome_unknown(Reason.STORE_UNAVAILABLE, "the store did not respond")

    def apply(
        self, conditions: tuple[RowCondition, ...], writes: tuple[RowWrite, ...]
    ) -> Written | Conflict:
        """Apply a transaction immediately, regardless of faults."""
        if any(self._version_of(entry.row) != entry.version for entry in conditions):
            found = tuple(self._stored(entry.row) for entry in conditions)
            return Conflict(found, self._state.version, self.now_ms())
        version = self._commit(writes) if writes else self._state.version
        return Written(version, self.now_ms())

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read the rows of a partition from `first` up to `end_key`."""
        self.calls.reads += 1
        refused = await self._apply_fault(
            self.store_faults.fault_of(first.partition), timeout_seconds
        )
        if refused is not None:
            return refused
        return self.rows_between(first, end_key)

    def rows_between(self, first: RowKey, end_key: str) -> RowsRead:
        """Return the rows of a partition from `first` up to `end_key`, regardless of faults."""
        return self._read_range(first, end_key)

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read the rows of a table whose partition is empty."""
        self.calls.reads += 1
        refused = await self._apply_fault(self.store_faults.fault_of(""), timeout_seconds)
        if refused is not None:
            return refused
        return self._read_range(RowKey(table, "", ""), None)

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """Return the changes of a table after a version, waiting up to `wait_seconds` for one."""
        self.calls.feeds += 1
        end_at = self._clock.monotonic() + wait_seconds
        while True:
            refused = await self._apply_fault(
                self.store_faults.fault_of(""), wait_seconds + RESPONSE_GRACE_SECONDS
            )
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
            if rows or left < TIMER_RESOLUTION_SECONDS:
                return RowsRead(rows, False, self._state.version, self.now_ms())
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _apply_fault(self, fault: StoreFault, timeout_seconds: float) -> Refused | None:
        if fault is StoreFault.BUSY:
            return not_run(Reason.STORE_UNAVAILABLE, "busy")
        if fault is StoreFault.RATE_LIMITED:
            return not_run(Reason.RATE_LIMITED, "limited")
        delay = self.store_faults.delay_seconds
        if fault is StoreFault.UNRESPONSIVE or delay > timeout_seconds:
            await self._clock.sleep(timeout_seconds)
            return outcome_unknown(Reason.STORE_UNAVAILABLE, "the store did not respond")
        if delay:
            await self._clock.sleep(delay)
        return None

    def _schedule_apply(
        self, conditions: tuple[RowCondition, ...], writes: tuple[RowWrite, ...]
    ) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.store_faults.late_seconds, self.apply, conditions, writes)

    def _read_range(self, first: RowKey, end_key: str | None) -> RowsRead:
        state = self._frozen if self.store_faults.stale_reads and self._frozen else self._state
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
                self._state.put(write.row, _StoredValue(write.value, version))
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
