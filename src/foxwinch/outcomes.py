"""Outcomes as values: what an operation returns in place of raising.

Every fallible operation returns either its result type or a `Refused`. Exceptions are kept for
broken invariants, which stop the process.
"""

from dataclasses import dataclass
from enum import StrEnum


class RunState(StrEnum):
    """Whether the work behind a refused request has taken effect."""

    NOT_RUN = "not_run"
    """Certainly without effect: the caller may send it again."""
    RAN = "ran"
    """Certainly took effect, but its answer cannot be given."""
    UNKNOWN = "unknown"
    """May have taken effect: never run again automatically when it is not repeatable."""


class Reason(StrEnum):
    """Why an operation was refused; stable names that callers may rely on."""

    INVALID_REQUEST = "invalid_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    PROGRAM_FINISHED = "program_finished"
    BUDGET_EXHAUSTED = "budget_exhausted"
    LOOP_DETECTED = "loop_detected"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NOT_OWNER = "not_owner"
    FENCED = "fenced"
    NO_QUORUM = "no_quorum"
    STORE_UNAVAILABLE = "store_unavailable"
    PEER_UNREACHABLE = "peer_unreachable"
    BACKEND_UNAVAILABLE = "backend_unavailable"
    BACKEND_FAILED = "backend_failed"
    TOOL_TIMEOUT = "tool_timeout"
    CANCELLED = "cancelled"
    STALE_CONFIGURATION = "stale_configuration"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal or failure, with what is known about its effect."""

    reason: Reason
    run_state: RunState
    detail: str
    """One sentence for a person; holds no content of conversations and no keys."""
    retry_after_seconds: float | None = None
    """When trying again can help, or None when it cannot."""


def not_run(reason: Reason, detail: str, retry_after_seconds: float | None = None) -> Refused:
    """Return a refusal whose work certainly did not run."""
    return Refused(reason, RunState.NOT_RUN, detail, retry_after_seconds)


def outcome_unknown(reason: Reason, detail: str) -> Refused:
    """Return a failure whose work may have run."""
    return Refused(reason, RunState.UNKNOWN, detail)


def ran(reason: Reason, detail: str) -> Refused:
    """Return a failure whose work certainly ran but whose answer is not available."""
    return Refused(reason, RunState.RAN, detail)
