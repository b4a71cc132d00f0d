"""What the decisions about shards take in and give out: members, events and actions."""

from dataclasses import dataclass
from enum import StrEnum

from foxwinch.core.journal.configuration import Configuration
from foxwinch.identifiers import NodeId, ShardNumber, ZoneName


class Presence(StrEnum):
    """What matters here of a member's state."""

    LIVE = "live"
    """Alive, or suspected and not yet found dead."""
    LEAVING = "leaving"
    """Still serving what it owns; takes nothing new."""


@dataclass(frozen=True, slots=True)
class MemberFact:
    """A member that is there; dead and gone ones are left out."""

    node: NodeId
    zone: ZoneName
    presence: Presence


class ShardState(StrEnum):
    """State of a shard as seen by this node."""

    FOLLOWING = "following"
    """Another node owns it, or nobody."""
    CLAIMING = "claiming"
    SERVING = "serving"
    REPAIRING = "repairing"
    """Serving, while the epoch is raised to change the replicas."""
    HANDING_OVER = "handing_over"


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members of the region, this node included."""

    members: tuple[MemberFact, ...]


@dataclass(frozen=True, slots=True)
class OwnerHeard:
    """A configuration of a shard is active, or was found in the table."""

    shard: ShardNumber
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ClaimDeclined:
    """A claim found that a live node was given the shard; whether it serves is not known."""

    shard: ShardNumber
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Serving:
    """This node serves the shard under a configuration: after a claim or a repair."""

    shard: ShardNumber
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """A claim, repair or handover did not succeed; a shard that was served still is."""

    shard: ShardNumber


@dataclass(frozen=True, slots=True)
class ShardLost:
    """This node no longer serves the shard."""

    shard: ShardNumber


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time to look again."""


OwnershipEvent = (
    MembersChanged | OwnerHeard | ClaimDeclined | Serving | AttemptFailed | ShardLost | TimePassed
)


@dataclass(frozen=True, slots=True)
class Claim:
    """Take the shard over."""

    shard: ShardNumber


@dataclass(frozen=True, slots=True)
class Repair:
    """Raise the epoch of a served shard to change its replicas."""

    shard: ShardNumber


@dataclass(frozen=True, slots=True)
class HandOver:
    """Let another node take a served shard over."""

    shard: ShardNumber
    successor: NodeId


OwnershipAction = Claim | Repair | HandOver
