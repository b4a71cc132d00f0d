"""Rows of the configuration in the shared store, all in one partition.

`head` names the newest revision. `revision/N` holds revision N as a delta from N-1, and
`snapshot/N`, written at intervals, holds the full document. Bodies too large for a row are stored
in `body/N-TOKEN/I` before the row that refers to them.
"""

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from foxwinch._generated.configuration_pb2 import ConfigurationChange, ConfigurationHead
from foxwinch.core.configuration.change import Change, decode, encode
from foxwinch.core.configuration.document import InvalidDocument
from foxwinch.identifiers import Revision
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.records.ports import (
    Conflict,
    RecordStore,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    StoredRow,
    Written,
)

TABLE = "configuration"
PARTITION = "0"
HEAD_KEY = "head"
REVISION = "revision/"
SNAPSHOT = "snapshot/"
BODY = "body/"
AFTER_SLASH = "0"
"""The character after the slash, which replaces it to form the end of a prefix's key range."""
AFTER_KEY = "\x01"
ROW_BODY_BYTES = 32 * 1024
"""Larger bodies are split into rows of this size; stores commonly limit rows to 64 KiB."""
ROWS_PER_TRANSACTION = 8
SNAPSHOT_REVISIONS = 64
"""Interval of snapshots in revisions. A node that is behind reads one full document and at most
this many deltas."""
STORE_TIMEOUT_SECONDS = 3.0
"""Timeout of a store operation; the store normally responds in tens of milliseconds."""
KEPT_REVISIONS = 512
"""Number of revisions kept in the store, for which a lost response can be resolved by its token."""


@dataclass(frozen=True, slots=True)
class StoredHead:
    """The head row; revision 0 means that the store holds no configuration."""

    revision: Revision
    snapshot: Revision
    row_version: int


class ConfigurationStore:
    """Reads and writes the configuration rows; every failure is returned as a `Refused`."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store

    async def head(self) -> StoredHead | Refused:
        """Read the head row."""
        row = await self._read(HEAD_KEY)
        if isinstance(row, Refused):
            return row
        if row is None or row.value is None:
            return StoredHead(Revision(0), Revision(0), 0)
        message = _parse_head(row.value)
        if isinstance(message, Refused):
            return message
        return StoredHead(
            Revision(message.revision), Revision(message.snapshot_revision), row.version
        )

    async def read_token(self, revision: Revision) -> str | Refused | None:
        """Read the token of the change that created a revision; return None if it has no row."""
        row = await self._read(_revision_key(revision))
        if isinstance(row, Refused):
            return row
        if row is None or row.value is None:
            return None
        message = _parse_change(row.value)
        return message if isinstance(message, Refused) else message.token

    async def changes_after(self, held: Revision, head: StoredHead) -> list[Change] | Refused:
        """Read the changes from `held` to the head, starting with a snapshot that is newer."""
        changes: list[Change] = []
        start = held
        if held < head.snapshot:
            row = await self._read(_snapshot_key(head.snapshot))
            if isinstance(row, Refused):
                return row
            if row is None or row.value is None:
                return _corrupted(f"snapshot {head.snapshot} is missing")
            snapshot = await self._decode_change(row.value)
            if isinstance(snapshot, Refused):
                return snapshot
            changes.append(snapshot)
            start = head.snapshot
        read = await self._range(_revision_key(Revision(start + 1)), _range_end(REVISION))
        if isinstance(read, Refused):
            return read
        for found in read.rows:
            change = await self._decode_change(found.value or b"")
            if isinstance(change, Refused):
                return change
            changes.append(change)
        return changes

    async def commit(
        self, change: Change, full_change: Change | None, head: StoredHead
    ) -> Written | Conflict | Refused:
        """Commit `change` if the head is still `head`; `full_change` is stored as a snapshot."""
        revision_row = await self._store_body(change)
        if isinstance(revision_row, Refused):
            return revision_row
        writes = [_put(_revision_key(change.revision), revision_row.SerializeToString())]
        snapshot = head.snapshot
        if full_change is not None:
            snapshot_row = await self._store_body(full_change)
            if isinstance(snapshot_row, Refused):
                return snapshot_row
            snapshot = change.revision
            writes.append(_put(_snapshot_key(snapshot), snapshot_row.SerializeToString()))
        new_head = ConfigurationHead(
            revision=change.revision, token=change.token, snapshot_revision=snapshot
        )
        writes.append(_put(HEAD_KEY, new_head.SerializeToString()))
        condition = RowCondition(_row(HEAD_KEY), head.row_version)
        return await self._store.transact((condition,), tuple(writes), STORE_TIMEOUT_SECONDS)

    async def prune(self, head: Revision) -> Refused | None:
        """Delete the rows of revisions older than the `KEPT_REVISIONS` newest ones."""
        oldest = max(head - KEPT_REVISIONS, 0)
        for section in (REVISION, SNAPSHOT, BODY):
            read = await self._range(section, f"{section}{oldest:012d}")
            if isinstance(read, Refused):
                return read
            refused = await self._transact([RowWrite(row.row, None) for row in read.rows])
            if refused is not None:
                return refused
        return None

    async def _store_body(self, change: Change) -> ConfigurationChange | Refused:
        """Write a large body to separate rows and return the row that refers to them."""
        message = encode(change)
        body_kind = _body_kind(message)
        body = message.body
        if len(body) <= ROW_BODY_BYTES:
            return message
        chunks = [body[i : i + ROW_BODY_BYTES] for i in range(0, len(body), ROW_BODY_BYTES)]
        writes = [
            _put(_body_key(change, body_kind, index), chunk) for index, chunk in enumerate(chunks)
        ]
        refused = await self._transact(writes)
        if refused is not None:
            return not_run(refused.reason, refused.detail, refused.retry_after_seconds)
        message.body = b""
        message.chunk_count = len(chunks)
        return message

    async def _decode_change(self, value: bytes) -> Change | Refused:
        message = _parse_change(value)
        if isinstance(message, Refused):
            return message
        if message.chunk_count:
            body = await self._read_body(message)
            if isinstance(body, Refused):
                return body
            message.body = body
        change = decode(message)
        return _corrupted(change.problem) if isinstance(change, InvalidDocument) else change

    async def _read_body(self, message: ConfigurationChange) -> bytes | Refused:
        prefix = _body_prefix(Revision(message.revision), message.token, _body_kind(message))
        read = await self._range(prefix, _range_end(prefix))
        if isinstance(read, Refused):
            return read
        chunks = [row.value or b"" for row in read.rows]
        if len(chunks) != message.chunk_count:
            return _corrupted(
                f"revision {message.revision} has {len(chunks)} of {message.chunk_count} body rows"
            )
        return b"".join(chunks)

    async def _read(self, key: str) -> StoredRow | Refused | None:
        read = await self._range(key, key + AFTER_KEY)
        if isinstance(read, Refused):
            return read
        return read.rows[0] if read.rows else None

    async def _range(self, first: str, end: str) -> RowsRead | Refused:
        return await self._store.read(_row(first), end, STORE_TIMEOUT_SECONDS)

    async def _transact(self, writes: list[RowWrite]) -> Refused | None:
        """Write rows that have no concurrent writers, in several transactions."""
        for index in range(0, len(writes), ROWS_PER_TRANSACTION):
            batch = tuple(writes[index : index + ROWS_PER_TRANSACTION])
            outcome = await self._store.transact((), batch, STORE_TIMEOUT_SECONDS)
            if isinstance(outcome, Refused):
                return outcome
        return None


def _row(key: str) -> RowKey:
    return RowKey(TABLE, PARTITION, key)


def _put(key: str, value: bytes) -> RowWrite:
    return RowWrite(_row(key), value)


def _range_end(prefix: str) -> str:
    return prefix[:-1] + AFTER_SLASH


def _revision_key(revision: Revision) -> str:
    return f"{REVISION}{revision:012d}"


def _snapshot_key(revision: Revision) -> str:
    return f"{SNAPSHOT}{revision:012d}"


def _body_prefix(revision: Revision, token: str, body_kind: str) -> str:
    return f"{BODY}{revision:012d}-{token}-{body_kind}/"


def _body_kind(message: ConfigurationChange) -> str:
    return "delta" if message.base_revision else "whole"


def _body_key(change: Change, body_kind: str, index: int) -> str:
    return f"{_body_prefix(change.revision, change.token, body_kind)}{index:06d}"


def _parse_head(value: bytes) -> ConfigurationHead | Refused:
    try:
        return ConfigurationHead.FromString(value)
    except DecodeError as error:
        return _corrupted(f"head: {error}")


def _parse_change(value: bytes) -> ConfigurationChange | Refused:
    try:
        return ConfigurationChange.FromString(value)
    except DecodeError as error:
        return _corrupted(f"revision: {error}")


def _corrupted(detail: str) -> Refused:
    return Refused(Reason.INTERNAL, RunState.NOT_RUN, f"configuration in the store: {detail}")
