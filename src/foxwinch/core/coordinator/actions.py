"""Actions returned by `PoolScheduler.handle`."""

from dataclasses import dataclass

from foxwinch.identifiers import CallId, ProgramId, WorkerId
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Run the call on the worker; its slot is held until it finishes, fails or is withdrawn."""

    call_id: CallId
    worker: WorkerId
    priority: int
    """Lower is more urgent; the engine may preempt running calls with a higher number."""
    expected_cached_tokens: int
    waited_seconds: float
    reason: str
    """Explanation of the wait and the placement."""


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Reject the call without running it; `refused.retry_after_seconds` is the retry delay."""

    call_id: CallId
    refused: Refused


@dataclass(frozen=True, slots=True)
class CopyPrefix:
    """Copy leading cache blocks between workers, then report `TransferCompleted` for the call.

    `program_id` identifies a program that has run with this prefix on the source.
    """

    call_id: CallId
    program_id: ProgramId
    source: WorkerId
    target: WorkerId
    block_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Free the cache held only for this program on the worker, then report `ReleaseCompleted`."""

    worker: WorkerId
    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class ResyncCache:
    """Read the complete list of the worker's cached blocks because events were lost."""

    worker: WorkerId


PoolAction = Dispatch | RefuseCall | CopyPrefix | ReleaseCache | ResyncCache
