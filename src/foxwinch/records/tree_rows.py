"""Row format of a program tree in the shared store: one head row and the batches of its journal."""

from collections.abc import Sequence

from google.protobuf.message import DecodeError

from foxwinch._generated.families_pb2 import FamilyHead as FamilyHeadMessage
from foxwinch._generated.families_pb2 import JournalBatch
from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.records.partitions import partition_of
from foxwinch.records.ports import RowKey, RowWrite, StoredRow
from foxwinch.records.program_trees import TreeHead
from foxwinch.records.turns import MAX_CHUNK_BYTES

HEADS_TABLE = "families"
JOURNALS_TABLE = "journals"
MAX_CHUNKS = 12
"""Maximum number of rows of a batch: about 720 kB in base64, below the store's limit of 1 MB per
transaction."""
SEPARATOR = "/"
AFTER_SEPARATOR = "0"
"""The character after the separator, which ends the key range of a program tree's batches."""
BATCH_DIGITS = 8


def head_key(root: ProgramId) -> RowKey:
    """Return the row key of a program tree's head."""
    return RowKey(HEADS_TABLE, partition_of(root), root)


def batches_start_key(root: ProgramId) -> RowKey:
    """Return the start of the key range of a program tree's batches."""
    return RowKey(JOURNALS_TABLE, partition_of(root), root + SEPARATOR)


def batches_end_key(root: ProgramId) -> str:
    """Return the end of the key range of a program tree's batches, exclusive."""
    return root + AFTER_SEPARATOR


def decode_head(stored: StoredRow) -> TreeHead | None:
    """Decode a head row; return None if it is malformed."""
    if stored.value is None:
        return TreeHead(0, 0, NodeId(""), "", "")
    try:
        message = FamilyHeadMessage.FromString(stored.value)
    except DecodeError:
        return None
    return TreeHead(
        stored.version,
        message.batches,
        NodeId(message.node),
        message.address,
        message.token,
        message.first,
    )


def head_write(root: ProgramId, head: TreeHead) -> RowWrite:
    """Return the write of a head row; the store assigns its version."""
    message = FamilyHeadMessage(
        batches=head.batches,
        node=head.node,
        address=head.address,
        token=head.token,
        first=head.first,
    )
    return RowWrite(head_key(root), message.SerializeToString())


def batch_writes(
    root: ProgramId, number: int, records: Sequence[JournalRecord]
) -> list[RowWrite] | None:
    """Return the rows of a batch, or None if it exceeds the size of a transaction."""
    data = JournalBatch(records=records).SerializeToString()
    chunks = [data[at : at + MAX_CHUNK_BYTES] for at in range(0, len(data), MAX_CHUNK_BYTES)] or [
        b""
    ]
    if len(chunks) > MAX_CHUNKS:
        return None
    return [
        RowWrite(_chunk_key(root, number, index, len(chunks)), chunk)
        for index, chunk in enumerate(chunks)
    ]


def decode_records(
    root: ProgramId, rows: Sequence[StoredRow], head: TreeHead
) -> list[JournalRecord] | None:
    """Join the batches of a journal; return None if one is missing, as in a stale read."""
    numbers = range(head.first, head.batches)
    chunks: dict[int, list[bytes]] = {}
    expected: dict[int, int] = {}
    for row in rows:
        number, count = _parse_chunk_key(row.row.key, root)
        chunks.setdefault(number, []).append(row.value or b"")
        expected[number] = count
    if any(len(chunks.get(number, ())) != expected.get(number) for number in numbers):
        return None
    return [
        record
        for number in numbers
        for record in JournalBatch.FromString(b"".join(chunks[number])).records
    ]


def _chunk_key(root: ProgramId, number: int, index: int, count: int) -> RowKey:
    key = f"{root}{SEPARATOR}{number:0{BATCH_DIGITS}d}{SEPARATOR}{index:02d}.{count:02d}"
    return RowKey(JOURNALS_TABLE, partition_of(root), key)


def _parse_chunk_key(key: str, root: ProgramId) -> tuple[int, int]:
    """Return the batch number of a row and the number of rows in that batch."""
    number, _, chunk = key[len(root) + 1 :].partition(SEPARATOR)
    return int(number), int(chunk.partition(".")[2])
