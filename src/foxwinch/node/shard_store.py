"""A shard's rows in the table and its snapshots in the object store.

Every change of the shard's row goes through one conditional transaction, and the journal rows that
belong to it are in the same one. So the row always tells exactly what is stored.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from foxwinch._generated.replication_pb2 import JournalBatch, ShardSnapshot
from foxwinch.clock import Clock
from foxwinch.core.journal.configuration import CommitPlace, Group, GroupMember, ShardRecord
from foxwinch.core.journal.framing import CorruptFrames, Entry
from foxwinch.core.journal.log import JournalLog, Snapshot
from foxwinch.identifiers import RegionName, ShardNumber
from foxwinch.node.replication_codec import (
    decode_batch,
    decode_record,
    decode_snapshot,
    encode_batch,
    encode_record,
    encode_snapshot,
)
from foxwinch.node.settled_table import ANSWER_SECONDS, answered, transact_settled
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.storage.ports import (
    Committed,
    Condition,
    ObjectPort,
    RowPage,
    TablePort,
    Transaction,
    Write,
)

ATTEMPTS = 4
SNAPSHOT_PART_BYTES = 1024 * 1024
"""Objects of this size are read and written in well under a second."""
SCAN_ROWS = 200
BATCH_BYTES = 256 * 1024
"""Journal bytes in one row; tables commonly refuse rows of more than 400 KB."""


@dataclass(frozen=True, slots=True)
class StoredShard:
    """A shard's record and the version of its row; version 0 stands for an absent row."""

    record: ShardRecord
    version: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another node has changed the row."""


class ShardStore:
    """Reads and writes the shards of one region."""

    def __init__(
        self, region: RegionName, table: TablePort | None, objects: ObjectPort | None, clock: Clock
    ) -> None:
        """Use the platform's ports; without a table everything is refused as not run."""
        self._region = region
        self._table = table
        self._objects = objects
        self._clock = clock

    @property
    def has_objects(self) -> bool:
        """Whether snapshots can be stored."""
        return self._objects is not None

    async def read(self, shard: ShardNumber) -> StoredShard | Refused:
        """Read a shard's record."""
        if self._table is None:
            return not_run(Reason.STORE_UNAVAILABLE, "no table service is configured")
        row = await answered(self._table.read(self._row_key(shard)), ANSWER_SECONDS)
        if isinstance(row, Refused):
            return row
        if row is None:
            return StoredShard(ShardRecord(), 0)
        return StoredShard(decode_record(row.value), row.version)

    async def raise_term(
        self,
        shard: ShardNumber,
        held: StoredShard,
        owner: GroupMember,
        group: Group,
        place: CommitPlace,
    ) -> StoredShard | Superseded | Refused:
        """Take the shard under the next term; a lost answer is settled by reading back."""
        record = held.record.raised(owner, group, place, self._clock.identifier())
        return await self._write(shard, held, record, (), record.claim)

    async def store(
        self,
        shard: ShardNumber,
        held: StoredShard,
        record: ShardRecord,
        entries: Sequence[Entry],
    ) -> StoredShard | Superseded | Refused:
        """Write entries that follow on what is stored, and `record` with the new end."""
        writes: list[Write] = []
        chain = held.record.stored_chain
        for batch in _batches(entries):
            value = encode_batch(batch, chain).SerializeToString()
            writes.append(Write(self._journal_key(shard, batch[0].index), value))
            chain = batch[-1].chain
        if entries:
            record = record.stored(entries[-1].index, entries[-1].chain)
        return await self._write(shard, held, record, writes, self._clock.identifier())

    async def store_snapshot(
        self, shard: ShardNumber, held: StoredShard, snapshot: Snapshot
    ) -> StoredShard | Superseded | Refused:
        """Put a snapshot into the object store and drop the journal rows that it replaces."""
        keys = await self._put_parts(shard, snapshot)
        if isinstance(keys, Refused):
            return keys
        record = held.record.with_snapshot(snapshot.index, snapshot.chain, keys)
        if snapshot.index > record.stored_index:
            record = record.stored(snapshot.index, snapshot.chain)
        replaced = await self._journal_keys(shard)
        if isinstance(replaced, Refused):
            return replaced
        # A batch may reach beyond the snapshot: rows go only once the next one starts below it.
        ends = [*replaced[1:], self._journal_key(shard, held.record.stored_index + 1)]
        limit = self._journal_key(shard, snapshot.index + 1)
        writes = [Write(key, None) for key, end in zip(replaced, ends, strict=True) if end <= limit]
        outcome = await self._write(shard, held, record, writes, self._clock.identifier())
        if isinstance(outcome, StoredShard):
            await self._delete_parts(held.record.snapshot_keys)
        return outcome

    async def load(self, shard: ShardNumber, record: ShardRecord) -> JournalLog | Refused:
        """Read everything that is stored of a shard."""
        snapshot = await self._load_snapshot(record)
        if isinstance(snapshot, Refused):
            return snapshot
        log = JournalLog(snapshot)
        start = self._journal_prefix(shard)
        while True:
            page = await self._scan(shard, start)
            if isinstance(page, Refused):
                return page
            for row in page.rows:
                entries = decode_batch(JournalBatch.FromString(row.value))
                if isinstance(entries, CorruptFrames):
                    return outcome_unknown(Reason.INTERNAL, f"journal row {row.key} is damaged")
                log.extend([entry for entry in entries if entry.index > log.last_index])
            if page.next_key is None:
                break
            start = page.next_key
        if (log.last_index, log.last_chain) != (record.stored_index, record.stored_chain):
            return outcome_unknown(Reason.INTERNAL, "the stored journal does not match its row")
        return log

    async def _write(
        self,
        shard: ShardNumber,
        held: StoredShard,
        record: ShardRecord,
        writes: Sequence[Write],
        token: str,
    ) -> StoredShard | Superseded | Refused:
        if self._table is None:
            return not_run(Reason.STORE_UNAVAILABLE, "no table service is configured")
        key = self._row_key(shard)
        value = encode_record(record)
        transaction = Transaction(
            token, (Condition(key, held.version),), (*writes, Write(key, value))
        )
        outcome = await transact_settled(self._table, self._clock, transaction, ATTEMPTS)
        if isinstance(outcome, Committed):
            return StoredShard(record, held.version + 1)
        if isinstance(outcome, Refused):
            return outcome
        # The service may have forgotten the token of a first sending that took effect.
        found = await answered(self._table.read(key), ANSWER_SECONDS)
        if isinstance(found, Refused):
            return outcome_unknown(Reason.STORE_UNAVAILABLE, "the row could not be read back")
        if found is not None and found.version == held.version + 1 and found.value == value:
            return StoredShard(record, found.version)
        return Superseded()

    async def _put_parts(self, shard: ShardNumber, snapshot: Snapshot) -> tuple[str, ...] | Refused:
        assert self._objects is not None
        keys: list[str] = []
        name = self._clock.identifier()
        for records in _parts(snapshot.records):
            part = replace(snapshot, records=records)
            key = f"snapshot/{self._region}/{shard:04d}/{snapshot.index:016d}/{name}/{len(keys)}"
            data = encode_snapshot(part).SerializeToString()
            outcome = await answered(self._objects.put(key, data), ANSWER_SECONDS)
            if isinstance(outcome, Refused):
                return outcome
            keys.append(key)
        return tuple(keys)

    async def _delete_parts(self, keys: Sequence[str]) -> None:
        """Delete what no row refers to any more; what stays behind costs only space."""
        if self._objects is not None:
            for key in keys:
                await answered(self._objects.delete(key), ANSWER_SECONDS)

    async def _load_snapshot(self, record: ShardRecord) -> Snapshot | Refused:
        records: list[bytes] = []
        for key in record.snapshot_keys:
            if self._objects is None:
                return not_run(Reason.STORE_UNAVAILABLE, "no object store is configured")
            data = await answered(self._objects.get(key), ANSWER_SECONDS)
            if isinstance(data, Refused):
                return data
            part = decode_snapshot(ShardSnapshot.FromString(data)) if data is not None else None
            if not isinstance(part, Snapshot):
                return outcome_unknown(Reason.INTERNAL, f"snapshot {key} is missing or damaged")
            records.extend(part.records)
        return Snapshot(record.snapshot_index, record.snapshot_chain, tuple(records))

    async def _journal_keys(self, shard: ShardNumber) -> list[str] | Refused:
        keys: list[str] = []
        start: str | None = self._journal_prefix(shard)
        while start is not None:
            page = await self._scan(shard, start)
            if isinstance(page, Refused):
                return page
            keys.extend(row.key for row in page.rows)
            start = page.next_key
        return keys

    async def _scan(self, shard: ShardNumber, start: str) -> RowPage | Refused:
        assert self._table is not None
        request = self._table.scan(self._journal_prefix(shard), start, SCAN_ROWS)
        return await answered(request, ANSWER_SECONDS)

    def _row_key(self, shard: ShardNumber) -> str:
        return f"shard/{self._region}/{shard:04d}"

    def _journal_prefix(self, shard: ShardNumber) -> str:
        return f"journal/{self._region}/{shard:04d}/"

    def _journal_key(self, shard: ShardNumber, first_index: int) -> str:
        return f"{self._journal_prefix(shard)}{first_index:016d}"


def _batches(entries: Sequence[Entry]) -> list[list[Entry]]:
    """Split entries into rows of bounded size, each with at least one entry."""
    batches: list[list[Entry]] = []
    size = BATCH_BYTES
    for entry in entries:
        if size + len(entry.payload) > BATCH_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(entry)
        size += len(entry.payload)
    return batches


def _parts(records: Sequence[bytes]) -> list[tuple[bytes, ...]]:
    """Split a snapshot's records into objects of bounded size; one even when it is empty."""
    parts: list[list[bytes]] = [[]]
    size = 0
    for record in records:
        if parts[-1] and size + len(record) > SNAPSHOT_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(record)
        size += len(record)
    return [tuple(part) for part in parts]
