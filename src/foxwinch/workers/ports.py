"""Interfaces of the workers package for other parts of a node: epochs and grants."""

from dataclasses import dataclass
from typing import Protocol

from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import (
    CallId,
    ClassName,
    Epoch,
    ModelName,
    ProgramId,
    TenantName,
    WorkerId,
)
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class EpochClaim:
    """Claim of this node on `resource`, valid until another node raises the epoch."""

    resource: str
    epoch: Epoch


class EpochView(Protocol):
    """Epochs of resources in the shared store, used as fencing tokens."""

    async def raise_epoch(self, resource: str) -> EpochClaim | Refused:
        """Take over `resource` under a higher epoch; a lost race is refused with `CONFLICT`."""
        ...


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """Request of an owner for the right to run one model call on any worker."""

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
    """Chained hash of each complete block of the prompt, in order."""
    service_seconds: float
    """Engine time consumed by the program so far."""
    deadline_at_seconds: float
    """Deadline on the event loop clock of the requesting node; the remaining time is sent."""
    repeatable: bool = True

    @property
    def tree_id(self) -> ProgramId:
        """Root program of the program tree, whose step start is shared by its sub-agents."""
        return root_of(self.program_id)


@dataclass(frozen=True, slots=True)
class Grant:
    """Right to run a call on a worker until the lease expires."""

    call_id: CallId
    worker: WorkerId
    worker_url: str
    epoch: Epoch
    priority: int
    expected_cached_tokens: int
    waited_seconds: float
    reason: str
    """Explanation of the wait and the placement for `programs show`."""


@dataclass(frozen=True, slots=True)
class GrantUsage:
    """Result of the call that ran under a grant."""

    call_id: CallId
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    failed: bool
    not_run: bool = False
    """True if the worker refused the call without running it."""
    fenced: bool = False
    """True if the worker refused an outdated epoch because the coordinator has been replaced."""


class GrantView(Protocol):
    """Grants from the coordinators of all workers."""

    async def acquire(self, request: GrantRequest) -> Grant | Refused:
        """Return a grant when it is issued; cancellation withdraws the request."""
        ...

    def settle(self, grant: Grant, usage: GrantUsage) -> None:
        """End a grant and report its usage."""
        ...

    def pause(self, program_id: ProgramId, tool: str) -> None:
        """Report the start of a tool call, so that the cache may be kept, moved or dropped."""
        ...

    def mark_taken_over(self, program_id: ProgramId) -> None:
        """Report that the program had an earlier owner, so any worker may hold its cache."""
        ...

    def finish(self, program_id: ProgramId) -> None:
        """Report that the program has finished; its cache release is retried until it succeeds."""
        ...
