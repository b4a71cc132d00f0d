"""The journals of the shards that this node owns."""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Protocol

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.clock import Clock
from foxwinch.core.journal.configuration import CommitPlace
from foxwinch.core.journal.log import Snapshot
from foxwinch.identifiers import Epoch, NodeId, ShardNumber
from foxwinch.log import EventLog
from foxwinch.node.interfaces import Appended
from foxwinch.node.replica_client import ReplicaClient
from foxwinch.node.replica_service import ReplicaService
from foxwinch.node.replicated_journal import ReplicatedJournal, Waiting
from foxwinch.node.shard_journal import (
    FENCED_NOT_RUN,
    FENCED_UNKNOWN,
    NO_QUORUM_NOT_RUN,
    NO_QUORUM_UNKNOWN,
    STALL_SECONDS,
    settle,
)
from foxwinch.node.shard_store import ShardStore
from foxwinch.node.table_journal import TableJournal
from foxwinch.node.takeover_service import TakenOver
from foxwinch.outcomes import Reason, Refused, RunState, not_run

log = EventLog("journal")

ACTIVATE_SECONDS = 5.0
"""Longest wait until a majority of a new group holds the recovered log."""
COMPACT_BYTES = 1024 * 1024
"""Entries after the snapshot that are kept before they are replaced by a newer one; recovery
reads at most about this much beside the state itself."""


RunningCalls = Callable[[ShardNumber], int]
"""Number of calls of a shard that have not ended."""


class ShardLoader(Protocol):
    """Who holds the programs of a shard while this node owns it."""

    def load_shard(
        self, shard: ShardNumber, epoch: Epoch, records: Iterable[JournalRecord]
    ) -> None:
        """Rebuild the shard's programs from its committed records."""
        ...

    def drop_shard(self, shard: ShardNumber) -> None:
        """Forget the shard; its running calls end truthfully."""
        ...

    def snapshot_records(self, shard: ShardNumber) -> Sequence[JournalRecord]:
        """Return the least records that rebuild the shard's programs."""
        ...


class OwnedShard:
    """One shard served by this node."""

    def __init__(self, journal: ReplicatedJournal | TableJournal, since: Epoch) -> None:
        """Serve under the journal's epoch; `since` is this node's first epoch without a gap."""
        self.journal = journal
        self.since = since
        self.ready = asyncio.Event()
        self.outstanding = 0
        self.waiting: Waiting = []
        """Calls that wait while the epoch is being raised."""
        self.dirty = False
        """An append ended without a certain outcome: memory and journal may differ."""

    @property
    def epoch(self) -> Epoch:
        """The epoch in force."""
        return self.journal.configuration.epoch

    @property
    def settled(self) -> bool:
        """Whether every record is committed and applied by those who appended it."""
        journal = self.journal
        return self.outstanding == 0 and journal.committed_index >= journal.log.last_index


class JournalService:
    """Implements `foxwinch.node.interfaces.JournalView`."""

    def __init__(
        self,
        this: NodeId,
        clock: Clock,
        replicas: ReplicaService,
        client: ReplicaClient,
        store: ShardStore,
        registry: CollectorRegistry,
    ) -> None:
        """Own nothing at first."""
        self._this = this
        self._clock = clock
        self._replicas = replicas
        self._client = client
        self._store = store
        self.compact_bytes = COMPACT_BYTES
        self._owned: dict[ShardNumber, OwnedShard] = {}
        self._loader: ShardLoader | None = None
        self._running_calls: RunningCalls = lambda shard: 0
        self._commit_seconds = Histogram(
            "foxwinch_journal_commit_seconds",
            "Time from append to commit",
            registry=registry,
            buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0, 8.0),
        )
        self._records = Counter(
            "foxwinch_journal_records", "Records appended", ["outcome"], registry=registry
        )
        owned = Gauge("foxwinch_shards_owned_count", "Shards served here", registry=registry)
        owned.set_function(lambda: len(self._owned))
        lag = Gauge(
            "foxwinch_replica_lag_records",
            "Records that the replica furthest behind lacks",
            registry=registry,
        )
        lag.set_function(self.replica_lag_records)

    def attach(self, loader: ShardLoader, running_calls: RunningCalls) -> None:
        """Give recovered records to `loader`, and ask `running_calls` before a reload."""
        self._loader = loader
        self._running_calls = running_calls

    def owned(self) -> Iterator[tuple[ShardNumber, OwnedShard]]:
        """Iterate over the shards served here."""
        return iter(list(self._owned.items()))

    def replica_lag_records(self) -> int:
        """Return how many records the replica furthest behind lacks, over all owned shards."""
        journals = [owned.journal for owned in self._owned.values()]
        lags = [j.lag_records() for j in journals if isinstance(j, ReplicatedJournal)]
        return max((records for lag in lags for records in lag.values()), default=0)

    def get(self, shard: ShardNumber) -> OwnedShard | None:
        """Return a shard served here."""
        return self._owned.get(shard)

    async def append(
        self, shard: ShardNumber, epoch: Epoch, records: Sequence[JournalRecord]
    ) -> Appended | Refused:
        """Commit records; see `JournalView`."""
        owned = self._owned.get(shard)
        if owned is None or not owned.since <= epoch <= owned.epoch:
            return FENCED_NOT_RUN
        if not owned.ready.is_set() and not await self._wait_ready(owned):
            return NO_QUORUM_NOT_RUN
        if self._owned.get(shard) is not owned:
            return FENCED_NOT_RUN
        started = self._clock.monotonic()
        owned.outstanding += 1
        outcome: Appended | Refused = NO_QUORUM_UNKNOWN
        try:
            outcome = await owned.journal.append([r.SerializeToString() for r in records])
        finally:
            self._after_append(owned, outcome)
        self._commit_seconds.observe(self._clock.monotonic() - started)
        return outcome

    async def open(
        self, taken: TakenOver, on_fenced: Callable[[ShardNumber], None]
    ) -> Refused | None:
        """Start to serve a shard that was taken over; returns why that was not possible."""
        journal = self._new_journal(taken, on_fenced)
        if journal is None:
            return FENCED_NOT_RUN
        journal.start()
        if not await journal.wait_active(ACTIVATE_SECONDS):
            await journal.stop()
            return not_run(Reason.NO_QUORUM, "too few replicas took the journal over", 1.0)
        owned = OwnedShard(journal, taken.configuration.epoch)
        self._owned[taken.shard] = owned
        owned.ready.set()
        self._load(taken.shard, owned)
        return None

    async def pause(self, shard: ShardNumber) -> None:
        """Stop writing under the present epoch; appends wait until `reopen` or `close`."""
        owned = self._owned[shard]
        owned.ready.clear()
        owned.journal.on_fenced = _nothing
        if isinstance(owned.journal, ReplicatedJournal):
            owned.waiting = await owned.journal.pause()
        else:
            for _, future in await owned.journal.pause():
                settle(future, NO_QUORUM_NOT_RUN)

    def hold(self, shard: ShardNumber) -> None:
        """Let new appends wait until `release` or `close`, as before a handover."""
        self._owned[shard].ready.clear()

    def release(self, shard: ShardNumber) -> None:
        """Let appends go on that wait since `hold`."""
        owned = self._owned.get(shard)
        if owned is not None:
            owned.ready.set()

    async def reopen(
        self, taken: TakenOver, on_fenced: Callable[[ShardNumber], None]
    ) -> Refused | None:
        """Go on under a higher epoch of this node; returns why that was not possible."""
        owned = self._owned.get(taken.shard)
        if owned is None:
            return FENCED_NOT_RUN
        old = owned.journal
        last_index, last_chain = old.log.last_index, old.log.last_chain
        journal = self._new_journal(taken, on_fenced)
        if journal is None:
            return FENCED_NOT_RUN
        continuous = journal.log.chain_at(last_index) == last_chain
        waiting, owned.waiting = owned.waiting, []
        if isinstance(journal, ReplicatedJournal) and continuous:
            journal.adopt_waiters(waiting)
        else:
            _settle_all(waiting)
        journal.start()
        owned.journal = journal
        if not await journal.wait_active(ACTIVATE_SECONDS):
            return not_run(Reason.NO_QUORUM, "too few replicas took the journal over", 1.0)
        owned.ready.set()
        if not continuous:
            owned.since = taken.configuration.epoch
            self._load(taken.shard, owned)
        return None

    async def close(self, shard: ShardNumber) -> None:
        """Stop serving a shard; whoever waits for a commit is told that it is uncertain."""
        owned = self._owned.pop(shard, None)
        if owned is None:
            return
        owned.ready.set()
        if self._loader is not None:
            self._loader.drop_shard(shard)
        _settle_all(owned.waiting)
        await owned.journal.stop()

    def maintain(self, has_objects: bool) -> None:
        """Reload shards whose memory may differ from the journal; compact long journals."""
        for shard, owned in self.owned():
            if not owned.settled or not owned.ready.is_set():
                continue
            if owned.dirty:
                if self._running_calls(shard):
                    continue
                log.warning("shard_reloaded", shard=shard, epoch=owned.epoch)
                self._load(shard, owned)
            else:
                self._compact(shard, owned, has_objects)

    def _compact(self, shard: ShardNumber, owned: OwnedShard, has_objects: bool) -> None:
        journal = owned.journal
        limit = max(self.compact_bytes, 2 * journal.log.snapshot_bytes)
        if self._loader is None or journal.log.entry_bytes < limit:
            return
        index, chain = journal.log.last_index, journal.log.last_chain
        if not has_objects:
            # The table is then the only place that what the snapshot replaces could go to.
            return
        records = self._loader.snapshot_records(shard)
        snapshot = Snapshot(index, chain, tuple(r.SerializeToString() for r in records))
        if isinstance(journal, TableJournal):
            journal.compact(snapshot)
        else:
            self._replicas.replica(shard).compact(owned.epoch, snapshot)
            journal.compacted()
        log.info("journal_compacted", shard=shard, index=index, bytes=snapshot.size_bytes())

    def _new_journal(
        self, taken: TakenOver, on_fenced: Callable[[ShardNumber], None]
    ) -> ReplicatedJournal | TableJournal | None:
        """Return a journal, or None when this node's replica has promised a higher epoch."""
        replica = self._replicas.replica(taken.shard)
        journal: ReplicatedJournal | TableJournal
        if taken.configuration.place is CommitPlace.TABLE:
            journal = TableJournal(taken, self._store, self._clock)
        elif replica.promised > taken.configuration.epoch:
            return None
        else:
            journal = ReplicatedJournal(taken, self._this, replica, self._client, self._clock)
        journal.on_fenced = lambda: on_fenced(taken.shard)
        return journal

    def _load(self, shard: ShardNumber, owned: OwnedShard) -> None:
        owned.dirty = False
        if self._loader is not None:
            records = [JournalRecord.FromString(p) for p in owned.journal.log.payloads()]
            self._loader.load_shard(shard, owned.epoch, records)

    async def _wait_ready(self, owned: OwnedShard) -> bool:
        try:
            async with asyncio.timeout(STALL_SECONDS):
                await owned.ready.wait()
        except TimeoutError:
            return False
        return True

    def _after_append(self, owned: OwnedShard, outcome: Appended | Refused) -> None:
        """Count an append as applied once its caller has run on: at the loop's next turn."""
        unknown = isinstance(outcome, Refused) and outcome.run_state is not RunState.NOT_RUN
        owned.dirty = owned.dirty or unknown
        label = "committed" if isinstance(outcome, Appended) else outcome.run_state.value
        self._records.labels(label).inc()

        def applied() -> None:
            owned.outstanding -= 1

        asyncio.get_running_loop().call_soon(applied)


def _settle_all(waiting: Waiting) -> None:
    for _, future in waiting:
        settle(future, FENCED_UNKNOWN)


def _nothing() -> None:
    """Stand for a listener that is not wanted any more."""
