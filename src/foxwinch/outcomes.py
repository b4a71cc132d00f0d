"""Outcomes of fallible operations as values.

A fallible operation returns either its result or a `Refused`. Exceptions are reserved for violated
invariants, which stop the process.
"""

from dataclasses import dataclass
from enum import StrEnum


class RunState(StrEnum):
    """Whether a refused request has taken effect."""

    NOT_RUN = "not_run"
    """Did not take effect; the caller may retry it."""
    RAN = "ran"
    """Took effect, but its response is not available."""
    UNKNOWN = "unknown"
    """May have taken effect; never retried automatically unless it is idempotent."""


class Reason(StrEnum):
    """Reason for a refusal; the values are a stable part of the API."""

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
    """A refusal or failure, with its run state."""

    reason: Reason
    run_state: RunState
    detail: str
    """Message for humans, without any content of conversations or keys."""
    retry_after_seconds: float | None = None
    """Time after which a retry may succeed; None if it will not or the time is unknown."""


def not_run(reason: Reason, detail: str, retry_after_seconds: float | None = None) -> Refused:
    """Return a refusal of a request that did not run."""
    return Refused(reason, RunState.NOT_RUN, detail, retry_after_seconds)


def outcome_unknown(reason: Reason, detail: str) -> Refused:
    """Return a failure of a request that may have run."""
    return Refused(reason, RunState.UNKNOWN, detail)


def ran(reason: Reason, detail: str) -> Refused:
    """Return a failure of a request that ran but whose response is not available."""
    return Refused(reason, RunState.RAN, detail)
