"""Finish or abandon a program: end its calls and child programs, and release its KV cache."""

import asyncio

from foxwinch._generated.journal_pb2 import JournalRecord, ProgramFinished
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.served_tree import ServedTree
from foxwinch.core.program.lifetime import PARENT_ENDED
from foxwinch.core.program.state import Program
from foxwinch.outcomes import Reason, Refused, not_run

BUSY_RETRY_SECONDS = 1.0
ENDED_CAUSE = "program_ended"


async def end_program(
    ports: ProgramPorts, tree: ServedTree, program: Program, abandoned: bool, reason: str
) -> Refused | None:
    """End a program; returns None once it has ended, or if it had ended before.

    Finishing does not wait: it is a `CONFLICT` while calls wait or run. Abandoning cancels the
    calls, but waits for a running tool call, which may take effect.
    """
    if program.finished is not None:
        return None
    if program.program_id in tree.ending_programs:
        return not_run(Reason.CONFLICT, "the program is being ended", BUSY_RETRY_SECONDS)
    if not abandoned and (program.active is not None or program.waiting):
        return not_run(Reason.CONFLICT, "calls of the program are running", BUSY_RETRY_SECONDS)
    tree.ending_programs.add(program.program_id)
    try:
        return await _end(ports, tree, program, abandoned, reason)
    finally:
        tree.ending_programs.discard(program.program_id)


async def _end(
    ports: ProgramPorts, tree: ServedTree, program: Program, abandoned: bool, reason: str
) -> Refused | None:
    await _cancel_calls(tree, program)
    for child_id in list(program.children):
        child = tree.table.find(child_id)
        if child is not None:
            await end_program(ports, tree, child, abandoned=True, reason=PARENT_ENDED)
    if tree.uncommitted_creations.pop(program.program_id, None) is not None:
        tree.table.drop_uncommitted(program.program_id)
        return None
    finished = ProgramFinished(
        program_id=program.program_id,
        abandoned=abandoned,
        reason=reason,
        finished_at_seconds=ports.clock.wall(),
    )
    refused = await tree.commit([JournalRecord(program_finished=finished)])
    if refused is None:
        ports.grants.finish(program.program_id)
    return refused


async def _cancel_calls(tree: ServedTree, program: Program) -> None:
    calls = [call for call in tree.running.values() if call.program is program]
    for call in calls:
        call.cancel(ENDED_CAUSE)
    tasks = [call.task for call in calls if call.task is not None]
    if tasks:
        await asyncio.wait(tasks)
