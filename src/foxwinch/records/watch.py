"""Follows one table of the shared store: reads it whole, then hears its changes.

A watch may hear nothing for a while, its history may be gone, and a read may be older than what was
seen before. Answers older than the highest version that was seen change nothing.
"""

from collections.abc import Callable

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.log import EventLog, age_ms
from foxwinch.outcomes import Refused
from foxwinch.records.ports import HistoryLost, RecordStore, RowsRead

WAIT_SECONDS = 2.0
"""For which the store holds a call open, where nothing else is said."""
ANSWER_SECONDS = 0.8
"""After the end of a held call until its answer is taken for lost: as long as a store that is slow
takes for other calls."""
RECOVERY_SECONDS = 1.0
"""After a lost call: two waits, a try that cannot connect within half a second, and an answer."""
SHORTEST_WAIT_SECONDS = 0.5
READ_SECONDS = 1.0
RETRY_BACKOFF = Backoff(base_seconds=0.1, cap_seconds=0.6)
STALE_SECONDS = 0.25
"""Before a read that was too old is repeated."""
log = EventLog("watch")


def wait_that_recovers_within(seconds: float) -> float:
    """Return how long calls may be held open for a lost one to be made good within `seconds`."""
    return max(SHORTEST_WAIT_SECONDS, seconds - ANSWER_SECONDS - RECOVERY_SECONDS)


class TableWatch:
    """Keeps a reader up to date with one table."""

    def __init__(
        self,
        store: RecordStore,
        clock: Clock,
        table: str,
        take: Callable[[RowsRead, bool], None],
        wait_seconds: float = WAIT_SECONDS,
    ) -> None:
        """Give `take` the rows, and whether they are the whole table or changes.

        A call is held open for `wait_seconds`: the longer, the fewer calls, and the later a lost
        answer is noticed.
        """
        self._wait_seconds = wait_seconds
        self._store = store
        self._clock = clock
        self._table = table
        self._take = take
        self._version = 0
        self._confirmed_at: float | None = None
        self._lost_since: float | None = None

    @property
    def table(self) -> str:
        """Return the name of the table."""
        return self._table

    @property
    def version(self) -> int:
        """Return the version up to which the table is known."""
        return self._version

    def age_seconds(self) -> float:
        """Return how long ago the table was last known to be up to date."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    async def run(self) -> None:
        """Follow the table for ever."""
        attempt = 0
        whole = True
        while True:
            outcome = await (self._read_whole() if whole else self._hear())
            if isinstance(outcome, HistoryLost):
                log.info("history_lost", table=self._table, version=self._version)
                whole = True
            elif isinstance(outcome, Refused):
                self._note_lost(outcome)
                wait = RETRY_BACKOFF.wait_seconds(attempt, 0.3 + 0.7 * self._clock.uniform())
                attempt += 1
                await self._clock.sleep(wait)
            elif outcome.version < self._version:
                log.info(
                    "table_read_stale",
                    table=self._table,
                    version=outcome.version,
                    highest=self._version,
                )
                await self._clock.sleep(STALE_SECONDS)
            else:
                attempt = 0
                self._apply(outcome, whole)
                whole = False

    async def _read_whole(self) -> RowsRead | Refused:
        return await self._store.read_table(self._table, READ_SECONDS)

    async def _hear(self) -> RowsRead | HistoryLost | Refused:
        return await self._store.changes(self._table, self._version, self._wait_seconds)

    def _apply(self, read: RowsRead, whole: bool) -> None:
        if whole:
            log.info(
                "table_read",
                table=self._table,
                rows=len(read.rows),
                version=read.version,
                highest=self._version,
                age_ms=age_ms(self.age_seconds()),
            )
        self._version = read.version
        self._confirmed_at = self._clock.monotonic()
        if self._lost_since is not None:
            away = self._clock.monotonic() - self._lost_since
            self._lost_since = None
            log.info("store_regained", table=self._table, away_ms=int(1e3 * away))
        if whole or read.rows:
            self._take(read, whole)

    def _note_lost(self, refused: Refused) -> None:
        if self._lost_since is None:
            self._lost_since = self._clock.monotonic()
            log.warning(
                "store_lost",
                table=self._table,
                reason=refused.reason.value,
                detail=refused.detail,
                version=self._version,
                age_ms=age_ms(self.age_seconds()),
            )
