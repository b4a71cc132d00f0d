"""Recovery of calls that an earlier owner admitted and left without an outcome."""

from enum import StrEnum

from foxwinch._generated.journal_pb2 import CallAdmitted, CallOutcome
from foxwinch.core.program.state import Call, Program
from foxwinch.outcomes import Reason

RERUN_LIMIT_SECONDS = 600.0
"""Age of an intent after which no caller still waits for its response. It also limits how often a
call is rerun when owners fail repeatedly."""


class Recovery(StrEnum):
    """Recovery action for a call without an outcome."""

    RUN_AGAIN = "run_again"
    """The call is repeatable, and its caller can fetch the response by the idempotency key."""
    UNKNOWN = "unknown"
    """The call may have run; it is never rerun and never reported as `not_run`."""


def decide_recovery(call: Call, now_seconds: float) -> Recovery:
    """Return the recovery action for a call; `now_seconds` is wall time."""
    admitted = call.admitted
    is_recent = now_seconds - admitted.admitted_at_seconds <= RERUN_LIMIT_SECONDS
    is_rerunnable_kind = admitted.kind in (CallAdmitted.MODEL, CallAdmitted.TOOL)
    if admitted.repeatable and admitted.idempotency_key and is_recent and is_rerunnable_kind:
        return Recovery.RUN_AGAIN
    return Recovery.UNKNOWN


def unknown_outcome(program: Program, call: Call, now_seconds: float) -> CallOutcome:
    """Return the outcome of a call that may have run; its full reservation counts as spent."""
    return CallOutcome(
        program_id=program.program_id,
        call_id=call.call_id,
        result=CallOutcome.FAILED_UNKNOWN,
        spent=call.reserved.to_record(),
        reason=Reason.OUTCOME_UNKNOWN.value,
        detail="the node that ran the call was lost before it recorded an outcome",
        finished_at_seconds=now_seconds,
    )
