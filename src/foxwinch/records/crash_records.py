"""Crash histories of requests in the shared store, of which each node keeps a copy.

Only requests under which workers have ended, or several may have ended, have a row, so the table is
small and every node watches it. Notices of other nodes add crashes whose rows have not arrived yet,
and doubts, most of which are resolved without a row. A doubt is written and removed by the node
that lost the send; the others only read it.
"""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from google.protobuf.message import DecodeError

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.core.records.crash_history import (
    MAX_CRASHES,
    Crash,
    CrashHistory,
    Doubt,
    SendClaim,
)
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.ports import (
    ABSENT_VERSION,
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
MAX_HISTORIES = 20_000
"""Maximum number of histories in memory, the oldest evicted first."""
MAX_UNSAVED = 2_000
"""Maximum number of histories that wait to be stored; further updates stay in memory only."""
MIN_WAIT_SECONDS = 0.001
SAVE_BACKOFF = Backoff(base_seconds=0.1, cap_seconds=0.4)
CLEANUP_SECONDS = 60.0
"""Minimum interval between removals of expired rows; nodes vary it up to the double."""
Change = Callable[[CrashHistory], CrashHistory | None]
Update = Callable[[CrashHistory], CrashHistory]
log = EventLog("crashes")


@dataclass(slots=True)
class _Known:
    """What a node knows of one history."""

    history: CrashHistory = field(default_factory=CrashHistory)
    row_version: int = ABSENT_VERSION
    seen_version: int = ABSENT_VERSION
    """Store version as of which the history is known."""
    reported: dict[str, Crash] = field(default_factory=dict)
    """Crashes whose rows have not arrived, by worker incarnation."""
    reported_doubts: dict[str, Doubt] = field(default_factory=dict)
    """Doubts that are not stored, by worker incarnation; they lapse when they expire."""

    def with_crashes(self) -> CrashHistory:
        """Return the stored history with the reported crashes."""
        history = self.history
        for crash in self.reported.values():
            history = history.with_crash(crash, "")
        return history

    def combined(self, now_ms: int) -> CrashHistory:
        """Return the stored history with the reported crashes and doubts."""
        history = self.with_crashes()
        for doubt in self.reported_doubts.values():
            if now_ms < doubt.expires_ms:
                history = history.with_doubt(doubt, "")
        return history


class CrashRecords:
    """Reads and changes crash histories."""

    def __init__(self, store: ObservedStore, clock: Clock, tasks: ServiceTasks) -> None:
        """Keep a copy of the histories in `store`; `tasks` run the writes."""
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._known: dict[str, _Known] = {}
        self._claims: dict[str, SendClaim] = {}
        """Claims of the known histories."""
        self._unsaved: dict[str, list[Update]] = {}
        self._saved = asyncio.Event()
        """Set and replaced after each batch."""
        self._is_saving = False
        self.watch = TableWatch(store, clock, CRASHES_TABLE, self._on_rows, WATCH_SECONDS)

    @property
    def is_empty(self) -> bool:
        """Whether no crash and no doubt is known."""
        return not self._known

    def now_ms(self) -> int:
        """Return a time that the store's clock has reached; 0 before its first response."""
        clock = self._store.store_clock
        return clock.earliest_ms(self._clock.monotonic()) if clock.is_known else 0

    def history_of(self, fingerprint: str) -> CrashHistory:
        """Return the current history of a request."""
        known = self._known.get(fingerprint)
        if known is None:
            return CrashHistory()
        now_ms = self.now_ms()
        return known.combined(now_ms).current(now_ms)

    def claimed_workers(self, without: str) -> Collection[str]:
        """Return the incarnations at which other requests than `without` run under a claim."""
        now_ms = self.now_ms()
        claims = (claim for each, claim in self._claims.items() if each != without)
        return {claim.worker for claim in claims if now_ms < claim.expires_ms}

    def crashed_since(self, seconds: float) -> set[str]:
        """Return the incarnations that have crashed in the last `seconds`."""
        since_ms = self.now_ms() - int(1e3 * seconds)
        return {
            crash.worker
            for known in self._known.values()
            for crash in (*known.history.crashes, *known.reported.values())
            if crash.recorded_ms > since_ms
        }

    def add_reported(self, fingerprint: str, crash: Crash) -> bool:
        """Add a crash that is not stored yet; return whether it is new."""
        known = self._get(fingerprint)
        if any(each.worker == crash.worker for each in known.with_crashes().crashes):
            return False
        known.reported_doubts.pop(crash.worker, None)
        known.reported[crash.worker] = crash
        return True

    def add_doubt(self, fingerprint: str, doubt: Doubt) -> bool:
        """Add a doubt that is not stored; return whether it is new."""
        known = self._get(fingerprint)
        history = known.combined(self.now_ms())
        if any(each.worker == doubt.worker for each in history.losses):
            return False
        known.reported_doubts[doubt.worker] = doubt
        return True

    def has_loss(self, fingerprint: str, worker: str) -> bool:
        """Return whether a send to an incarnation is in doubt or counts as a crash."""
        history = self.history_of(fingerprint)
        return any(each.worker == worker for each in history.losses)

    def unstored_losses(self, most: int) -> list[tuple[str, Crash | Doubt]]:
        """Return at most `most` losses that are not known to be stored, by fingerprint."""
        now_ms = self.now_ms()
        unstored: list[tuple[str, Crash | Doubt]] = []
        for fingerprint, known in self._known.items():
            unstored += [(fingerprint, crash) for crash in known.reported.values()]
            unstored += [
                (fingerprint, doubt)
                for doubt in known.reported_doubts.values()
                if now_ms < doubt.expires_ms
            ]
            if len(unstored) >= most:
                break
        return unstored[:most]

    def remove_doubt(self, fingerprint: str, worker: str) -> None:
        """Forget the doubt of an incarnation that has proved to live, and remove a stored one."""
        known = self._known.get(fingerprint)
        if known is None:
            return
        known.reported_doubts.pop(worker, None)
        is_stored = any(each.worker == worker for each in known.history.losses)
        if is_stored or fingerprint in self._unsaved:
            self.start_save(fingerprint, lambda history: history.without(worker))
        self._drop_if_unknown(fingerprint)

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
            if held or self.history_of(fingerprint).weight >= MAX_CRASHES:
                return None
            return history.with_claim(claim)

        return await self._change(fingerprint, take, deadline_at)

    async def release(self, fingerprint: str, holder: str, deadline_at: float) -> None:
        """Release a claim if `holder` has it."""

        def drop(history: CrashHistory) -> CrashHistory | None:
            if history.claim is None or history.claim.holder != holder:
                return None
            return history.with_claim(None)

        outcome = await self._change(fingerprint, drop, deadline_at)
        if isinstance(outcome, Refused):
            log.warning("claim_not_released", fingerprint=fingerprint, detail=outcome.detail)

    async def clear(self, fingerprint: str, deadline_at: float) -> None:
        """Forget the crashes under a request that has succeeded."""
        known = self._known.get(fingerprint)
        if known is None:
            return
        known.reported.clear()
        known.reported_doubts.clear()
        is_stored = known.row_version != ABSENT_VERSION or fingerprint in self._unsaved
        self._unsaved.pop(fingerprint, None)
        if not is_stored:
            self._drop_if_unknown(fingerprint)
            return
        outcome = await self._change(fingerprint, lambda _: CrashHistory(), deadline_at)
        if isinstance(outcome, Refused):
            log.warning("crashes_not_cleared", fingerprint=fingerprint, detail=outcome.detail)

    async def run_cleanup(self) -> None:
        """Remove expired rows until cancelled."""
        while True:
            await self._clock.sleep(CLEANUP_SECONDS * (1 + self._clock.uniform()))
            now_ms = self.now_ms()
            self._drop_lapsed_doubts(now_ms)
            expired = [
                fingerprint
                for fingerprint, known in self._known.items()
                if known.combined(now_ms).current(now_ms) == CrashHistory()
            ]
            for start in range(0, len(expired), BATCH_ROWS):
                batch = dict.fromkeys(expired[start : start + BATCH_ROWS], CrashHistory())
                await self._transact(batch, CALL_TIMEOUT_SECONDS)

    def _drop_lapsed_doubts(self, now_ms: int) -> None:
        """Drop the reported doubts that have expired."""
        for fingerprint, known in list(self._known.items()):
            for worker, doubt in list(known.reported_doubts.items()):
                if now_ms >= doubt.expires_ms:
                    del known.reported_doubts[worker]
            self._drop_if_unknown(fingerprint)

    async def _change(
        self, fingerprint: str, change: Change, deadline_at: float
    ) -> CrashHistory | Refused:
        """Apply `change` to the stored history, again after each conflict.

        Return the stored history; it is unchanged if `change` returns None.
        """
        attempt = 0
        while True:
            history = self._get(fingerprint).with_crashes().current(self.now_ms())
            changed = change(history)
            if changed is None:
                self._drop_if_unknown(fingerprint)
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
                history = self._get(fingerprint).with_crashes().current(self.now_ms())
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
            RowCondition(row, self._get(fingerprint).row_version)
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
            for fingerprint in [key for key in self._known if key not in listed]:
                self._adopt(StoredRow(_row_key(fingerprint), None, 0), read.version)
        for row in read.rows:
            self._adopt(row, row.version)

    def _adopt(self, stored: StoredRow, seen_version: int) -> None:
        """Adopt a row as of a store version, unless a newer one is known."""
        fingerprint = stored.row.key
        known = self._get(fingerprint)
        if seen_version < known.seen_version:
            return
        known.seen_version = seen_version
        if stored.value is None:
            if known.row_version != ABSENT_VERSION and fingerprint not in self._unsaved:
                known.reported.clear()
            known.history, known.row_version = CrashHistory(), ABSENT_VERSION
            self._claims.pop(fingerprint, None)
            self._drop_if_unknown(fingerprint)
            return
        try:
            known.history = CrashHistory.decode(stored.value)
        except DecodeError as error:
            log.error("crash_history_malformed", fingerprint=fingerprint, detail=str(error))
            known.history = CrashHistory()
        known.row_version = stored.version
        self._claims.pop(fingerprint, None)
        if known.history.claim is not None:
            self._claims[fingerprint] = known.history.claim
        for crash in known.history.crashes:
            known.reported.pop(crash.worker, None)
            known.reported_doubts.pop(crash.worker, None)
        for doubt in known.history.doubts:
            known.reported_doubts.pop(doubt.worker, None)

    def _get(self, fingerprint: str) -> _Known:
        known = self._known.get(fingerprint)
        if known is None:
            while len(self._known) >= MAX_HISTORIES:
                evicted = next(iter(self._known))
                del self._known[evicted]
                self._claims.pop(evicted, None)
            known = self._known[fingerprint] = _Known()
        return known

    def _drop_if_unknown(self, fingerprint: str) -> None:
        known = self._known.get(fingerprint)
        if known is None or known.reported or known.reported_doubts:
            return
        if fingerprint in self._unsaved:
            return
        if known.row_version == ABSENT_VERSION:
            del self._known[fingerprint]


def _row_key(fingerprint: str) -> RowKey:
    return RowKey(CRASHES_TABLE, "", fingerprint)
