"""Port to the journals of program trees.

A program tree is a program with all its sub-agents, identified by its root program. One node at a
time serves it. A node that cannot reach that node takes the tree over, and the former node's next
append fails.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import NamedTuple

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.outcomes import Refused

LateAppendCallback = Callable[[Sequence[JournalRecord]], None]
"""Callback for records whose append took effect after it was abandoned."""


class OwnedElsewhere(NamedTuple):
    """Another node serves the program tree."""

    node: NodeId
    address: str
    """`ip:port` of its peer endpoint."""


class TreeHead(NamedTuple):
    """The stored head of a program tree."""

    version: int
    """The row's version; 0 if there is no row."""
    batches: int
    node: NodeId
    address: str
    token: str
    first: int = 0
    """The first valid batch; earlier ones are deleted or about to be."""


class TreeJournal(ABC):
    """The journal of one program tree, held by the node that serves it."""

    @property
    @abstractmethod
    def batches(self) -> int:
        """Return the number of batches appended to the journal."""

    @abstractmethod
    def on_late_append(self, callback: LateAppendCallback) -> None:
        """Set the callback for records whose append took effect after it was abandoned."""

    @abstractmethod
    async def append(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Append records, all or none; return None once they are committed.

        Reason `FENCED` means that another node has taken over the program tree. An append refused
        with run state `unknown` may still take effect until another one is committed.
        """

    @abstractmethod
    async def confirm(self) -> Refused | None:
        """Verify that no other node has taken over the tree; return a refusal if that fails."""

    @abstractmethod
    async def remove(self) -> Refused | None:
        """Remove the journal of a finished program tree."""


class OpenedTree(NamedTuple):
    """A program tree that this node now serves."""

    journal: TreeJournal
    records: Sequence[JournalRecord]
    """All records appended so far, oldest first."""


class ProgramTreeStore(ABC):
    """Access to all program trees."""

    @abstractmethod
    async def open(
        self, root: ProgramId, previous_owner: NodeId | None = None
    ) -> OpenedTree | OwnedElsewhere | Refused:
        """Start serving a program tree, taking it over if `previous_owner` serves it."""

    @abstractmethod
    async def read(self, root: ProgramId) -> Sequence[JournalRecord] | Refused:
        """Read a program tree's journal without serving it."""

    @abstractmethod
    async def list_trees(self, partition: str) -> Sequence[tuple[ProgramId, NodeId]] | Refused:
        """Return the program trees of a partition, each with the node that serves it."""
