"""Ports to the platform: table service, object store and machine list.

Each may be slow or down for long, and an answer may be lost after the effect. A caller settles a
lost answer by sending the same request token again or by reading back, never by assuming.
"""

from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table with the version that conditions refer to."""

    key: str
    value: bytes
    version: int
    """Starts at 1 and grows by one with each write; 0 stands for an absent row."""


@dataclass(frozen=True, slots=True)
class Condition:
    """The transaction applies only if the row has exactly this version (0: absent)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Put a value, or delete the row when `value` is None."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """A conditional, atomic set of writes; the token makes sending it twice harmless."""

    token: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction is in force; versions of the written rows in the order of the writes."""

    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """A condition did not hold; nothing was written."""

    key: str
    version: int
    """The row's version as found."""


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows in key order, and the key to go on from when there are more."""

    rows: tuple[Row, ...]
    next_key: str | None


class TablePort(Protocol):
    """What foxwinch asks of the transactional table service."""

    async def transact(self, transaction: Transaction) -> Committed | ConditionFailed | Refused:
        """Apply a transaction; a refusal with run state `unknown` may have taken effect."""
        ...

    async def read(self, key: str) -> Row | Refused | None:
        """Read one row; None when it is absent."""
        ...

    async def scan(self, prefix: str, start: str = "", limit: int = 1000) -> RowPage | Refused:
        """Read rows whose key starts with `prefix`, from key `start` on."""
        ...


@dataclass(frozen=True, slots=True)
class Stored:
    """An object is stored."""


class ObjectPort(Protocol):
    """What foxwinch asks of the object store. Objects are written once and never changed."""

    async def put(self, key: str, data: bytes) -> Stored | Refused:
        """Store an object; storing the same bytes again is harmless."""
        ...

    async def get(self, key: str) -> bytes | Refused | None:
        """Read an object; None when it is absent."""
        ...

    async def delete(self, key: str) -> Stored | Refused:
        """Delete an object; deleting an absent one is harmless."""
        ...


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine as the platform's lagging list has it."""

    name: str
    kind: str
    """`node` or `worker`."""
    address: str
    """`ip:port` of its main listener."""
    zone: ZoneName
    region: RegionName
    leaving: bool


class MachinePort(Protocol):
    """The platform's lagging list of machines: a hint, never a proof."""

    async def machines(self) -> tuple[Machine, ...] | Refused:
        """Read the list."""
        ...
