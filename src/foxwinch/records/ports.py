"""Port to the shared store: versioned rows in tables and partitions.

The store is linearizable in its transactions and never loses what it acknowledged. A plain read may
be older than the newest state; its answer carries the version that it is as of. A call without an
answer may have been done, or may still be done later while its conditions hold.
"""

from dataclasses import dataclass
from typing import Protocol

from foxwinch.outcomes import Refused

ABSENT_VERSION = 0
"""Of a row that is not there."""
MAX_CONDITIONS = 100
"""In one transaction, as the platform's store has it."""


@dataclass(frozen=True, slots=True)
class RowKey:
    """Where a row lies; transactions take rows of one partition."""

    table: str
    partition: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row, or the mark that it is gone."""

    row: RowKey
    value: bytes | None
    """None: the row was removed."""
    version: int


@dataclass(frozen=True, slots=True)
class UnreadableRow:
    """A row of a table that holds no value of the store's own encoding."""

    key: str
    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class RowCondition:
    """The row must have exactly this version; 0 means that it is absent."""

    row: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Put a value, or remove the row when `value` is None."""

    row: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Written:
    """The transaction is in force."""

    version: int
    """Version of every row that it put; of one that put none, the store's newest."""
    now_ms: int
    """The store's steady clock."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written."""

    rows: tuple[StoredRow, ...]
    """The rows of the conditions as they stand; absent ones have version 0."""
    version: int
    """The store's newest."""
    now_ms: int
    unreadable: tuple[UnreadableRow, ...] = ()


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows in key order as of one moment."""

    rows: tuple[StoredRow, ...]
    more: bool
    version: int
    now_ms: int
    unreadable: tuple[UnreadableRow, ...] = ()
    """Rows that other writers spoiled; they hide none of the others."""


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer knows the changes since a version; read the table anew."""


class RecordStore(Protocol):
    """What foxwinch asks of the shared store."""

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """Apply a transaction; a refusal with run state `unknown` may have taken effect."""
        ...

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read the rows of a partition from `first` up to `end_key`, which is left out."""
        ...

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read all rows of a table whose partition is empty."""
        ...

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """Wait for changes of a table after a version."""
        ...
