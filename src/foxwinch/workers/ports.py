"""What other parts of a node ask of the coordinators of workers: epochs and grants."""

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
    """This node holds `resource` under `epoch` until somebody raises it further."""

    resource: str
    epoch: Epoch


class EpochView(Protocol):
    """Fencing numbers of workers, kept in the shared store."""

    async def raise_epoch(self, resource: str) -> EpochClaim | Refused:
        """Take `resource` over under a new, higher epoch; `CONFLICT` when a race was lost."""
        ...


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
    def tree_id(self) -> ProgramId:
        """The root of the program's tree; sub-agents share the arrival time of its step."""
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
    """True when it refused because it has seen a newer epoch: the coordinator has been replaced."""


class GrantView(Protocol):
    """Access to the coordinators of all workers."""

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
