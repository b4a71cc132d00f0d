"""The journal of one shard under one epoch, committed in the table."""

import asyncio
from collections.abc import Callable, Sequence

from foxwinch.clock import Clock
from foxwinch.core.journal.log import JournalLog, Snapshot
from foxwinch.node.interfaces import Appended
from foxwinch.node.shard_journal import (
    COMMIT_SECONDS,
    FENCED_NOT_RUN,
    FENCED_UNKNOWN,
    NO_QUORUM_NOT_RUN,
    NO_QUORUM_UNKNOWN,
    STALL_SECONDS,
    settle,
)
from foxwinch.node.shard_store import ShardStore, StoredShard, Superseded
from foxwinch.node.takeover_service import TakenOver
from foxwinch.outcomes import Refused, RunState

TABLE_RETRY_SECONDS = 0.5
TABLE_BATCH_RECORDS = 500
"""Records in one transaction; more would only lengthen the wait of the first one."""

Queued = tuple[Sequence[bytes], asyncio.Future[Appended | Refused]]


class TableJournal:
    """Commits in the table: one transaction for all the records that wait."""

    def __init__(self, taken: TakenOver, store: ShardStore, clock: Clock) -> None:
        """Start from the recovered log; the epoch is active once its rest is in the table."""
        assert taken.stored is not None, "the table was asked for the epoch"
        self.configuration = taken.configuration
        self.stored: StoredShard | None = taken.stored
        self.fenced = False
        self._shard = taken.shard
        self._store = store
        self._clock = clock
        self._log = taken.recovered
        self._held = taken.stored
        self._queue: list[Queued] = []
        self._wake = asyncio.Event()
        self._active = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._failing_since_seconds: float | None = None
        self._retry_at_seconds = 0.0
        self._snapshot: Snapshot | None = None
        self._pausing = False
        self.on_fenced: Callable[[], None] = _nothing

    @property
    def log(self) -> JournalLog:
        """The log as this node holds it."""
        return self._log

    @property
    def committed_index(self) -> int:
        """Index of the last committed record."""
        return self._held.record.stored_index

    def start(self) -> None:
        """Start the task that writes."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def wait_active(self, seconds: float) -> bool:
        """Wait until everything recovered is in the table under this epoch."""
        try:
            async with asyncio.timeout(seconds):
                await self._active.wait()
        except TimeoutError:
            return False
        return not self.fenced

    async def append(self, payloads: Sequence[bytes]) -> Appended | Refused:
        """Commit records; those of concurrent calls share a transaction."""
        if self.fenced:
            return FENCED_NOT_RUN
        if self._is_refusing():
            return NO_QUORUM_NOT_RUN
        future: asyncio.Future[Appended | Refused] = asyncio.get_running_loop().create_future()
        entry = (payloads, future)
        self._queue.append(entry)
        self._wake.set()
        try:
            async with asyncio.timeout(COMMIT_SECONDS):
                return await future
        except TimeoutError:
            if entry in self._queue:
                self._queue.remove(entry)
                return NO_QUORUM_NOT_RUN
            return NO_QUORUM_UNKNOWN

    def compact(self, snapshot: Snapshot) -> None:
        """Store a snapshot between two transactions and drop what it replaces."""
        self._snapshot = snapshot
        self._wake.set()

    async def pause(self) -> list[Queued]:
        """Finish the transaction on its way and stop; return the calls that were not sent."""
        self._pausing = True
        self._wake.set()
        if self._task is not None:
            await self._task
        queue, self._queue = self._queue, []
        return queue

    async def stop(self, outcome: Refused = FENCED_UNKNOWN) -> None:
        """Stop writing; what was not sent is answered as not run."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._refuse_queue(Refused(outcome.reason, RunState.NOT_RUN, outcome.detail, 0.1))

    async def _run(self) -> None:
        await self._activate()
        while not self.fenced and not self._pausing:
            if self._snapshot is not None:
                await self._store_snapshot(self._snapshot)
            if not self._queue:
                await self._wake.wait()
                self._wake.clear()
                continue
            batch = self._queue[:TABLE_BATCH_RECORDS]
            del self._queue[: len(batch)]
            try:
                await self._commit(batch)
            finally:
                for _, future in batch:
                    settle(future, FENCED_UNKNOWN)
        if self.fenced:
            self._refuse_queue(FENCED_NOT_RUN)

    async def _store_snapshot(self, snapshot: Snapshot) -> None:
        self._snapshot = None
        outcome = await self._store.store_snapshot(self._shard, self._held, snapshot)
        if isinstance(outcome, StoredShard):
            self._log.compact(snapshot)
            self._take(outcome)
        elif isinstance(outcome, Superseded) or outcome.run_state is not RunState.NOT_RUN:
            # The row may have a newer version now: only a raise of the epoch settles that.
            await self._fail(Superseded())

    async def _activate(self) -> None:
        entries = self._log.after(self._held.record.stored_index)
        while not self.fenced:
            record = self._held.record.activated()
            outcome = await self._store.store(self._shard, self._held, record, entries)
            if isinstance(outcome, StoredShard):
                self._take(outcome)
                break
            await self._fail(outcome)
        self._active.set()

    async def _commit(self, batch: list[Queued]) -> None:
        """Write a batch; its callers are told `not_run` only when it certainly was not written.

        After an uncertain answer the same content is written again: the row's version lets only
        one of the two in, and the row read back tells that it was the same.
        """
        before = self._log.last_index
        ends: list[int] = []
        for payloads, _ in batch:
            self._log.append(payloads)
            ends.append(self._log.last_index)
        entries = self._log.after(before)
        uncertain = False
        while not self.fenced:
            outcome = await self._store.store(self._shard, self._held, self._held.record, entries)
            if isinstance(outcome, StoredShard):
                self._take(outcome)
                for (_, future), end in zip(batch, ends, strict=True):
                    settle(future, Appended(end))
                return
            if isinstance(outcome, Refused):
                uncertain = uncertain or outcome.run_state is not RunState.NOT_RUN
                if not uncertain:
                    self._log.truncate(before)
                    for _, future in batch:
                        settle(future, NO_QUORUM_NOT_RUN)
            await self._fail(outcome)
            if self._pausing or (isinstance(outcome, Refused) and not uncertain):
                return

    def _take(self, outcome: StoredShard) -> None:
        self._held = outcome
        self.stored = outcome
        self._failing_since_seconds = None

    async def _fail(self, outcome: Superseded | Refused) -> None:
        if isinstance(outcome, Superseded):
            self.fenced = True
            self.on_fenced()
            return
        if self._failing_since_seconds is None:
            self._failing_since_seconds = self._clock.monotonic()
        pause = outcome.retry_after_seconds or TABLE_RETRY_SECONDS
        pause *= 0.5 + self._clock.uniform()
        self._retry_at_seconds = self._clock.monotonic() + pause
        await self._clock.sleep(pause)

    def _is_refusing(self) -> bool:
        """Tell whether the table has failed for a while and is not to be tried just now."""
        now = self._clock.monotonic()
        failing = self._failing_since_seconds
        stalled = failing is not None and now - failing > STALL_SECONDS
        return stalled and now < self._retry_at_seconds

    def _refuse_queue(self, outcome: Refused) -> None:
        for _, future in self._queue:
            settle(future, outcome)
        self._queue.clear()


def _nothing() -> None:
    """Stand for a listener that nobody has set."""
