"""Properties that must always hold, checked only against what callers and services observe."""

import json
from collections.abc import Iterator
from dataclasses import dataclass

from foxwinch.backends.ports import Message
from foxwinch.bench.cluster_fuzz.client import ANSWER_TOKENS, CallKind, ClientCall, ClientProgram
from foxwinch.bench.cluster_fuzz.document import SHORT, SHORT_CALLS, TENANT
from foxwinch.bench.cluster_fuzz.world import FuzzWorld
from foxwinch.core.program.call_events import ProgramDetails
from foxwinch.emulator.engine_responses import WORDS, history_marker

LEAVING_SECONDS = 10.0
"""Time after which a leaving worker receives no new work, even under node faults."""
ORDER = "calls run in their given order"
HISTORY = "a history is never lost and never mixed"
BUDGET = "a budget holds"
MEMORY = "no engine memory stays held for finished programs"
COMPLETE = "a caller receives the whole answer to its own request"
NOT_RUN = "a refusal that says not run is true"
ONCE = "what may not be repeated runs at most once"
LEAVING = "a leaving back end gets no new work"
PLANNED = "a planned stop cuts no request"
CONFIGURATION = "an accepted configuration is in force and never reverts"
SETTLES = "once faults stop everything settles"


class PropertyError(AssertionError):
    """A property is violated."""

    def __init__(self, name: str, detail: str) -> None:
        """Store the name of the violated property."""
        super().__init__(f"{name}: {detail}")
        self.name = name


@dataclass(frozen=True, slots=True)
class _Run:
    call: ClientCall
    at_seconds: float


def check_after_step(
    world: FuzzWorld, programs: list[ClientProgram], leaving: dict[str, float]
) -> None:
    """Check the properties that must hold after every step."""
    if world.failures:
        raise PropertyError(SETTLES, f"a task failed: {world.failures[0]}")
    calls = {call.marker: call for program in programs for call in program.calls}
    runs = list(_tool_runs(world, calls))
    for call in calls.values():
        count = sum(run.call is call for run in runs)
        if call.kind is CallKind.ONCE and count > 1:
            raise PropertyError(ONCE, f"{call.marker} ran {count} times")
        if call.refused_as_not_run and count:
            raise PropertyError(
                NOT_RUN, f"{call.marker} ran, but its caller received {call.response}"
            )
        if call.kind is CallKind.MODEL and call.succeeded:
            _check_answer(call)
    newest: dict[str, int] = {}
    for run in runs:
        if run.call.number < newest.get(run.call.program, 0):
            raise PropertyError(ORDER, f"{run.call.marker} ran at {run.at_seconds}")
        newest[run.call.program] = run.call.number
    for dispatch in world.engine.dispatches:
        since = leaving.get(dispatch.worker, float("inf"))
        if dispatch.at_seconds > since + LEAVING_SECONDS:
            detail = f"{dispatch.worker} at {dispatch.at_seconds}, leaving since {since}"
            raise PropertyError(LEAVING, detail)


def check_history(
    program: ClientProgram, answered: list[ClientCall], details: ProgramDetails
) -> None:
    """Check a program's history; `answered` lists the calls answered before the read was sent."""
    seen = [message.content for message in details.history]
    for content in seen:
        own = content.startswith((f"{program.name}#", f"[program={TENANT}/{program.name} "))
        if not own and not content.startswith(("timetable: ", "logged entry ")):
            raise PropertyError(
                HISTORY, f"{program.name} has a message of another program: {content!r}"
            )
    user_messages = [content for content in seen if content.startswith(f"{program.name}#")]
    numbers = [int(content.partition("#")[2]) for content in user_messages]
    if numbers != sorted(set(numbers)):
        raise PropertyError(ORDER, f"{program.name} has its calls in the order {numbers}")
    for call in answered:
        if not _is_in_history(call, seen):
            raise PropertyError(HISTORY, f"the response to {call.marker} is missing")
    for index, message in enumerate(details.history):
        if message.role == "assistant":
            before = [Message(m.role, m.content) for m in details.history[:index]]
            if not message.content.startswith(history_marker(program.program_id, before)):
                raise PropertyError(
                    HISTORY, f"{program.name}: unexpected {message.content!r} at index {index}"
                )
    calls = sum(call.succeeded for call in program.calls)
    if program.template == SHORT and max(calls, details.spent.calls) > SHORT_CALLS:
        raise PropertyError(BUDGET, f"{program.name} made {calls} calls and spent {details.spent}")


def _is_in_history(call: ClientCall, seen: list[str]) -> bool:
    if call.kind is CallKind.MODEL:
        return call.text in seen
    if call.kind is CallKind.REPEATABLE:
        return f"timetable: {json.dumps({'entry': call.marker})}" in seen
    return True


def check_released(world: FuzzWorld, programs: list[ClientProgram]) -> None:
    """Check that engines have released the KV cache of finished programs."""
    for program in programs:
        if not program.ended:
            continue
        for name, worker in world.workers.items():
            if worker.has_cache_of(program.program_id):
                raise PropertyError(
                    MEMORY, f"{name} still holds cache of the finished program {program.name}"
                )


def _check_answer(call: ClientCall) -> None:
    words = "".join(f"{WORDS[i % len(WORDS)]} " for i in range(ANSWER_TOKENS - 1))
    start = f"[program={TENANT}/{call.program} "
    if not call.text.startswith(start) or not call.text.endswith("] " + words):
        raise PropertyError(COMPLETE, f"{call.marker} received {call.text!r}")


def _tool_runs(world: FuzzWorld, calls: dict[str, ClientCall]) -> Iterator[_Run]:
    for execution in world.tool_model.executions:
        arguments = execution.arguments
        assert isinstance(arguments, dict)
        call = calls[str(arguments["entry"])]
        if execution.program_id != f"{TENANT}/{call.program}":
            raise PropertyError(HISTORY, f"{call.marker} ran for {execution.program_id}")
        yield _Run(call, execution.at_seconds)
