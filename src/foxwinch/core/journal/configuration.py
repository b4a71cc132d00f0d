"""Configurations of a shard and the record of them that the table keeps."""

from dataclasses import dataclass, replace
from enum import IntEnum

from foxwinch.core.journal.framing import FIRST_CHAIN
from foxwinch.core.shard.epochs import NO_EPOCH, next_term
from foxwinch.identifiers import Epoch, NodeId, ZoneName


@dataclass(frozen=True, slots=True)
class GroupMember:
    """A replica as recorded: one life of one process, and where it listens."""

    node: NodeId
    zone: ZoneName
    host: str
    port: int


Group = tuple[GroupMember, ...]


class CommitPlace(IntEnum):
    """Where a configuration commits; the numbers are those of the schema."""

    REPLICAS = 0
    TABLE = 1


@dataclass(frozen=True, slots=True)
class Configuration:
    """Who owns a shard under an epoch, and where its journal commits."""

    epoch: Epoch
    owner: GroupMember
    group: Group
    place: CommitPlace

    def nodes(self) -> tuple[NodeId, ...]:
        """Return the nodes of the group in its order."""
        return tuple(member.node for member in self.group)


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """The shard's row: its configurations, and how far its journal is stored."""

    configurations: tuple[Configuration, ...] = ()
    """Oldest first: the last one known to be active, then those that may have become active."""
    claim: str = ""
    """Request token of the last raise, to settle a lost answer by reading back."""
    stored_index: int = 0
    stored_chain: int = FIRST_CHAIN
    snapshot_index: int = 0
    snapshot_chain: int = FIRST_CHAIN
    snapshot_keys: tuple[str, ...] = ()

    @property
    def newest(self) -> Configuration | None:
        """The configuration of the highest term, None for a shard that nobody has owned."""
        return self.configurations[-1] if self.configurations else None

    def raised(
        self, owner: GroupMember, group: Group, place: CommitPlace, claim: str
    ) -> "ShardRecord":
        """Return the record after `owner` has taken the shard under the next term."""
        epoch = next_term(self.newest.epoch if self.newest else NO_EPOCH)
        added = Configuration(epoch, owner, group, place)
        return replace(self, configurations=(*self.configurations, added), claim=claim)

    def activated(self) -> "ShardRecord":
        """Return the record once the newest configuration is active: older ones are void."""
        return replace(self, configurations=self.configurations[-1:])

    def stored(self, index: int, chain: int) -> "ShardRecord":
        """Return the record once records up to `index` are in the table."""
        return replace(self, stored_index=index, stored_chain=chain)

    def with_snapshot(self, index: int, chain: int, keys: tuple[str, ...]) -> "ShardRecord":
        """Return the record once a snapshot up to `index` is in the object store."""
        return replace(self, snapshot_index=index, snapshot_chain=chain, snapshot_keys=keys)
