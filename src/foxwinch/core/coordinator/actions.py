"""What a pool's scheduler decides: the outputs of `PoolScheduler.handle`."""

from dataclasses import dataclass

from foxwinch.identifiers import CallId, ProgramId, WorkerId
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Run the call on the worker; it holds a place there until finished, failed or withdrawn."""

    call_id: CallId
    worker: WorkerId
    priority: int
    """Lower is more urgent; the engine preempts running calls of higher numbers for it."""
    expected_cached_tokens: int
    waited_seconds: float
    reason: str
    """Why the call waited and went where it did."""


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Answer the call now: it was not run. `refused.retry_after_seconds` says when to ask again."""

    call_id: CallId
    refused: Refused


@dataclass(frozen=True, slots=True)
class CopyPrefix:
    """Copy leading blocks between workers, then answer `TransferCompleted` for the call.

    `program_id` is a program that has run with this prefix on the source.
    """

    call_id: CallId
    program_id: ProgramId
    source: WorkerId
    target: WorkerId
    block_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Free what the worker holds for this program only; answer `ReleaseCompleted`."""

    worker: WorkerId
    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class ResyncCache:
    """Read the worker's whole list of cached blocks: events were lost."""

    worker: WorkerId


PoolAction = Dispatch | RefuseCall | CopyPrefix | ReleaseCache | ResyncCache
