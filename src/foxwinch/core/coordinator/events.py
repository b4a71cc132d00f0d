"""Events handled by `PoolScheduler.handle`."""

from dataclasses import dataclass

from foxwinch.core.coordinator.cache_index import BlockChange as BlockChange
from foxwinch.core.coordinator.calls import PoolCall, WorkerDescription
from foxwinch.core.coordinator.policy import PolicySettings
from foxwinch.identifiers import CallId, ProgramId, ToolName, WorkerId


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call requests a slot; a known call id is ignored."""

    call: PoolCall


@dataclass(frozen=True, slots=True)
class CallWithdrawn:
    """A queued or running call was withdrawn by its caller; an unknown call is ignored."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A dispatched call has completed its answer."""

    call_id: CallId
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A dispatched call has failed on its worker; its owner decides whether to retry it."""

    call_id: CallId
    not_run: bool


@dataclass(frozen=True, slots=True)
class ProgramPaused:
    """A program has started a tool call, or waits for its user if `tool` is empty."""

    program_id: ProgramId
    tool: ToolName


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """A program has finished or was abandoned, so its cache must be released."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class ReleaseCompleted:
    """A worker has completed a release, or the release has failed."""

    worker: WorkerId
    program_id: ProgramId
    done: bool


@dataclass(frozen=True, slots=True)
class TransferCompleted:
    """A transfer of cache blocks has ended; after a failure the call recomputes its prefix."""

    call_id: CallId
    done: bool


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """A page of a worker's cache events; `gap` means that events before or among them were lost."""

    worker: WorkerId
    changes: tuple[BlockChange, ...]
    gap: bool


@dataclass(frozen=True, slots=True)
class WorkerJoined:
    """A worker is available; the description of a known worker is replaced."""

    description: WorkerDescription


@dataclass(frozen=True, slots=True)
class WorkerLeaving:
    """A worker gets no new calls while its running calls finish."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class WorkerLeft:
    """A worker has left and its cache is lost; `CallFailed` reports its running calls."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report of a worker, which lags behind its actual load."""

    worker: WorkerId
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """The policy was changed by a new configuration."""

    policy: PolicySettings


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer tick that only advances the time to `now`."""


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
