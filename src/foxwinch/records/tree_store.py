"""Program trees in the shared store, with optimistic concurrency control.

The head row of a program tree names the node that serves it. Every append is conditional on the
version of that row, so neither leases nor epochs are needed: the first node to change the row wins,
and the other one's next append fails.
"""

import itertools
from collections.abc import Sequence

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.clock import Clock
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.records.ports import Conflict, RecordStore, RowCondition, RowKey, Written
from foxwinch.records.program_trees import OpenedTree, OwnedElsewhere, ProgramTreeStore, TreeHead
from foxwinch.records.retry import CALL_TIMEOUT_SECONDS, retry_until
from foxwinch.records.tree_journal import StoredJournal
from foxwinch.records.tree_rows import (
    HEADS_TABLE,
    batches_end_key,
    batches_start_key,
    decode_head,
    decode_records,
    head_key,
    head_write,
)

OPEN_TIMEOUT_SECONDS = 3.0
"""Maximum time that a request waits for its program tree to be read."""
LAST_KEY = "\U0010ffff"
MALFORMED_HEAD = Refused(
    Reason.INTERNAL, RunState.NOT_RUN, "the program tree's head row cannot be decoded"
)
STALE = not_run(Reason.STORE_UNAVAILABLE, "the store returned a stale journal", 0.2)
TAKEOVER_LOST = not_run(
    Reason.NOT_OWNER, "another node took over the program tree at the same time", 0.1
)
log = EventLog("families")


class RecordTreeStore(ProgramTreeStore):
    """Program trees in the shared store."""

    def __init__(self, store: RecordStore, clock: Clock, node: NodeId, address: str) -> None:
        """Create the access for `node`, which other nodes reach at `address` (`ip:port`)."""
        self._store = store
        self._clock = clock
        self._node = node
        self._address = address
        self._token_numbers = itertools.count(1)

    async def open(
        self, root: ProgramId, previous_owner: NodeId | None = None
    ) -> OpenedTree | OwnedElsewhere | Refused:
        """Start serving a program tree; nothing is written for a tree without a row.

        A tree that is served at this node's address is taken over as well, because the process that
        had the address before no longer runs.
        """
        deadline_at = self._clock.monotonic() + OPEN_TIMEOUT_SECONDS
        head = await self._read_head(root, deadline_at)
        if isinstance(head, Refused):
            return head
        if head.version and head.node != self._node:
            if head.node != previous_owner and head.address != self._address:
                return OwnedElsewhere(head.node, head.address)
            taken_head = await self._take_over(root, head, deadline_at)
            if not isinstance(taken_head, TreeHead):
                return taken_head
            head = taken_head
        records = await self._read_records(root, head, deadline_at)
        if isinstance(records, Refused):
            return records
        journal = StoredJournal(self._store, self._clock, root, head, self._new_token)
        return OpenedTree(journal, records)

    async def read(self, root: ProgramId) -> Sequence[JournalRecord] | Refused:
        """Read a program tree's journal without serving it."""
        deadline_at = self._clock.monotonic() + OPEN_TIMEOUT_SECONDS
        head = await self._read_head(root, deadline_at)
        if isinstance(head, Refused):
            return head
        return await self._read_records(root, head, deadline_at)

    async def list_trees(self, partition: str) -> Sequence[tuple[ProgramId, NodeId]] | Refused:
        """Return the program trees of a partition, each with the node that serves it."""
        first = RowKey(HEADS_TABLE, partition, "")
        read = await self._store.read(first, LAST_KEY, CALL_TIMEOUT_SECONDS)
        if isinstance(read, Refused):
            return read
        heads = ((ProgramId(row.row.key), decode_head(row)) for row in read.rows)
        return [(root, head.node) for root, head in heads if head is not None and head.version]

    async def _read_head(self, root: ProgramId, deadline_at: float) -> TreeHead | Refused:
        """Read the head by a transaction; unlike a plain read it is never stale."""
        condition = RowCondition(head_key(root), 0)

        async def read_head(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact((condition,), (), timeout_seconds)

        result = await retry_until(self._clock, deadline_at, read_head)
        if isinstance(result, Refused):
            return not_run(result.reason, result.detail, result.retry_after_seconds)
        if isinstance(result, Written):
            return TreeHead(0, 0, self._node, self._address, "")
        return decode_head(result.rows[0]) or MALFORMED_HEAD

    async def _take_over(
        self, root: ProgramId, head: TreeHead, deadline_at: float
    ) -> TreeHead | OwnedElsewhere | Refused:
        """Write this node into the head; after a lost response the token shows who wrote it."""
        new_head = head._replace(node=self._node, address=self._address, token=self._new_token())
        condition = RowCondition(head_key(root), head.version)

        async def write(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact(
                (condition,), (head_write(root, new_head),), timeout_seconds
            )

        result = await retry_until(self._clock, deadline_at, write)
        if isinstance(result, Refused):
            return not_run(result.reason, result.detail, result.retry_after_seconds)
        if isinstance(result, Written):
            log.info("family_taken_over", family=root, from_node=head.node, version=result.version)
            return new_head._replace(version=result.version)
        found = decode_head(result.rows[0])
        if found is None:
            return MALFORMED_HEAD
        if found.token == new_head.token:
            return found
        return OwnedElsewhere(found.node, found.address) if found.version else TAKEOVER_LOST

    async def _read_records(
        self, root: ProgramId, head: TreeHead, deadline_at: float
    ) -> list[JournalRecord] | Refused:
        if head.first == head.batches:
            return []

        async def read_batches(timeout_seconds: float) -> list[JournalRecord] | Refused:
            read = await self._store.read(
                batches_start_key(root), batches_end_key(root), timeout_seconds
            )
            if isinstance(read, Refused):
                return read
            records = decode_records(root, read.rows, head)
            return STALE if records is None else records

        result = await retry_until(self._clock, deadline_at, read_batches)
        if isinstance(result, Refused):
            return not_run(result.reason, result.detail, result.retry_after_seconds)
        return result

    def _new_token(self) -> str:
        return f"{self._node}/{next(self._token_numbers)}"
