"""Port to the journals of program families.

A family is a program with all its sub-agents, identified by its root program. One node at a time
serves it. A node that cannot reach that one takes the family over, and the former node's next
append fails.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import NamedTuple

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.outcomes import Refused

Applied = Callable[[Sequence[JournalRecord]], None]
"""Callback for records whose append took effect after it was abandoned."""


class OwnedElsewhere(NamedTuple):
    """Another node serves the program tree."""

    node: NodeId
    address: str
    """`ip:port` of its peer endpoint."""


class FamilyHead(NamedTuple):
    """The stored head of a family."""

    version: int
    """The row's version; 0 if there is no row."""
    batches: int
    node: NodeId
    address: str
    token: str
    first: int = 0
    """The first valid batch; earlier ones are deleted or about to be."""


class FamilyJournal(ABC):
    """The journal of one family, held by the node that serves it."""

    @property
    @abstractmethod
    def batches(self) -> int:
        """Return the number of batches appended to the journal."""

    @abstractmethod
    def on_applied(self, applied: Applied) -> None:
        """Set the callback for records whose append took effect after it was abandoned."""

    @abstractmethod
    async def append(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Append records, all or none; return None once they are committed.

        Reason `FENCED` means that another node has taken over the family. An append refused with
        run state `unknown` may still take effect until another one is committed.
        """

    @abstractmethod
    async def confirm(self) -> Refused | None:
        """Verify that no other node has taken over the family; return a refusal if it fails."""

    @abstractmethod
    async def remove(self) -> Refused | None:
        """Remove the journal of a finished family."""


class OpenedFamily(NamedTuple):
    """A family that this node now serves."""

    journal: TreeJournal
    records: Sequence[JournalRecord]
    """All records appended so far, oldest first."""


class Families(ABC):
    """Access to the families of all programs."""

    @abstractmethod
    async def open(
        self, root: ProgramId, over: NodeId | None = None
    ) -> OpenedFamily | ServedElsewhere | Refused:
        """Start serving a family that no other node serves, or take it over from node `over`."""

    @abstractmethod
    async def read(self, root: ProgramId) -> Sequence[JournalRecord] | Refused:
        """Read a program tree's journal without serving it."""

    @abstractmethod
    async def served(self, partition: str) -> Sequence[tuple[ProgramId, NodeId]] | Refused:
        """Return the program trees of a partition, each with the node that serves it."""
