"""Program trees in the shared store: who serves one is its row, and every append is under that row.

Appends are conditions on the row's version, so no lease and no epoch is needed: whoever changes the
row first goes on, and the other finds out by its next append.
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
from foxwinch.records.retry import CALL_SECONDS, retry_until
from foxwinch.records.tree_journal import StoredJournal
from foxwinch.records.tree_rows import (
    HEADS_TABLE,
    after_batches,
    first_batch,
    head_of,
    head_row,
    head_write,
    records_of,
)

OPEN_SECONDS = 3.0
"""For which a request waits for its program tree to be read."""
LAST_KEY = "\U0010ffff"
UNREADABLE = Refused(Reason.INTERNAL, RunState.NOT_RUN, "the family's row cannot be read")
STALE = not_run(Reason.STORE_UNAVAILABLE, "the store's answer is older than the family", 0.2)
RACED = not_run(Reason.NOT_OWNER, "another node has just taken the family over", 0.1)
log = EventLog("families")


class RecordTreeStore(ProgramTreeStore):
    """The program trees of all programs, in the shared store."""

    def __init__(self, store: RecordStore, clock: Clock, node: NodeId, address: str) -> None:
        """Serve as `node`, which other nodes reach at `address` (`ip:port`)."""
        self._store = store
        self._clock = clock
        self._node = node
        self._address = address
        self._numbers = itertools.count(1)

    async def open(
        self, root: ProgramId, previous_owner: NodeId | None = None
    ) -> OpenedTree | OwnedElsewhere | Refused:
        """Begin to serve a program tree; one without a row is served without writing anything.

        Whoever had this node's address before is gone.
        """
        deadline_at = self._clock.monotonic() + OPEN_SECONDS
        head = await self._head(root, deadline_at)
        if isinstance(head, Refused):
            return head
        if head.version and head.node != self._node:
            if head.node != previous_owner and head.address != self._address:
                return OwnedElsewhere(head.node, head.address)
            taken = await self._take(root, head, deadline_at)
            if not isinstance(taken, TreeHead):
                return taken
            head = taken
        records = await self._records(root, head, deadline_at)
        if isinstance(records, Refused):
            return records
        journal = StoredJournal(self._store, self._clock, root, head, self._token)
        return OpenedTree(journal, records)

    async def read(self, root: ProgramId) -> Sequence[JournalRecord] | Refused:
        """Read a program tree's journal without serving it."""
        deadline_at = self._clock.monotonic() + OPEN_SECONDS
        head = await self._head(root, deadline_at)
        if isinstance(head, Refused):
            return head
        return await self._records(root, head, deadline_at)

    async def served(self, partition: str) -> Sequence[tuple[ProgramId, NodeId]] | Refused:
        """Return the program trees of a partition, each with the node that serves it."""
        first = RowKey(HEADS_TABLE, partition, "")
        read = await self._store.read(first, LAST_KEY, CALL_SECONDS)
        if isinstance(read, Refused):
            return read
        heads = ((ProgramId(row.row.key), head_of(row)) for row in read.rows)
        return [(root, head.node) for root, head in heads if head is not None and head.version]

    async def _head(self, root: ProgramId, deadline_at: float) -> TreeHead | Refused:
        """Read the head by a transaction, which never sees an older state as a read may."""
        condition = RowCondition(head_row(root), 0)

        async def ask(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact((condition,), (), timeout_seconds)

        answer = await retry_until(self._clock, deadline_at, ask)
        if isinstance(answer, Refused):
            return not_run(answer.reason, answer.detail, answer.retry_after_seconds)
        if isinstance(answer, Written):
            return TreeHead(0, 0, self._node, self._address, "")
        return head_of(answer.rows[0]) or UNREADABLE

    async def _take(
        self, root: ProgramId, head: TreeHead, deadline_at: float
    ) -> TreeHead | OwnedElsewhere | Refused:
        """Write this node into the head; a lost answer is settled by reading it back."""
        wanted = head._replace(node=self._node, address=self._address, token=self._token())
        condition = RowCondition(head_row(root), head.version)

        async def write(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact(
                (condition,), (head_write(root, wanted),), timeout_seconds
            )

        answer = await retry_until(self._clock, deadline_at, write)
        if isinstance(answer, Refused):
            return not_run(answer.reason, answer.detail, answer.retry_after_seconds)
        if isinstance(answer, Written):
            log.info("family_taken_over", family=root, from_node=head.node, version=answer.version)
            return wanted._replace(version=answer.version)
        found = head_of(answer.rows[0])
        if found is None:
            return UNREADABLE
        if found.token == wanted.token:
            return found
        return OwnedElsewhere(found.node, found.address) if found.version else RACED

    async def _records(
        self, root: ProgramId, head: TreeHead, deadline_at: float
    ) -> list[JournalRecord] | Refused:
        if head.first == head.batches:
            return []

        async def ask(timeout_seconds: float) -> list[JournalRecord] | Refused:
            read = await self._store.read(first_batch(root), after_batches(root), timeout_seconds)
            if isinstance(read, Refused):
                return read
            records = records_of(root, read.rows, head)
            return STALE if records is None else records

        answer = await retry_until(self._clock, deadline_at, ask)
        if isinstance(answer, Refused):
            return not_run(answer.reason, answer.detail, answer.retry_after_seconds)
        return answer

    def _token(self) -> str:
        return f"{self._node}/{next(self._numbers)}"
