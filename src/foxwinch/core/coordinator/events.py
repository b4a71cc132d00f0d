"""What happens to a pool: the inputs of `PoolScheduler.handle`."""

from dataclasses import dataclass

from foxwinch.core.coordinator.cache_index import BlockChange as BlockChange
from foxwinch.core.coordinator.calls import PoolCall, WorkerDescription
from foxwinch.core.coordinator.policy import PolicySettings
from foxwinch.identifiers import CallId, ProgramId, ToolName, WorkerId


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call asks to run; a call id that is already known is ignored."""

    call: PoolCall


@dataclass(frozen=True, slots=True)
class CallWithdrawn:
    """The caller no longer wants the call, queued or running; unknown calls are ignored."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A dispatched call has given its whole answer."""

    call_id: CallId
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A dispatched call has failed on its worker; whether it runs again is the owner's decision."""

    call_id: CallId
    not_run: bool


@dataclass(frozen=True, slots=True)
class ProgramPaused:
    """A program has gone into a tool call, or waits for its user (`tool` empty)."""

    program_id: ProgramId
    tool: ToolName


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """A program is finished or abandoned: its engine memory must go."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class ReleaseCompleted:
    """A worker has carried out a release, or has failed to."""

    worker: WorkerId
    program_id: ProgramId
    done: bool


@dataclass(frozen=True, slots=True)
class TransferCompleted:
    """A transfer of cache blocks is over; on failure the call computes its prefix again."""

    call_id: CallId
    done: bool


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """A page of a worker's cache events; with `gap` some before or between them were lost."""

    worker: WorkerId
    changes: tuple[BlockChange, ...]
    gap: bool


@dataclass(frozen=True, slots=True)
class WorkerJoined:
    """A worker may be used from now on; a known worker's description is replaced."""

    description: WorkerDescription


@dataclass(frozen=True, slots=True)
class WorkerLeaving:
    """A worker gets no new work; what runs on it may end."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class WorkerLeft:
    """A worker is gone with its cache; its running calls are reported by `CallFailed`."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A worker's lagging load report."""

    worker: WorkerId
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A new configuration has changed the policy."""

    policy: PolicySettings


@dataclass(frozen=True, slots=True)
class Tick:
    """Nothing but that time has come to `now`."""


PoolEvent = (
    CallArrived
    | CallWithdrawn
    | CallFinished
    | CallFailed
    | ProgramPaused
    | ProgramEnded
    | ReleaseCompleted
    | TransferCompleted
    | CacheChanged
    | WorkerJoined
    | WorkerLeaving
    | WorkerLeft
    | LoadReported
    | PolicyChanged
    | Tick
)
