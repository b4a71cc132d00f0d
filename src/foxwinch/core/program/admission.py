"""Admission checks of a call: order, history, loop guard, wall time and budget."""

from foxwinch._generated.journal_pb2 import CallAdmitted, HistoryMessage
from foxwinch.core.program.budget import Amount, Shortage, reserve
from foxwinch.core.program.history import first_difference, size_bytes, token_bound
from foxwinch.core.program.requests import CallIntent, Started
from foxwinch.core.program.state import Call, CallState, Program
from foxwinch.core.program.table import call_signature
from foxwinch.outcomes import Reason, Refused, not_run


def start_call(program: Program, intent: CallIntent, now_seconds: float) -> Started | Refused:
    """Start the call at the head of a program's queue; `now_seconds` is wall time.

    On success the budget is reserved and the call is the program's active one until an outcome is
    applied or the call is withdrawn. On refusal the call stays in the queue, and the driver must
    withdraw it.
    """
    if program.finished is not None:
        return not_run(Reason.PROGRAM_FINISHED, "the program has finished or was abandoned")
    appended = _new_messages(program, intent)
    if isinstance(appended, Refused):
        return appended
    if size_bytes(program.history) + size_bytes(appended) > intent.history_limit_bytes:
        return not_run(
            Reason.INVALID_REQUEST,
            f"the history would exceed {intent.history_limit_bytes} bytes",
        )
    wall_time_refusal = _wall_time_exhausted(program, now_seconds)
    if wall_time_refusal is not None:
        return wall_time_refusal
    admitted = _build_admitted(program, intent, appended, now_seconds)
    budget = program.created.budget
    consecutive_calls = program.repeats if call_signature(admitted) == program.last_signature else 0
    if consecutive_calls >= budget.repeated_calls:
        return not_run(Reason.LOOP_DETECTED, f"{consecutive_calls} identical consecutive calls")
    reserved = Amount.from_record(admitted.reserved)
    shortage = reserve(program.ledgers(), reserved)
    if shortage is not None:
        return _budget_exhausted(shortage)
    program.waiting.pop(intent.call_id, None)
    program.calls[intent.call_id] = Call(admitted, CallState.ADMITTED)
    program.active = intent.call_id
    return Started(admitted, reserved)


def remaining_wall_seconds(program: Program, now_seconds: float) -> float:
    """Return the remaining wall time of the program, limited by that of its ancestors."""
    return min(
        p.created.created_at_seconds + p.created.budget.wall_seconds - now_seconds
        for p in program.lineage()
    )


def check_depth(program: Program) -> Refused | None:
    """Return a refusal if a child program would exceed the depth limit of an ancestor."""
    depth = program.created.depth + 1
    for ancestor in program.lineage():
        allowed = ancestor.created.budget.depth
        if depth - ancestor.created.depth > allowed:
            return not_run(
                Reason.BUDGET_EXHAUSTED, f"budget: the depth of sub-agents is limited to {allowed}"
            )
    return None


def _new_messages(program: Program, intent: CallIntent) -> list[HistoryMessage] | Refused:
    if intent.append:
        return list(intent.messages)
    index = first_difference(program.history, intent.messages)
    if index is not None:
        return not_run(
            Reason.CONFLICT,
            f"messages differ from the program's history at index {index} "
            f"(the history has {len(program.history)} messages); send the full history, "
            "or only new messages with X-Foxwinch-Append: true",
        )
    return list(intent.messages[len(program.history) :])


def _wall_time_exhausted(program: Program, now_seconds: float) -> Refused | None:
    if remaining_wall_seconds(program, now_seconds) > 0:
        return None
    return not_run(Reason.BUDGET_EXHAUSTED, "budget: the program's wall time is used up")


def _build_admitted(
    program: Program, intent: CallIntent, appended: list[HistoryMessage], now_seconds: float
) -> CallAdmitted:
    return CallAdmitted(
        program_id=intent.program_id,
        call_id=intent.call_id,
        idempotency_key=intent.idempotency_key,
        kind=intent.kind,
        target=intent.target,
        repeatable=intent.repeatable,
        appended=appended,
        reserved=_max_spending(program, intent, appended).to_record(),
        history_length=len(program.history),
        request_hash=intent.request_hash,
        parameters_json=intent.parameters_json,
        maximum_tokens=intent.maximum_tokens,
        admitted_at_seconds=now_seconds,
        tool_call_id=intent.tool_call_id,
    )


def _max_spending(program: Program, intent: CallIntent, appended: list[HistoryMessage]) -> Amount:
    """Return the maximum that the call can spend."""
    tokens = 0
    if intent.kind == CallAdmitted.MODEL:
        tokens = program.history_tokens + token_bound(appended) + intent.maximum_tokens
    return Amount(tokens, 1, intent.call_cost + tokens * intent.cost_per_token)


def _budget_exhausted(shortage: Shortage) -> Refused:
    return not_run(
        Reason.BUDGET_EXHAUSTED,
        f"budget: the call may need {shortage.requested:g} {shortage.field}, "
        f"{shortage.available:g} available",
    )
