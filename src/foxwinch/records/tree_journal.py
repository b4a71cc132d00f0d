"""The journal of one program tree in the shared store.

Each append is one transaction that writes the rows of a batch and the tree's head, on condition of
the head's version. When the response is lost, the same append is retried: only one of the appends
sent at a version can take effect, and the token in the head identifies it.
"""

import asyncio
from collections.abc import Callable, Sequence

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.identifiers import ProgramId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.records.ports import Conflict, RecordStore, RowCondition, RowWrite, Written
from foxwinch.records.program_trees import LateAppendCallback, TreeHead, TreeJournal
from foxwinch.records.retry import CALL_TIMEOUT_SECONDS
from foxwinch.records.tree_rows import (
    batch_writes,
    batches_end_key,
    batches_start_key,
    decode_head,
    head_key,
    head_write,
)

APPEND_TIMEOUT_SECONDS = 2.0
"""Time for which an append is retried before its outcome is reported as unknown."""
APPEND_BACKOFF = Backoff(base_seconds=0.05, cap_seconds=0.4)
MAX_ROWS_PER_TRANSACTION = 90
TAKEN_OVER = "another node has taken over the program tree"
TOO_LARGE = not_run(
    Reason.INVALID_REQUEST, "the call's journal record exceeds the store's transaction limit"
)
log = EventLog("families")


class StoredJournal(TreeJournal):
    """The journal of one program tree in the shared store; appends are serialized."""

    def __init__(
        self,
        store: RecordStore,
        clock: Clock,
        root: ProgramId,
        head: TreeHead,
        new_token: Callable[[], str],
    ) -> None:
        """Append after `head`; `new_token` returns a new unique token for each change."""
        self._store = store
        self._clock = clock
        self._root = root
        self._head = head
        self._new_token = new_token
        self._lock = asyncio.Lock()
        self._is_fenced = False
        self._unconfirmed: dict[str, tuple[JournalRecord, ...]] = {}
        self._on_late_append: LateAppendCallback = lambda records: None

    @property
    def batches(self) -> int:
        """Return the number of batches appended to the journal."""
        return self._head.batches

    def on_late_append(self, callback: LateAppendCallback) -> None:
        """Set the callback for records whose append took effect after it was abandoned."""
        self._on_late_append = callback

    async def append(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Append records, all or none; return None once they are committed."""
        async with self._lock:
            return await self._append(tuple(records))

    async def confirm(self) -> Refused | None:
        """Verify that no other node has taken over the tree; return a refusal if that fails."""
        async with self._lock:
            return await self._confirm()

    async def remove(self) -> Refused | None:
        """Remove the journal: mark it as empty, then delete its rows, the head last."""
        async with self._lock:
            if not self._head.version:
                return None
            emptied = self._head._replace(first=self._head.batches, token=self._new_token())
            refused = await self._write_head(emptied, [], ())
            return refused or await self._remove_rows()

    # --- changes of the head -----------------------------------------------------------------

    async def _append(self, records: tuple[JournalRecord, ...]) -> Refused | None:
        token = self._new_token()
        while True:
            head = self._head
            batch = batch_writes(self._root, head.batches, records)
            if batch is None:
                return TOO_LARGE
            new_head = head._replace(batches=head.batches + 1, token=token)
            refused = await self._write_head(new_head, batch, records)
            if refused is None or self._head is head or self._is_fenced:
                return refused

    async def _write_head(
        self, new_head: TreeHead, rows: list[RowWrite], records: tuple[JournalRecord, ...]
    ) -> Refused | None:
        """Write a head and rows; a refusal may be retried if the head has changed meanwhile."""
        if self._is_fenced:
            return not_run(Reason.FENCED, TAKEN_OVER)
        writes = (head_write(self._root, new_head), *rows)
        deadline_at = self._clock.monotonic() + APPEND_TIMEOUT_SECONDS
        may_have_run = False
        attempt = 0
        while True:
            result = await self._transact(writes)
            if isinstance(result, Written):
                self._adopt_head(new_head._replace(version=result.version))
                return None
            if isinstance(result, Conflict):
                return self._resolve_conflict(result, new_head, may_have_run)
            may_have_run = may_have_run or result.run_state is not RunState.NOT_RUN
            wait = APPEND_BACKOFF.wait_seconds(attempt, 0.5 + 0.5 * self._clock.uniform())
            attempt += 1
            if self._clock.monotonic() + wait > deadline_at:
                break
            await self._clock.sleep(wait)
        if may_have_run:
            self._unconfirmed[new_head.token] = records
        run_state = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
        return Refused(result.reason, run_state, result.detail, result.retry_after_seconds)

    async def _transact(self, writes: tuple[RowWrite, ...]) -> Written | Conflict | Refused:
        condition = RowCondition(head_key(self._root), self._head.version)
        return await self._store.transact((condition,), writes, CALL_TIMEOUT_SECONDS)

    async def _confirm(self) -> Refused | None:
        if self._is_fenced:
            return not_run(Reason.FENCED, TAKEN_OVER)
        result = await self._transact(())
        if isinstance(result, Refused):
            return not_run(result.reason, result.detail, result.retry_after_seconds)
        if isinstance(result, Written):
            return None
        head = self._head
        refused = self._resolve_conflict(result, head, may_have_run=False)
        return refused if self._is_fenced or self._head is head else None

    def _resolve_conflict(
        self, conflict: Conflict, new_head: TreeHead, may_have_run: bool
    ) -> Refused | None:
        """Resolve a conflict: this change, an earlier one or another node has written the head."""
        found = decode_head(conflict.rows[0])
        if found is not None and found.version and found.token == new_head.token:
            self._adopt_head(found)
            return None
        earlier = self._unconfirmed.get(found.token) if found is not None else None
        if found is not None and earlier is not None:
            log.info("late_append_found", family=self._root, records=len(earlier))
            self._adopt_head(found)
            self._on_late_append(earlier)
            return not_run(Reason.CONFLICT, "an earlier append took effect late")
        self._is_fenced = True
        node = found.node if found is not None else ""
        log.info("family_lost", family=self._root, to_node=node, version=self._head.version)
        run_state = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
        return Refused(Reason.FENCED, run_state, TAKEN_OVER)

    def _adopt_head(self, head: TreeHead) -> None:
        """Adopt the stored head; appends that were sent before can no longer take effect."""
        self._head = head
        self._unconfirmed.clear()

    # --- removal -----------------------------------------------------------------------------

    async def _remove_rows(self) -> Refused | None:
        read = await self._store.read(
            batches_start_key(self._root), batches_end_key(self._root), CALL_TIMEOUT_SECONDS
        )
        if isinstance(read, Refused):
            return read
        writes = [RowWrite(row.row, None) for row in read.rows]
        writes.append(RowWrite(head_key(self._root), None))
        for start in range(0, len(writes), MAX_ROWS_PER_TRANSACTION):
            result = await self._transact(tuple(writes[start : start + MAX_ROWS_PER_TRANSACTION]))
            if isinstance(result, Refused):
                return result
            if isinstance(result, Conflict):
                return self._resolve_conflict(result, self._head, may_have_run=False)
        self._is_fenced = True
        return None
