"""Single-process implementations of the node's interfaces, for one node without fellow nodes."""

from collections.abc import Callable, Sequence

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.identifiers import (
    ClassName,
    Epoch,
    ProgramId,
    Revision,
    ShardNumber,
    TenantName,
)
from foxwinch.node.interfaces import (
    Admitted,
    Appended,
    ConfigurationSnapshot,
    OwnedHere,
)
from foxwinch.outcomes import Refused
from foxwinch.settings.cluster import ClusterConfiguration

LOCAL_EPOCH = Epoch(1)


class LocalConfiguration:
    """A configuration that never changes."""

    REVISION = Revision(1)

    def __init__(self, document: ClusterConfiguration) -> None:
        """Hold `document` as revision 1."""
        self._snapshot = ConfigurationSnapshot(self.REVISION, document)

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the snapshot."""
        return self._snapshot

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Accept a listener that will never be called."""


class LocalOwnership:
    """This node owns everything."""

    def locate(self, program_id: ProgramId) -> OwnedHere | Refused:
        """Return the one shard."""
        return OwnedHere(ShardNumber(0), LOCAL_EPOCH)


class LocalJournal:
    """Records in this process's memory; nothing survives its end."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[JournalRecord] = []

    async def append(
        self, shard: ShardNumber, epoch: Epoch, records: Sequence[JournalRecord]
    ) -> Appended | Refused:
        """Keep the records."""
        self.records.extend(records)
        return Appended(len(self.records) - 1)


class LocalLimits:
    """Admits everything."""

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Admit."""
        return Admitted(tenant, estimated_tokens)

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Nothing to correct."""
