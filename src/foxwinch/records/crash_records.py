"""Crash histories of requests in the shared store, of which each node keeps a copy.

Only requests under which workers have ended, or several may have ended, have a row, so the table is
small and every node watches it. Notices of other nodes add crashes whose rows have not arrived yet,
and doubts, most of which are resolved without a row. A doubt is written and removed by the node
that lost the send; the others only read it.
"""

import asyncio
from collections.abc import Callable

from google.protobuf.message import DecodeError

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.core.records.crash_history import (
    MAX_CRASHES,
    CrashHistory,
    Doubt,
    SendClaim,
)
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.crash_table import CrashTable
from foxwinch.records.ports import (
    Conflict,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    StoredRow,
    Written,
)
from foxwinch.records.retry import CALL_TIMEOUT_SECONDS, MIN_CALL_SECONDS, STORE_BACKOFF
from foxwinch.records.store_state import ObservedStore
from foxwinch.records.watch import TableWatch
from foxwinch.service_tasks import ServiceTasks

CRASHES_TABLE = "crashes"
WATCH_SECONDS = 10.0
"""Time for which the store holds a watch call. The table rarely changes, and every node watches."""
BATCH_ROWS = 50
"""Maximum number of histories that one transaction changes."""
MAX_UNSAVED = 2_000
"""Maximum number of histories that wait to be stored; further updates stay in memory only."""
MIN_WAIT_SECONDS = 0.001
SAVE_BACKOFF = Backoff(base_seconds=0.1, cap_seconds=0.4)
CLEANUP_SECONDS = 60.0
"""Minimum interval between removals of expired rows; nodes vary it up to the double."""
EXPIRE_SECONDS = 5.0
"""Interval at which expired doubts are dropped. While a loss is known, each request needs its
fingerprint."""
Change = Callable[[CrashHistory], CrashHistory | None]
Update = Callable[[CrashHistory], CrashHistory]
log = EventLog("crashes")


class CrashRecords:
    """Reads and changes crash histories."""

    def __init__(self, store: ObservedStore, clock: Clock, tasks: ServiceTasks) -> None:
        """Keep a copy of the histories in `store`; `tasks` run the writes."""
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._unsaved: dict[str, list[Update]] = {}
        self._saved = asyncio.Event()
        """Set and replaced after each batch."""
        self._is_saving = False
        self.table = CrashTable(self.now_ms, self._unsaved.__contains__)
        self.watch = TableWatch(store, clock, CRASHES_TABLE, self._on_rows, WATCH_SECONDS)

    def now_ms(self) -> int:
        """Return a time that the store's clock has reached; 0 before its first response."""
        clock = self._store.store_clock
        return clock.earliest_ms(self._clock.monotonic()) if clock.is_known else 0

    def remove_doubt(self, fingerprint: str, doubt: Doubt) -> None:
        """Forget the doubt of a send whose worker has proved to live, and remove a stored one."""
        is_stored = self.table.forget_doubt(fingerprint, doubt)
        if is_stored or fingerprint in self._unsaved:
            self.start_save(fingerprint, lambda history: history.without(doubt))

    async def save(self, fingerprint: str, update: Update, wait_seconds: float) -> bool:
        """Apply an update to a stored history; return whether that is committed.

        The write goes on after `wait_seconds`.
        """
        if not self.start_save(fingerprint, update):
            return False
        end_at = self._clock.monotonic() + wait_seconds
        while fingerprint in self._unsaved:
            left = end_at - self._clock.monotonic()
            if left < MIN_WAIT_SECONDS:
                return False
            try:
                async with asyncio.timeout(left):
                    await self._saved.wait()
            except TimeoutError:
                continue
        return True

    def start_save(self, fingerprint: str, update: Update) -> bool:
        """Start to apply an update to a stored history; return False if too many are waiting."""
        if len(self._unsaved) >= MAX_UNSAVED:
            log.warning("crash_not_stored", fingerprint=fingerprint, unsaved=len(self._unsaved))
            return False
        self._unsaved.setdefault(fingerprint, []).append(update)
        if not self._is_saving:
            self._is_saving = True
            self._tasks.start(self._save())
        return True

    async def claim(
        self, fingerprint: str, claim: SendClaim, deadline_at: float
    ) -> CrashHistory | Refused:
        """Take the claim if it is free and the request may be sent; return the stored history.

        The claim was taken if the returned history has it.
        """

        def take(history: CrashHistory) -> CrashHistory | None:
            held = history.claim is not None and history.claim.holder != claim.holder
            if held or self.table.history_of(fingerprint).weight >= MAX_CRASHES:
                return None
            return history.with_claim(claim)

        return await self._change(fingerprint, take, deadline_at)

    async def release(self, fingerprint: str, holder: str, deadline_at: float) -> None:
        """Release a claim if `holder` has it."""

        def drop(history: CrashHistory) -> CrashHistory | None:
            released = history.without_claim_of(holder)
            return None if released == history else released

        outcome = await self._change(fingerprint, drop, deadline_at)
        if isinstance(outcome, Refused):
            log.warning("claim_not_released", fingerprint=fingerprint, detail=outcome.detail)

    def clear_losses(self, fingerprint: str, before_ms: int, holder: str) -> None:
        """Forget the losses under a request before `before_ms`, and release the claim of `holder`.

        Updates that wait to be stored are applied before.
        """
        is_stored = self.table.forget_reported(fingerprint, before_ms)
        if is_stored or fingerprint in self._unsaved:
            self.start_save(
                fingerprint,
                lambda history: history.without_losses(before_ms).without_claim_of(holder),
            )

    async def run_cleanup(self) -> None:
        """Drop expired doubts and remove expired rows until cancelled."""
        while True:
            cleanup_at = now = self._clock.monotonic()
            cleanup_at += CLEANUP_SECONDS * (1 + self._clock.uniform())
            while now < cleanup_at:
                await self._clock.sleep(EXPIRE_SECONDS)
                self.table.drop_expired_doubts()
                now = self._clock.monotonic()
            expired = self.table.expired()
            for start in range(0, len(expired), BATCH_ROWS):
                batch = dict.fromkeys(expired[start : start + BATCH_ROWS], CrashHistory())
                await self._transact(batch, CALL_TIMEOUT_SECONDS)

    async def _change(
        self, fingerprint: str, change: Change, deadline_at: float
    ) -> CrashHistory | Refused:
        """Apply `change` to the stored history, again after each conflict.

        Return the stored history; it is unchanged if `change` returns None.
        """
        attempt = 0
        while True:
            history = self.table.get(fingerprint).with_crashes().current(self.now_ms())
            changed = change(history)
            if changed is None:
                self.table.drop_if_unknown(fingerprint)
                return history
            remaining = deadline_at - self._clock.monotonic()
            timeout_seconds = min(CALL_TIMEOUT_SECONDS, max(MIN_CALL_SECONDS, remaining))
            outcome = await self._transact({fingerprint: changed}, timeout_seconds)
            if isinstance(outcome, Written):
                return changed
            if isinstance(outcome, Refused):
                wait = STORE_BACKOFF.wait_seconds(attempt, 0.5 + 0.5 * self._clock.uniform())
                attempt += 1
                if self._clock.monotonic() + wait > deadline_at:
                    return outcome
                await self._clock.sleep(wait)

    async def _save(self) -> None:
        """Store the unsaved updates in batches until none is left."""
        attempt = 0
        while self._unsaved:
            batch = {}
            for fingerprint in list(self._unsaved)[:BATCH_ROWS]:
                history = self.table.get(fingerprint).with_crashes().current(self.now_ms())
                for update in self._unsaved[fingerprint]:
                    history = update(history)
                batch[fingerprint] = (history, len(self._unsaved[fingerprint]))
            histories = {fingerprint: history for fingerprint, (history, _) in batch.items()}
            outcome = await self._transact(histories, CALL_TIMEOUT_SECONDS)
            if isinstance(outcome, Refused):
                wait = SAVE_BACKOFF.wait_seconds(attempt, 0.5 + 0.5 * self._clock.uniform())
                attempt += 1
                await self._clock.sleep(wait)
                continue
            attempt = 0
            if isinstance(outcome, Written):
                for fingerprint, (_, count) in batch.items():
                    self._mark_saved(fingerprint, count)
                self._saved.set()
                self._saved = asyncio.Event()
        self._is_saving = False

    def _mark_saved(self, fingerprint: str, count: int) -> None:
        """Drop the first `count` unsaved updates of a history; others may have been added since."""
        remaining = self._unsaved.pop(fingerprint, [])[count:]
        if remaining:
            self._unsaved[fingerprint] = remaining

    async def _transact(
        self, histories: dict[str, CrashHistory], timeout_seconds: float
    ) -> Written | Conflict | Refused:
        """Write histories under their known versions and adopt the result."""
        rows = {fingerprint: _row_key(fingerprint) for fingerprint in histories}
        conditions = tuple(
            RowCondition(row, self.table.get(fingerprint).row_version)
            for fingerprint, row in rows.items()
        )
        writes = tuple(
            RowWrite(row, histories[fingerprint].encode() or None)
            for fingerprint, row in rows.items()
        )
        outcome = await self._store.transact(conditions, writes, timeout_seconds)
        if isinstance(outcome, Written):
            for write in writes:
                self._adopt(StoredRow(write.row, write.value, outcome.version), outcome.version)
        elif isinstance(outcome, Conflict):
            for stored in outcome.rows:
                self._adopt(stored, outcome.version)
        return outcome

    def _on_rows(self, read: RowsRead, is_full: bool) -> None:
        if is_full:
            listed = {row.row.key for row in read.rows}
            for fingerprint in [key for key in self.table.fingerprints() if key not in listed]:
                self._adopt(StoredRow(_row_key(fingerprint), None, 0), read.version)
        for row in read.rows:
            self._adopt(row, row.version)

    def _adopt(self, stored: StoredRow, seen_version: int) -> None:
        """Adopt a row as of a store version; one that is malformed counts as empty."""
        fingerprint, history = stored.row.key, None
        if stored.value is not None:
            try:
                history = CrashHistory.decode(stored.value)
            except DecodeError as error:
                log.error("crash_history_malformed", fingerprint=fingerprint, detail=str(error))
                history = CrashHistory()
        self.table.adopt(fingerprint, history, stored.version, seen_version)


def _row_key(fingerprint: str) -> RowKey:
    return RowKey(CRASHES_TABLE, "", fingerprint)
