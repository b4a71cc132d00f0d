"""Flush behind: committed records go to the table and the object store, within their rate."""

import asyncio

from prometheus_client import CollectorRegistry, Counter, Gauge

from foxwinch.clock import Clock
from foxwinch.core.journal.configuration import Configuration, ShardRecord
from foxwinch.identifiers import ShardNumber
from foxwinch.log import EventLog
from foxwinch.node.journal_service import JournalService, OwnedShard
from foxwinch.node.replica_client import ReplicaClient
from foxwinch.node.replicated_journal import ReplicatedJournal
from foxwinch.node.shard_store import ShardStore, StoredShard, Superseded
from foxwinch.outcomes import Reason, Refused

log = EventLog("flush")

ROUND_SECONDS = 0.5
"""Between two rounds; records wait so long for the table, and share a transaction meanwhile."""
RATE_MAXIMUM = 20.0
"""Transactions a second of one node at most; a region of twelve then stays below 240."""
RATE_MINIMUM = 0.2
RATE_STEP = 0.5
TRANSACTION_BYTES = 1024 * 1024
"""Journal bytes in one transaction, so that a long backlog goes in steps."""
RAISED_SECONDS = 10.0
"""A takeover ends within this time, or its node has ended or was cut off."""
DOWN_SECONDS = 2.0
"""Pause after a refusal that names no time of its own."""


class FlushService:
    """Writes the backlog of every shard owned here, oldest row version first come."""

    def __init__(
        self,
        clock: Clock,
        journals: JournalService,
        store: ShardStore,
        client: ReplicaClient,
        registry: CollectorRegistry,
    ) -> None:
        """Write nothing before the start."""
        self._clock = clock
        self._journals = journals
        self._store = store
        self._client = client
        self._rate = RATE_MAXIMUM
        self._raised_at: dict[ShardNumber, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._flushed = Counter(
            "foxwinch_flush_records", "Records written to the table", registry=registry
        )
        backlog = Gauge(
            "foxwinch_flush_backlog_records", "Committed and not yet stored", registry=registry
        )
        backlog.set_function(self.backlog_records)

    async def start(self) -> None:
        """Start the task that flushes."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._task.add_done_callback(_log_failure)

    async def stop(self) -> None:
        """Stop flushing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def backlog_records(self) -> int:
        """Return how many committed records are not known to be stored."""
        total = 0
        for _, owned in self._journals.owned():
            stored = owned.journal.stored
            total += owned.journal.committed_index - (stored.record.stored_index if stored else 0)
        return max(0, total)

    async def flush_all(self) -> bool:
        """Flush every shard once; False when the store refused."""
        for shard, owned in self._journals.owned():
            while True:
                progress = await self._flush_shard(shard, owned)
                if isinstance(progress, Refused):
                    await self._slow_down(progress)
                    return False
                if not progress:
                    break
                self._rate = min(RATE_MAXIMUM, self._rate + RATE_STEP)
                await self._clock.sleep(1.0 / self._rate)
        return True

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(ROUND_SECONDS * (0.5 + self._clock.uniform()))
            self._journals.maintain(self._store.has_objects)
            await self.flush_all()

    async def _flush_shard(self, shard: ShardNumber, owned: OwnedShard) -> bool | Refused:
        """Write one transaction of a shard; True when there was something to write."""
        journal = owned.journal
        if not isinstance(journal, ReplicatedJournal) or not owned.ready.is_set():
            return False
        if journal.stored is None:
            held = await self._store.read(shard)
            if isinstance(held, Refused):
                return held
            journal.stored = held
        outcome = await self._write_next(shard, journal, journal.stored)
        if isinstance(outcome, Superseded):
            journal.stored = None
            return False
        if outcome is None or isinstance(outcome, Refused):
            return False if outcome is None else outcome
        former = journal.stored.record
        journal.stored = outcome
        self._flushed.inc(outcome.record.stored_index - former.stored_index)
        await self._retire_former(shard, former, outcome.record)
        return True

    async def _write_next(
        self, shard: ShardNumber, journal: ReplicatedJournal, held: StoredShard
    ) -> StoredShard | Superseded | Refused | None:
        record = held.record
        start = record.stored_index
        newest = record.newest
        if start > journal.committed_index or journal.fenced:
            return None
        if self._is_being_taken(shard, journal, newest):
            return None
        snapshot = journal.log.snapshot
        if snapshot.index > record.snapshot_index and self._store.has_objects:
            return await self._store.store_snapshot(shard, held, snapshot)
        if start < snapshot.index:
            return None
        assert journal.log.chain_at(start) == record.stored_chain, "stored records must agree"
        entries = [
            entry
            for entry in journal.log.after(start, TRANSACTION_BYTES)
            if entry.index <= journal.committed_index
        ]
        activates = (
            len(record.configurations) > 1
            and newest is not None
            and newest.epoch == journal.configuration.epoch
        )
        if not entries and not activates:
            return None
        written = record.activated() if activates else record
        return await self._store.store(shard, held, written, entries)

    def _is_being_taken(
        self, shard: ShardNumber, journal: ReplicatedJournal, newest: Configuration | None
    ) -> bool:
        """Tell whether another node has just raised the epoch; its next write should not fail.

        Committed records may be stored by any owner, so a raise that leads to nothing does not
        hold them up for long.
        """
        if newest is None or newest.epoch <= journal.configuration.epoch:
            self._raised_at.pop(shard, None)
            return False
        now = self._clock.monotonic()
        return now < self._raised_at.setdefault(shard, now) + RAISED_SECONDS

    async def _retire_former(
        self, shard: ShardNumber, former: ShardRecord, record: ShardRecord
    ) -> None:
        """Tell replicas of configurations that are void now to forget the shard."""
        newest = record.newest
        if newest is None or len(record.configurations) == len(former.configurations):
            return
        staying = set(newest.nodes())
        leaving = {m.node: m for c in former.configurations for m in c.group}
        for node, member in leaving.items():
            if node not in staying:
                await self._client.retire(shard, member, newest.epoch)

    async def _slow_down(self, refused: Refused) -> None:
        if refused.reason is Reason.RATE_LIMITED:
            self._rate = max(RATE_MINIMUM, self._rate / 2)
        pause = refused.retry_after_seconds or DOWN_SECONDS
        await self._clock.sleep(pause * (1.0 + self._clock.uniform()))


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("flush_failed", error=repr(task.exception()))
