"""Conversion between refusals and gRPC statuses with trailing metadata."""

from collections.abc import Mapping

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from foxwinch.outcomes import Reason, Refused, RunState

REASON_KEY = "foxwinch-reason"
RUN_STATE_KEY = "foxwinch-run-state"
RETRY_AFTER_KEY = "retry-after-seconds"
STATUS_OF_REASON: Mapping[Reason, Status] = {
    Reason.INVALID_REQUEST: Status.INVALID_ARGUMENT,
    Reason.UNAUTHENTICATED: Status.UNAUTHENTICATED,
    Reason.NOT_FOUND: Status.NOT_FOUND,
    Reason.CONFLICT: Status.ABORTED,
    Reason.PROGRAM_FINISHED: Status.FAILED_PRECONDITION,
    Reason.RATE_LIMITED: Status.RESOURCE_EXHAUSTED,
    Reason.DEADLINE: Status.DEADLINE_EXCEEDED,
    Reason.CANCELLED: Status.CANCELLED,
    Reason.INTERNAL: Status.INTERNAL,
    Reason.OUTCOME_UNKNOWN: Status.UNKNOWN,
}
DEFAULT_STATUS = Status.UNAVAILABLE


def status_of(refused: Refused) -> Status:
    """Return the gRPC status of a refusal."""
    return STATUS_OF_REASON.get(refused.reason, DEFAULT_STATUS)


def metadata_of(refused: Refused) -> dict[str, str]:
    """Return the trailing metadata of a refusal."""
    metadata = {REASON_KEY: refused.reason.value, RUN_STATE_KEY: refused.run_state.value}
    if refused.retry_after_seconds is not None:
        metadata[RETRY_AFTER_KEY] = f"{refused.retry_after_seconds:.3f}"
    return metadata


def refusal_of(error: GRPCError, trailing: Mapping[str, object], is_command: bool) -> Refused:
    """Return the refusal for a failed call; `trailing` is its trailing metadata.

    Without metadata, a command may have taken effect, unless its status means a rejection.
    """
    detail = error.message or error.status.name
    try:
        retry_after = trailing.get(RETRY_AFTER_KEY)
        return Refused(
            Reason(str(trailing[REASON_KEY])),
            RunState(str(trailing[RUN_STATE_KEY])),
            detail,
            float(str(retry_after)) if retry_after is not None else None,
        )
    except (KeyError, ValueError):
        pass
    reasons = {status: reason for reason, status in STATUS_OF_REASON.items()}
    reason = reasons.get(error.status, Reason.INTERNAL)
    rejected = error.status in (Status.UNAUTHENTICATED, Status.UNIMPLEMENTED)
    run_state = RunState.UNKNOWN if is_command and not rejected else RunState.NOT_RUN
    return Refused(reason, run_state, detail)
