"""Port to the shared store: versioned rows in tables and partitions.

Transactions are linearizable, and acknowledged writes are never lost. A plain read may be stale;
its response carries the version of the state that it reflects. A call without a response may have
been applied, or may still be applied later while its conditions hold.
"""

from dataclasses import dataclass
from typing import Protocol

from foxwinch.outcomes import Refused

ABSENT_VERSION = 0
"""Version of a row that does not exist."""
MAX_CONDITIONS = 100
"""Maximum number of conditions in one transaction of the platform's store."""


@dataclass(frozen=True, slots=True)
class RowKey:
    """Key of a row; all rows of a transaction must be in one partition."""

    table: str
    partition: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row or the removal of one."""

    row: RowKey
    value: bytes | None
    """Content of the row; None if the row was removed."""
    version: int


@dataclass(frozen=True, slots=True)
class MalformedRow:
    """A row whose value is not in the store's encoding."""

    key: str
    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class RowCondition:
    """A condition that a row has exactly this version; 0 means that it is absent."""

    row: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A write of a value, or the removal of the row if `value` is None."""

    row: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Written:
    """The transaction was committed."""

    version: int
    """Version of the written rows; the store's newest version if none was written."""
    now_ms: int
    """The store's monotonic clock."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written."""

    rows: tuple[StoredRow, ...]
    """Current rows of the conditions; absent ones have version 0."""
    version: int
    """The store's newest version."""
    now_ms: int
    malformed_rows: tuple[MalformedRow, ...] = ()


@dataclass(frozen=True, slots=True)
class RowsRead:
    """A consistent snapshot of rows, in key order."""

    rows: tuple[StoredRow, ...]
    more: bool
    version: int
    now_ms: int
    malformed_rows: tuple[MalformedRow, ...] = ()
    """Rows that cannot be decoded; the others are returned nevertheless."""


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes since a version; the table must be read again."""


class RecordStore(Protocol):
    """The operations of the shared store."""

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """Apply a transaction; one refused with run state `unknown` may have taken effect."""
        ...

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read the rows of a partition from `first` up to `end_key`, exclusive."""
        ...

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read all rows of a table in the partition with the empty name."""
        ...

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """Wait up to `wait_seconds` for changes of a table after a version."""
        ...
