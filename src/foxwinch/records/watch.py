"""Watch of one table of the shared store: a full read, then its changes.

A watch can lose its connection, its change history can be truncated, and a read can be stale. Rows
older than the known ones are ignored. After a truncated history, changes may be missing between the
known state and a stale read. A transaction is never stale, so it then gives the current state of
the known rows and the version from which on a read is complete.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.log import EventLog, age_ms
from foxwinch.outcomes import Refused
from foxwinch.records.ports import (
    ABSENT_VERSION,
    MAX_CONDITIONS,
    Conflict,
    HistoryLost,
    RecordStore,
    RowCondition,
    RowKey,
    RowsRead,
    StoredRow,
    Written,
)

WAIT_SECONDS = 2.0
"""Default time for which the store holds a call open (long poll)."""
RESPONSE_GRACE_SECONDS = 0.8
"""Time after the end of a held call at which its response counts as lost: the time that a slow
store takes for other calls."""
RECOVERY_SECONDS = 1.0
"""Recovery time after a lost call: two backoff waits, an attempt whose connect times out after half
a second, and a response."""
MIN_WAIT_SECONDS = 0.5
READ_TIMEOUT_SECONDS = 1.0
RETRY_BACKOFF = Backoff(base_seconds=0.1, cap_seconds=0.6)
QUERY_INTERVAL_SECONDS = 1.0
"""Minimum interval between transactions that query the newest version: half of the time in which a
drain must be noticed. All nodes lose history at once and query one partition, so the rate is
limited."""
ABSENT_KEY = "~"
"""Key of a row that no table contains."""
log = EventLog("watch")


def watch_wait_seconds(seconds: float) -> float:
    """Return the longest hold time with which a lost call is recovered within `seconds`."""
    return max(MIN_WAIT_SECONDS, seconds - RESPONSE_GRACE_SECONDS - RECOVERY_SECONDS)


@dataclass(frozen=True, slots=True)
class _StaleRead:
    """A response that is older than the known state, or after which changes were lost."""


class TableWatch:
    """Delivers the rows and changes of one table to a callback."""

    def __init__(
        self,
        store: RecordStore,
        clock: Clock,
        table: str,
        on_rows: Callable[[RowsRead, bool], None],
        wait_seconds: float = WAIT_SECONDS,
        keys: tuple[str, ...] = (),
    ) -> None:
        """Create a watch that calls `on_rows` with rows and whether they are the full table.

        Calls are held open for `wait_seconds`: a longer time means fewer calls, but a lost response
        is noticed later. After a truncated history, `keys` are queried even if no read has
        returned them.
        """
        self._wait_seconds = wait_seconds
        self._store = store
        self._clock = clock
        self._table = table
        self._on_rows = on_rows
        self._keys = keys
        self._version = 0
        self._row_versions: dict[str, int] = {}
        self._removed: dict[str, int] = {}
        """Versions of removals that a stale read may not reflect."""
        self._history_lost_at: int | None = None
        """Version after which the history was truncated; None once changes arrive again."""
        self._newest: int | None = None
        """Version from which on a full read is complete after the history was truncated."""
        self._queried_at = float("-inf")
        self._interrupted = True
        """Whether a call has failed since the table was last confirmed as up to date."""
        self._confirmed_at: float | None = None
        self._uninterrupted_since = float("inf")
        self._first_confirmed_at: float | None = None
        self._unavailable_since: float | None = None

    @property
    def table(self) -> str:
        """Return the name of the table."""
        return self._table

    @property
    def version(self) -> int:
        """Return the version up to which changes have been applied."""
        return self._version

    def age_seconds(self) -> float:
        """Return the time since the table was last confirmed as up to date."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    def known_seconds(self) -> float:
        """Return the time since the table was first known."""
        if self._first_confirmed_at is None:
            return 0.0
        return self._clock.monotonic() - self._first_confirmed_at

    @property
    def uninterrupted_since(self) -> float:
        """Return the time since which no call has failed, on the node's monotonic clock."""
        return float("inf") if self._interrupted else self._uninterrupted_since

    @property
    def changes_since(self) -> float:
        """Return the earliest time of the changes being applied, on the node's monotonic clock.

        Without a failed call since the last response, the changes are new. Otherwise they may be as
        old as the last response before the failure, or of any age if there was none.
        """
        if not self._interrupted:
            return self._clock.monotonic()
        return float("-inf") if self._confirmed_at is None else self._confirmed_at

    async def confirm(self) -> bool:
        """Apply the changes until now; return whether the table is known as of now.

        A held call tells of a change at once, unless its connection is interrupted.
        """
        if self._confirmed_at is None or self._history_lost_at is not None:
            return False
        received = await self._store.changes(self._table, self._version, 0.0)
        if not isinstance(received, RowsRead) or received.version < self._version:
            return False
        self._version = received.version
        self._apply_changes(received)
        return True

    async def run(self) -> None:
        """Watch the table until cancelled."""
        attempt = 0
        watching_changes = False
        while True:
            outcome = await (self._wait_for_changes() if watching_changes else self._read_full())
            if isinstance(outcome, RowsRead):
                attempt = 0 if watching_changes else attempt
                watching_changes = True
                self._log_recovery()
                continue
            self._interrupted = True
            if isinstance(outcome, Refused):
                self._log_outage(outcome)
            else:
                watching_changes = False
            wait = RETRY_BACKOFF.wait_seconds(attempt, 0.3 + 0.7 * self._clock.uniform())
            attempt += 1
            await self._clock.sleep(wait)

    async def _wait_for_changes(self) -> RowsRead | _StaleRead | HistoryLost | Refused:
        """Wait for changes and apply them.

        After a failed call the next one is not held open, which shows early whether the store is
        back.
        """
        wait_seconds = 0.0 if self._interrupted else self._wait_seconds
        received = await self._store.changes(self._table, self._version, wait_seconds)
        if isinstance(received, HistoryLost):
            log.info("history_lost", table=self._table, version=self._version)
            self._history_lost_at = self._version
        elif isinstance(received, RowsRead):
            if received.version < self._version:
                return _StaleRead()
            self._version = received.version
            self._history_lost_at = self._newest = None
            self._apply_changes(received)
            self._removed.clear()
            self._mark_confirmed()
        return received

    async def _read_full(self) -> RowsRead | _StaleRead | Refused:
        """Read the full table; after a truncated history, query the newest version first."""
        if self._history_lost_at is not None:
            await self._query_newest()
        read = await self._store.read_table(self._table, READ_TIMEOUT_SECONDS)
        if isinstance(read, Refused):
            return read
        log.info(
            "table_read",
            table=self._table,
            rows=len(read.rows),
            version=read.version,
            newest=self._newest,
            highest=self._version,
            age_ms=age_ms(self.age_seconds()),
        )
        if read.version < self._version:
            return _StaleRead()
        if read.version < (self._newest or self._version):
            # The read lacks changes but may contain new rows.
            self._apply_changes(read)
        else:
            self._apply_full_read(read)
            self._mark_confirmed()
        if self._history_lost_at is not None and read.version <= self._history_lost_at:
            return _StaleRead()
        self._version = read.version
        return read

    async def _query_newest(self) -> None:
        """Apply changes of the known rows and get the version that reads must reach."""
        now = self._clock.monotonic()
        if now - self._queried_at < QUERY_INTERVAL_SECONDS:
            return
        self._queried_at = now
        keys = {**dict.fromkeys(self._keys, ABSENT_VERSION), **self._row_versions}
        if not keys or len(keys) > MAX_CONDITIONS:
            keys = {ABSENT_KEY: ABSENT_VERSION}
        conditions = tuple(
            RowCondition(RowKey(self._table, "", key), version) for key, version in keys.items()
        )
        outcome = await self._store.transact(conditions, (), READ_TIMEOUT_SECONDS)
        if isinstance(outcome, Refused):
            log.info("newest_version_unknown", table=self._table, detail=outcome.detail)
            return
        self._newest = outcome.version
        log.info(
            "newest_version",
            table=self._table,
            version=outcome.version,
            known_rows=len(conditions),
            changed=isinstance(outcome, Conflict),
        )
        if isinstance(outcome, Written):
            return
        rows = tuple(
            row if row.value is not None else replace(row, version=outcome.version)
            for row in outcome.rows
            if row.row.key != ABSENT_KEY
        )
        self._apply_changes(
            RowsRead(rows, False, outcome.version, outcome.now_ms, outcome.malformed_rows)
        )

    def _apply_full_read(self, read: RowsRead) -> None:
        self._row_versions = {row.row.key: row.version for row in read.rows}
        self._removed.clear()
        self._on_rows(read, True)

    def _apply_changes(self, read: RowsRead) -> None:
        """Apply the rows that are newer than the known ones."""
        rows = tuple(row for row in read.rows if self._is_newer(row))
        for row in rows:
            if row.value is None:
                self._row_versions.pop(row.row.key, None)
                self._removed[row.row.key] = row.version
            else:
                self._removed.pop(row.row.key, None)
                self._row_versions[row.row.key] = row.version
        for malformed in read.malformed_rows:
            self._row_versions.pop(malformed.key, None)
        if rows or read.malformed_rows:
            self._on_rows(replace(read, rows=rows), False)

    def _is_newer(self, row: StoredRow) -> bool:
        key = row.row.key
        known_version = self._row_versions.get(key, self._removed.get(key, ABSENT_VERSION))
        return row.version > known_version

    def _mark_confirmed(self) -> None:
        self._confirmed_at = self._clock.monotonic()
        if self._first_confirmed_at is None:
            self._first_confirmed_at = self._confirmed_at
        if self._interrupted:
            self._uninterrupted_since = self._confirmed_at
        self._interrupted = False

    def _log_recovery(self) -> None:
        if self._unavailable_since is None:
            return
        outage_seconds = self._clock.monotonic() - self._unavailable_since
        self._unavailable_since = None
        log.info("store_regained", table=self._table, away_ms=int(1e3 * outage_seconds))

    def _log_outage(self, refused: Refused) -> None:
        if self._unavailable_since is None:
            self._unavailable_since = self._clock.monotonic()
            log.warning(
                "store_lost",
                table=self._table,
                reason=refused.reason.value,
                detail=refused.detail,
                version=self._version,
                age_ms=age_ms(self.age_seconds()),
            )
