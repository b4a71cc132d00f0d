"""The shards of this node as the operators' queries show them."""

from collections.abc import Sequence

from foxwinch._generated.operator_pb2 import ShardStatus
from foxwinch.identifiers import NodeId
from foxwinch.node.journal_service import JournalService
from foxwinch.node.ownership_service import OwnershipService


class OwnedShardFacts:
    """Implements `foxwinch.queries.facts.ShardFacts`."""

    def __init__(self, this: NodeId, journals: JournalService, ownership: OwnershipService) -> None:
        """Read from the services."""
        self._this = this
        self._journals = journals
        self._ownership = ownership

    def shards(self) -> Sequence[ShardStatus]:
        """Return a status for each shard that this node owns."""
        found: list[ShardStatus] = []
        for shard, owned in self._journals.owned():
            journal = owned.journal
            stored = journal.stored
            found.append(
                ShardStatus(
                    shard=shard,
                    owner=self._this,
                    epoch=owned.epoch,
                    replicas=journal.configuration.nodes(),
                    last_index=journal.log.last_index,
                    stored_index=stored.record.stored_index if stored is not None else 0,
                    state=self._ownership.describe(shard).value,
                )
            )
        return found
