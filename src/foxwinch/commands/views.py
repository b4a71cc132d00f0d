"""Convert committed programs and ended calls to events."""

from collections.abc import AsyncIterator, Iterator

from foxwinch._generated.journal_pb2 import CallAdmitted, CallOutcome, HistoryMessage
from foxwinch.core.program.budget import Amount
from foxwinch.core.program.call_events import (
    CallChunk,
    CallChunks,
    CallFinished,
    CallStarted,
    ProgramDetails,
    ProgramEvent,
    ToolFinished,
)
from foxwinch.core.program.history import from_history
from foxwinch.core.program.state import Call, Program
from foxwinch.identifiers import ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, RunState

RUN_STATE_OF_RESULT = {
    CallOutcome.FAILED_NOT_RUN: RunState.NOT_RUN,
    CallOutcome.FAILED_RAN: RunState.RAN,
    CallOutcome.FAILED_UNKNOWN: RunState.UNKNOWN,
}


def state_name(program: Program) -> str:
    """Return `live`, `finished` or `abandoned`."""
    if program.finished is None:
        return "live"
    return "abandoned" if program.finished.abandoned else "finished"


def program_details(program: Program) -> ProgramDetails:
    """Return the view of a program that its tenant may see."""
    parent = program.created.parent_program_id
    return ProgramDetails(
        program_id=program.program_id,
        template=program.created.template,
        state=state_name(program),
        parent_program_id=ProgramId(parent) if parent else None,
        history=tuple(program.history),
        spent=program.ledger.spent,
        budget=program.created.budget,
    )


async def single_event(event: ProgramEvent) -> AsyncIterator[ProgramEvent]:
    """Iterate over a single event."""
    yield event


async def ended_call_events(
    program: Program, call: Call, child: Program | None, offset: int
) -> AsyncIterator[ProgramEvent]:
    """Iterate over the events of an ended call, with the chunks from index `offset` onwards."""
    outcome = call.outcome
    assert outcome is not None
    if outcome.result != CallOutcome.SUCCEEDED:
        yield recorded_refusal(outcome)
    elif call.admitted.kind == CallAdmitted.MODEL:
        yield _start_event(program, call)
        chunks = list(_chunks(outcome))
        if chunks[offset:]:
            yield CallChunks(chunks[offset:])
        yield CallFinished(
            outcome.finish_reason,
            outcome.prompt_tokens,
            outcome.cached_tokens,
            outcome.completion_tokens,
        )
    elif call.admitted.kind == CallAdmitted.TOOL:
        yield _start_event(program, call)
        yield ToolFinished(call.call_id, outcome.answer[0])
    else:
        yield _child_details(program, call, child)


def recorded_refusal(outcome: CallOutcome) -> Refused:
    """Return the refusal recorded in an outcome."""
    known = outcome.reason in Reason._value2member_map_
    reason = Reason(outcome.reason) if known else Reason.INTERNAL
    run_state = RUN_STATE_OF_RESULT.get(outcome.result, RunState.UNKNOWN)
    return Refused(reason, run_state, outcome.detail)


def _child_details(program: Program, call: Call, child: Program | None) -> ProgramDetails:
    if child is not None:
        return program_details(child)
    child_id = ProgramId(call.admitted.target)
    budget = program.created.budget
    return ProgramDetails(child_id, "", "finished", program.program_id, (), Amount(), budget)


def _start_event(program: Program, call: Call) -> CallStarted:
    outcome = call.outcome
    assert outcome is not None
    worker = WorkerId(outcome.worker)
    return CallStarted(
        call.call_id,
        program.program_id,
        worker,
        outcome.waited_seconds,
        outcome.grant_reason,
        call.admitted.target,
    )


def _chunks(outcome: CallOutcome) -> Iterator[CallChunk]:
    """Split the answer into the chunks that were sent; the last empty one has all tool calls."""
    answer = outcome.answer[0] if outcome.answer else HistoryMessage()
    lengths = list(outcome.chunk_lengths)
    tool_calls = tuple(from_history(answer).get("tool_calls") or ()) if answer.extra_json else ()
    last_empty = max((i for i, length in enumerate(lengths) if length == 0), default=None)
    position = 0
    for index, length in enumerate(lengths):
        calls = tool_calls if index == last_empty else ()
        yield CallChunk(answer.content[position : position + length], _with_indexes(calls))
        position += length
    if last_empty is None and tool_calls:
        yield CallChunk("", _with_indexes(tool_calls))


def _with_indexes(tool_calls: tuple[dict[str, object], ...]) -> tuple[object, ...]:
    return tuple({"index": index, **call} for index, call in enumerate(tool_calls))
