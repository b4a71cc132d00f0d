"""In-memory journal, program tree store and limits for a node without peers."""

from collections.abc import Sequence

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.identifiers import (
    ClassName,
    NodeId,
    ProgramId,
    TenantName,
)
from foxwinch.limits.ports import Admitted
from foxwinch.outcomes import Refused
from foxwinch.records.program_trees import (
    Applied,
    OpenedTree,
    OwnedElsewhere,
    ProgramTreeStore,
    TreeJournal,
)


class LocalJournal(TreeJournal):
    """A journal in memory, lost when the process ends."""

    def __init__(self, records: list[JournalRecord]) -> None:
        self._records = records
        self._batches = 0

    @property
    def batches(self) -> int:
        """Number of appended batches."""
        return self._batches

    def on_late_append(self, applied: Applied) -> None:
        """Ignore the listener: every append has a known outcome."""

    async def append(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Append the records; never refused."""
        self._records.extend(records)
        self._batches += 1
        return None

    async def confirm(self) -> Refused | None:
        """Confirm ownership; no other node can take the program tree over."""
        return None

    async def remove(self) -> Refused | None:
        """Remove all records."""
        self._records.clear()
        return None


class LocalTreeStore(ProgramTreeStore):
    """Tree store of a node that owns every program tree."""

    def __init__(self) -> None:
        self._records: dict[ProgramId, list[JournalRecord]] = {}

    async def open(
        self, root: ProgramId, previous_owner: NodeId | None = None
    ) -> OpenedTree | OwnedElsewhere | Refused:
        """Open the program tree; never refused."""
        records = self._records.setdefault(root, [])
        return OpenedTree(LocalJournal(records), list(records))

    async def read(self, root: ProgramId) -> Sequence[JournalRecord] | Refused:
        """Return a program tree's records."""
        return list(self._records.get(root, ()))

    async def served(self, partition: str) -> Sequence[tuple[ProgramId, NodeId]] | Refused:
        """Return no program trees: there is no other node to take them over from."""
        return ()


class LocalLimits:
    """Limits that admit every request."""

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Admit the request."""
        return Admitted(tenant, estimated_tokens)

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Do nothing: no usage is counted."""
