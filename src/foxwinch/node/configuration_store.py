"""The configuration's rows in the platform's table.

`configuration/head` names the newest revision. `configuration/revision/N` holds revision N as the
difference from N-1, `configuration/snapshot/N` now and then the whole document. Bodies too large
for a row are in `configuration/body/N-TOKEN/I`, written before the row that refers to them.
"""

import asyncio
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from foxwinch._generated.configuration_pb2 import ConfigurationChange, ConfigurationHead
from foxwinch.core.configuration.change import Change, decode, encode
from foxwinch.core.configuration.document import Unreadable
from foxwinch.identifiers import Revision
from foxwinch.outcomes import Reason, Refused, RunState, not_run, outcome_unknown
from foxwinch.storage.ports import (
    Committed,
    Condition,
    ConditionFailed,
    Row,
    RowPage,
    TablePort,
    Transaction,
    Write,
)

PREFIX = "configuration/"
HEAD_KEY = f"{PREFIX}head"
ROW_BODY_BYTES = 32 * 1024
"""Larger bodies are cut into rows of this size; tables commonly bound rows at 64 KiB or more."""
ROWS_PER_TRANSACTION = 8
SNAPSHOT_REVISIONS = 64
"""A node that was away reads one whole document and at most so many differences."""
TABLE_SECONDS = 3.0
"""The table answers in tens of milliseconds; past this it counts as down."""
SLOW = "the table did not answer in time"
KEPT_REVISIONS = 512
"""Revisions kept in the table; a lost answer can be settled by its token for so long."""


@dataclass(frozen=True, slots=True)
class StoredHead:
    """The head row; revision 0 stands for a table without a configuration."""

    revision: Revision
    snapshot: Revision
    row_version: int


class BoundedTable:
    """A table whose answers are waited for only so long; see `TablePort`."""

    def __init__(self, table: TablePort) -> None:
        """Bound the waits for `table`."""
        self._table = table

    async def transact(self, transaction: Transaction) -> Committed | ConditionFailed | Refused:
        """Apply a transaction; a wait given up may have taken effect."""
        try:
            async with asyncio.timeout(TABLE_SECONDS):
                return await self._table.transact(transaction)
        except TimeoutError:
            return outcome_unknown(Reason.STORE_UNAVAILABLE, SLOW)

    async def read(self, key: str) -> Row | Refused | None:
        """Read one row."""
        try:
            async with asyncio.timeout(TABLE_SECONDS):
                return await self._table.read(key)
        except TimeoutError:
            return not_run(Reason.STORE_UNAVAILABLE, SLOW, TABLE_SECONDS)

    async def scan(self, prefix: str, start: str, limit: int) -> RowPage | Refused:
        """Read a page of rows."""
        try:
            async with asyncio.timeout(TABLE_SECONDS):
                return await self._table.scan(prefix, start, limit)
        except TimeoutError:
            return not_run(Reason.STORE_UNAVAILABLE, SLOW, TABLE_SECONDS)


class ConfigurationStore:
    """Reads and writes the rows; every failure is a `Refused`."""

    def __init__(self, table: TablePort) -> None:
        """Use `table`, and give up waiting for it after a bound."""
        self._bounded = BoundedTable(table)

    async def head(self) -> StoredHead | Refused:
        """Read the head."""
        row = await self._bounded.read(HEAD_KEY)
        if isinstance(row, Refused):
            return row
        if row is None:
            return StoredHead(Revision(0), Revision(0), 0)
        message = _parse_head(row.value)
        if isinstance(message, Refused):
            return message
        return StoredHead(
            Revision(message.revision), Revision(message.snapshot_revision), row.version
        )

    async def token_of(self, revision: Revision) -> str | Refused | None:
        """Read the token of the change that made a revision; None when the row is gone."""
        row = await self._bounded.read(_revision_key(revision))
        if row is None or isinstance(row, Refused):
            return row
        message = _parse_change(row.value)
        return message if isinstance(message, Refused) else message.token

    async def changes_after(self, held: Revision, head: StoredHead) -> list[Change] | Refused:
        """Read what brings a node from `held` to the head: whole first where that is nearer."""
        changes: list[Change] = []
        start = held
        if held < head.snapshot:
            row = await self._bounded.read(_snapshot_key(head.snapshot))
            if row is None or isinstance(row, Refused):
                return row or _damaged(f"snapshot {head.snapshot} is missing")
            snapshot = await self._change_of(row.value)
            if isinstance(snapshot, Refused):
                return snapshot
            changes.append(snapshot)
            start = head.snapshot
        page = await self._bounded.scan(
            f"{PREFIX}revision/", _revision_key(Revision(start + 1)), KEPT_REVISIONS
        )
        if isinstance(page, Refused):
            return page
        for found in page.rows:
            change = await self._change_of(found.value)
            if isinstance(change, Refused):
                return change
            changes.append(change)
        return changes

    async def commit(
        self, change: Change, whole: Change | None, head: StoredHead
    ) -> Committed | ConditionFailed | Refused:
        """Make `change` the head if the head is still `head`; `whole` also makes a snapshot."""
        revision_row = await self._store_body(change)
        if isinstance(revision_row, Refused):
            return revision_row
        writes = [Write(_revision_key(change.revision), revision_row.SerializeToString())]
        snapshot = head.snapshot
        if whole is not None:
            snapshot_row = await self._store_body(whole)
            if isinstance(snapshot_row, Refused):
                return snapshot_row
            snapshot = change.revision
            writes.append(Write(_snapshot_key(snapshot), snapshot_row.SerializeToString()))
        new_head = ConfigurationHead(
            revision=change.revision, token=change.token, snapshot_revision=snapshot
        )
        writes.append(Write(HEAD_KEY, new_head.SerializeToString()))
        return await self._bounded.transact(
            Transaction(
                f"{change.token}/head/{change.revision}",
                (Condition(HEAD_KEY, head.row_version),),
                tuple(writes),
            )
        )

    async def prune(self, head: Revision) -> Refused | None:
        """Delete rows that nobody needs: older than the kept revisions."""
        oldest = Revision(head - KEPT_REVISIONS)
        for section in ("revision", "snapshot", "body"):
            end = f"{PREFIX}{section}/{max(oldest, 0):012d}"
            page = await self._bounded.scan(f"{PREFIX}{section}/", "", KEPT_REVISIONS)
            if isinstance(page, Refused):
                return page
            keys = [row.key for row in page.rows if row.key < end]
            for index in range(0, len(keys), ROWS_PER_TRANSACTION):
                batch = tuple(Write(k, None) for k in keys[index : index + ROWS_PER_TRANSACTION])
                token = f"prune/{batch[0].key}/{batch[-1].key}/{len(batch)}/{head}"
                outcome = await self._bounded.transact(Transaction(token, (), batch))
                if isinstance(outcome, Refused):
                    return outcome
        return None

    async def _store_body(self, change: Change) -> ConfigurationChange | Refused:
        """Write a large body in rows of its own; return the row that refers to them."""
        message = encode(change)
        part = _part(message)
        body = message.body
        if len(body) <= ROW_BODY_BYTES:
            return message
        pieces = [body[i : i + ROW_BODY_BYTES] for i in range(0, len(body), ROW_BODY_BYTES)]
        writes = [
            Write(_body_key(change, part, index), piece) for index, piece in enumerate(pieces)
        ]
        for index in range(0, len(writes), ROWS_PER_TRANSACTION):
            token = f"{change.token}/{part}/{change.revision}/{index}"
            batch = tuple(writes[index : index + ROWS_PER_TRANSACTION])
            outcome = await self._bounded.transact(Transaction(token, (), batch))
            if isinstance(outcome, Refused):
                return not_run(outcome.reason, outcome.detail, outcome.retry_after_seconds)
        message.body = b""
        message.chunk_count = len(pieces)
        return message

    async def _change_of(self, value: bytes) -> Change | Refused:
        message = _parse_change(value)
        if isinstance(message, Refused):
            return message
        if message.chunk_count:
            body = await self._read_body(message)
            if isinstance(body, Refused):
                return body
            message.body = body
        change = decode(message)
        return _damaged(change.problem) if isinstance(change, Unreadable) else change

    async def _read_body(self, message: ConfigurationChange) -> bytes | Refused:
        prefix = _body_prefix(Revision(message.revision), message.token, _part(message))
        pieces: list[bytes] = []
        start = ""
        while len(pieces) < message.chunk_count:
            page = await self._bounded.scan(prefix, start, ROWS_PER_TRANSACTION)
            if isinstance(page, Refused):
                return page
            pieces.extend(row.value for row in page.rows)
            if page.next_key is None:
                break
            start = page.next_key
        if len(pieces) != message.chunk_count:
            return _damaged(f"revision {message.revision} lacks rows of its body")
        return b"".join(pieces)


def _revision_key(revision: Revision) -> str:
    return f"{PREFIX}revision/{revision:012d}"


def _snapshot_key(revision: Revision) -> str:
    return f"{PREFIX}snapshot/{revision:012d}"


def _body_prefix(revision: Revision, token: str, part: str) -> str:
    return f"{PREFIX}body/{revision:012d}-{token}-{part}/"


def _part(message: ConfigurationChange) -> str:
    return "delta" if message.base_revision else "whole"


def _body_key(change: Change, part: str, index: int) -> str:
    return f"{_body_prefix(change.revision, change.token, part)}{index:06d}"


def _parse_head(value: bytes) -> ConfigurationHead | Refused:
    try:
        return ConfigurationHead.FromString(value)
    except DecodeError as error:
        return _damaged(f"head: {error}")


def _parse_change(value: bytes) -> ConfigurationChange | Refused:
    try:
        return ConfigurationChange.FromString(value)
    except DecodeError as error:
        return _damaged(f"revision: {error}")


def _damaged(detail: str) -> Refused:
    return Refused(Reason.INTERNAL, RunState.NOT_RUN, f"configuration in the table: {detail}")
