"""What the parts of a node ask of each other.

Each protocol has a single-process implementation (`node/local.py`) and a distributed one. The
commands under `foxwinch.commands` know only these protocols.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from foxwinch.core.membership.entry import GossipEntry as GossipEntry
from foxwinch.core.membership.entry import GossipKind as GossipKind
from foxwinch.core.membership.member import Member as Member
from foxwinch.core.membership.member import MemberState as MemberState
from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import (
    CallId,
    ClassName,
    Epoch,
    ModelName,
    ProgramId,
    Revision,
    TenantName,
    WorkerId,
)
from foxwinch.outcomes import Refused
from foxwinch.settings.cluster import ClusterConfiguration

# --- configuration ---------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """A cluster configuration and the revision it was accepted under."""

    revision: Revision
    document: ClusterConfiguration


class ConfigurationView(Protocol):
    """The configuration in force at this node; never moves to an older revision."""

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the snapshot, or `STALE_CONFIGURATION` when a newer one is known but not held."""
        ...

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Call `listener` with every newer snapshot."""
        ...


# --- membership ------------------------------------------------------------------------------


class MembershipView(Protocol):
    """Who is there, as far as this node knows."""

    def this_member(self) -> Member:
        """Return this node itself."""
        ...

    def members(self) -> Sequence[Member]:
        """Return every known member, this node included."""
        ...

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with every change of a member."""
        ...


# --- gossip ----------------------------------------------------------------------------------


class GossipView(Protocol):
    """Spread of small versioned values to the nodes of a region, digests between regions."""

    def publish(self, entry: GossipEntry) -> None:
        """Spread an entry; ignored when a version at least as high is held."""
        ...

    def entries(self, kind: GossipKind) -> Mapping[str, GossipEntry]:
        """Return the entries held of a kind, by key."""
        ...

    def subscribe(self, kind: GossipKind, listener: Callable[[GossipEntry], None]) -> None:
        """Call `listener` with every newer entry of a kind that arrives."""
        ...


# --- epochs ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EpochClaim:
    """This node holds `resource` under `epoch` until somebody raises it further."""

    resource: str
    epoch: Epoch


class EpochView(Protocol):
    """Fencing numbers of workers, kept in the shared store."""

    async def raise_epoch(self, resource: str) -> EpochClaim | Refused:
        """Take `resource` over under a new, higher epoch; `CONFLICT` when a race was lost."""
        ...


# --- grants ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """An owner asks for the right to run one model call on some worker."""

    call_id: CallId
    program_id: ProgramId
    tenant: TenantName
    class_name: ClassName
    model: ModelName
    prompt_tokens: int
    """Estimated length of the prompt."""
    output_tokens: int
    """Estimated length of the answer."""
    prefix_hashes: tuple[int, ...]
    """Chained hash of each whole block of the prompt, first block first."""
    service_seconds: float
    """Engine service that the program has received so far."""
    deadline_at_seconds: float
    """On the clock of the event loop of the asking node; sent between nodes as a remainder."""
    repeatable: bool = True

    @property
    def family_id(self) -> ProgramId:
        """The root of the program's family; sub-agents share the arrival time of its step."""
        return root_of(self.program_id)


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to run the call on a worker, until it expires."""

    call_id: CallId
    worker: WorkerId
    worker_url: str
    epoch: Epoch
    priority: int
    expected_cached_tokens: int
    waited_seconds: float
    reason: str
    """Why the call waited and went where it did, for `programs show`."""


@dataclass(frozen=True, slots=True)
class GrantUsage:
    """What became of a grant."""

    call_id: CallId
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    failed: bool
    not_run: bool = False
    """True when the worker itself refused the call without running it."""
    fenced: bool = False
    """True when it refused because it has seen a newer epoch: the steward has been replaced."""


class GrantView(Protocol):
    """Access to the stewards of all workers."""

    async def acquire(self, request: GrantRequest) -> Grant | Refused:
        """Wait for a grant; cancelling the wait withdraws the request."""
        ...

    def settle(self, grant: Grant, usage: GrantUsage) -> None:
        """Give a grant back with what was used."""
        ...

    def pause(self, program_id: ProgramId, tool: str) -> None:
        """Tell that the program has gone into a tool call: keep, move or drop its cache."""
        ...

    def adopt(self, program_id: ProgramId) -> None:
        """Tell that an earlier owner ran the program: any worker may hold its memory."""
        ...

    def finish(self, program_id: ProgramId) -> None:
        """Tell that the program is over: its engine memory is released, until that succeeds."""
        ...


# --- limits ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Admitted:
    """The tenant's limits allow the call."""

    tenant: TenantName
    estimated_tokens: int


class LimitView(Protocol):
    """Limits of tenants and classes across all nodes."""

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Take one request and its estimated tokens from the tenant's share, or refuse."""
        ...

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Correct the estimate by what was used."""
        ...
