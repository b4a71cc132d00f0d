"""Journals of program trees: what a node asks of whoever keeps them.

A program tree is a program with all its sub-agents, named by its root. One node at a time serves
it; a node that cannot reach that one takes the tree over, and the former node's next append fails.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import NamedTuple

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.outcomes import Refused

Applied = Callable[[Sequence[JournalRecord]], None]
"""Told of records that turn out to be in the journal after their append was given up."""


class OwnedElsewhere(NamedTuple):
    """Another node serves the program tree."""

    node: NodeId
    address: str
    """`ip:port` of its peer side."""


class TreeHead(NamedTuple):
    """A program tree's row as it stands."""

    version: int
    """The row's version; 0 when there is no row."""
    batches: int
    node: NodeId
    address: str
    token: str
    first: int = 0
    """Batches before this one are gone, or about to be."""


class TreeJournal(ABC):
    """The journal of one program tree, as the node that serves it appends to it."""

    @property
    @abstractmethod
    def batches(self) -> int:
        """How many times the journal has been appended to."""

    @abstractmethod
    def on_late_append(self, applied: Applied) -> None:
        """Tell `applied` of records whose append was given up and took effect all the same."""

    @abstractmethod
    async def append(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Append records, all or none; None when they are there for good.

        `FENCED`: another node has taken the program tree over. A refusal with run state `unknown`
        may take effect, also later, as long as nothing else is appended.
        """

    @abstractmethod
    async def confirm(self) -> Refused | None:
        """Prove that no other node has taken the program tree over; returns why that failed."""

    @abstractmethod
    async def remove(self) -> Refused | None:
        """Remove the journal of a program tree that is over."""


class OpenedTree(NamedTuple):
    """A program tree that this node serves from now on."""

    journal: TreeJournal
    records: Sequence[JournalRecord]
    """All that was appended so far, oldest first."""


class ProgramTreeStore(ABC):
    """The program trees of all programs."""

    @abstractmethod
    async def open(
        self, root: ProgramId, previous_owner: NodeId | None = None
    ) -> OpenedTree | OwnedElsewhere | Refused:
        """Start to serve a program tree that is unserved or served by `previous_owner`."""

    @abstractmethod
    async def read(self, root: ProgramId) -> Sequence[JournalRecord] | Refused:
        """Read a program tree's journal without serving it."""

    @abstractmethod
    async def served(self, partition: str) -> Sequence[tuple[ProgramId, NodeId]] | Refused:
        """Return the program trees of a partition, each with the node that serves it."""
