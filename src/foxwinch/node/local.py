"""Single-process implementations of the node's interfaces, for one node without fellow nodes."""

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
    LateAppendCallback,
    OpenedTree,
    OwnedElsewhere,
    ProgramTreeStore,
    TreeJournal,
)


class LocalJournal(TreeJournal):
    """A journal in this process's memory; nothing survives its end."""

    def __init__(self, records: list[JournalRecord]) -> None:
        """Append to `records`."""
        self._records = records
        self._batches = 0

    @property
    def batches(self) -> int:
        """How many times it has been appended to."""
        return self._batches

    def on_late_append(self, callback: LateAppendCallback) -> None:
        """Accept a listener that will never be called: no append is ever in doubt."""

    async def append(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Keep the records."""
        self._records.extend(records)
        self._batches += 1
        return None

    async def confirm(self) -> Refused | None:
        """Nobody else can take the program tree over."""
        return None

    async def remove(self) -> Refused | None:
        """Drop the records."""
        self._records.clear()
        return None


class LocalTreeStore(ProgramTreeStore):
    """This node serves every program tree."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: dict[ProgramId, list[JournalRecord]] = {}

    async def open(
        self, root: ProgramId, previous_owner: NodeId | None = None
    ) -> OpenedTree | OwnedElsewhere | Refused:
        """Return the program tree."""
        records = self._records.setdefault(root, [])
        return OpenedTree(LocalJournal(records), list(records))

    async def read(self, root: ProgramId) -> Sequence[JournalRecord] | Refused:
        """Return a program tree's records."""
        return list(self._records.get(root, ()))

    async def list_trees(self, partition: str) -> Sequence[tuple[ProgramId, NodeId]] | Refused:
        """Return nothing: there is no other node whose program trees could be left behind."""
        return ()


class LocalLimits:
    """Admits everything."""

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Admit."""
        return Admitted(tenant, estimated_tokens)

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Nothing to correct."""
