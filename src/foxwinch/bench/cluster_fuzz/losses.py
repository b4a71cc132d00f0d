"""Which shards the fuzzer itself has destroyed: the bound of the journal, seen from outside.

A committed record is in the memory of a majority of its group, or in the table. A kill that ends
the last live copy of one that the table has not got yet destroys it, whatever the cluster does.
Nothing less excuses a lost record: while a live replica or the table holds it, it has to come back.
"""

from collections.abc import Iterator
from typing import cast

from foxwinch.bench.cluster_fuzz.document import REGION
from foxwinch.bench.cluster_fuzz.world import FuzzNode, FuzzWorld
from foxwinch.core.shard.placement import SHARDS_PER_REGION
from foxwinch.identifiers import ShardNumber
from foxwinch.node.journal_service import JournalService
from foxwinch.node.replica_service import ReplicaService
from foxwinch.node.replication_codec import decode_record

SHARDS = [ShardNumber(number) for number in range(SHARDS_PER_REGION)]


class Losses:
    """Follows what is committed and who holds it."""

    def __init__(self, world: FuzzWorld) -> None:
        """Nothing is lost at first."""
        self._world = world
        self._committed = dict.fromkeys(SHARDS, 0)

    def by_killing(self, victim: FuzzNode) -> set[ShardNumber]:
        """Return the shards of which committed records are held by `victim` alone."""
        lost = {shard for shard in SHARDS if self._is_last_copy(shard, victim)}
        for shard in lost:
            # What comes afterwards is counted anew, from what is left.
            self._committed[shard] = 0
        return lost

    def _is_last_copy(self, shard: ShardNumber, victim: FuzzNode) -> bool:
        committed = max(self._committed[shard], *self._indexes(shard), 0)
        self._committed[shard] = committed
        survivors = [node for node in self._world.nodes if node is not victim]
        held = [_replicas(node).replica(shard).log.last_index for node in survivors]
        return committed > max(held, default=0) and committed > self._stored(shard)

    def _indexes(self, shard: ShardNumber) -> Iterator[int]:
        """Iterate over what each node knows to be committed, frozen ones included."""
        for node in self._world.nodes:
            yield _replicas(node).replica(shard).committed_index
            owned = cast(JournalService, node.node.parts.journal.journal).get(shard)
            if owned is not None:
                yield owned.journal.committed_index

    def _stored(self, shard: ShardNumber) -> int:
        row = self._world.table.read(f"shard/{REGION}/{shard:04d}")
        return 0 if row is None else decode_record(row.value).stored_index


def _replicas(node: FuzzNode) -> ReplicaService:
    services = node.node.parts.journal.services
    return next(service for service in services if isinstance(service, ReplicaService))
