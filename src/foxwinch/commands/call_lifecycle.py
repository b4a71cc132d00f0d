"""The steps common to all calls: queueing, start, intent, outcome.

The intent is committed before anything is dispatched, and the outcome before the caller receives
the final event. A call that is refused before its intent is not recorded in the journal.
"""

import asyncio
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import (
    CallAdmitted,
    CallOutcome,
    JournalRecord,
    ProgramFinished,
)
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.running_call import FinalEvent, RunningCall
from foxwinch.commands.served_tree import ServedTree, lost_tree
from foxwinch.core.program.admission import start_call
from foxwinch.core.program.budget import Amount
from foxwinch.core.program.requests import CallIntent
from foxwinch.core.program.state import CallState, Program
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run

log = EventLog("programs")
RESULT_OF_RUN_STATE = {
    RunState.NOT_RUN: CallOutcome.FAILED_NOT_RUN,
    RunState.RAN: CallOutcome.FAILED_RAN,
    RunState.UNKNOWN: CallOutcome.FAILED_UNKNOWN,
}
UNCOMMITTED_RETRY_AFTER_SECONDS = 1.0
"""Retry-After for a caller whose outcome was not committed in time."""


@dataclass(slots=True)
class CallLifecycle:
    """Takes one call from its arrival to its committed outcome."""

    ports: ProgramPorts
    tree: ServedTree
    running: RunningCall
    single_call: bool = False
    admitted: CallAdmitted | None = None

    @property
    def program(self) -> Program:
        """Return the program of the call."""
        return self.running.program

    async def wait_for_earlier_calls(self) -> None:
        """Wait until every earlier call of the program has ended."""
        table = self.tree.table
        if table.next_waiting(self.program) == self.running.call_id:
            return
        earlier_calls_ended = asyncio.get_running_loop().create_future()
        self.running.earlier_calls_ended = earlier_calls_ended
        with self.running.interruptible():
            await earlier_calls_ended

    def start(self, intent: CallIntent) -> CallAdmitted | Refused:
        """Check the call against the program's state and reserve its budget."""
        if self.program.program_id in self.tree.ending_programs:
            return not_run(Reason.PROGRAM_FINISHED, "the program is being ended")
        started = start_call(self.program, intent, self.ports.clock.wall())
        if isinstance(started, Refused):
            return started
        self.admitted = started.admitted
        return started.admitted

    def refuse(self, refused: Refused) -> None:
        """End a call whose intent has not been sent to the journal."""
        self.tree.table.withdraw(self.program, self.running.call_id)
        self.running.end(refused)

    async def commit_intent(self, following: list[JournalRecord] | None = None) -> bool:
        """Commit the intent, along with the program's creation if that is uncommitted.

        `following` is committed in the same batch. Returns False if the call has ended instead;
        nothing was dispatched in that case.
        """
        assert self.admitted is not None
        creation = self.tree.uncommitted_creations.get(self.program.program_id)
        records = [creation] if creation is not None else []
        records += [JournalRecord(call_admitted=self.admitted), *(following or [])]
        self.running.intent_sent = True
        refused = await self.tree.commit(records)
        if refused is None:
            return True
        if refused.run_state is RunState.NOT_RUN:
            self.running.intent_sent = False
            fenced = refused.reason is Reason.FENCED
            self.refuse(lost_tree(RunState.NOT_RUN) if fenced else refused)
            return False
        await self._cancel_intent(records, refused)
        return False

    async def _cancel_intent(self, records: list[JournalRecord], refused: Refused) -> None:
        """Record that nothing was dispatched, because the intent may be in the journal."""
        self.running.end(not_run(refused.reason, refused.detail, refused.retry_after_seconds))
        outcome = self.failure_outcome(not_run(refused.reason, refused.detail), Amount())
        records = [*records, *self._outcome_records(outcome)]
        await self.tree.commit_until_done(records, lambda _: None)

    def set_state(self, state: CallState) -> None:
        """Set the state of the call."""
        self.tree.table.step(self.program, self.running.call_id, state)

    async def commit_outcome(self, outcome: CallOutcome, final: FinalEvent) -> None:
        """Commit the outcome, then send the final event to the followers."""
        self.set_state(CallState.COMMITTING)
        outcome.finished_at_seconds = self.ports.clock.wall()
        done = await self.tree.commit_until_done(
            self._outcome_records(outcome), self._report_uncommitted
        )
        if done:
            if outcome.result != CallOutcome.SUCCEEDED:
                log.info(
                    "call_failed",
                    program=self.program.program_id,
                    call=self.running.call_id,
                    cause=outcome.reason,
                )
            self.running.end(final)
            if self.single_call:
                self.ports.grants.finish(self.program.program_id)

    def clear_cancellation(self) -> None:
        """Clear the task's cancellation after `RunningCall.cancel` interrupted a wait."""
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            task.uncancel()

    def failure_outcome(self, refused: Refused, spent: Amount) -> CallOutcome:
        """Return the outcome of a call that ended without an answer."""
        return CallOutcome(
            program_id=self.program.program_id,
            call_id=self.running.call_id,
            result=RESULT_OF_RUN_STATE[refused.run_state],
            spent=spent.to_record(),
            reason=refused.reason.value,
            detail=refused.detail,
        )

    def close(self) -> None:
        """Remove the call and start the program's next one; runs whenever the call's task ends."""
        tree, program = self.tree, self.program
        tree.running.pop(self.running.call_id, None)
        if tree.lost:
            return
        tree.start_next_call(program.program_id)
        is_creation_uncommitted = program.program_id in tree.uncommitted_creations
        if is_creation_uncommitted and not program.waiting and program.active is None:
            tree.table.drop_uncommitted(program.program_id)
            del tree.uncommitted_creations[program.program_id]
        elif self.single_call and not program.keys:
            tree.table.forget(program.program_id)

    def _outcome_records(self, outcome: CallOutcome) -> list[JournalRecord]:
        records = [JournalRecord(call_outcome=outcome)]
        if self.single_call:
            finished = ProgramFinished(
                program_id=self.program.program_id,
                reason="single_call",
                finished_at_seconds=self.ports.clock.wall(),
            )
            records.append(JournalRecord(program_finished=finished))
        return records

    def _report_uncommitted(self, refused: Refused) -> None:
        self.running.end(
            Refused(
                refused.reason,
                RunState.UNKNOWN,
                "the call has ended but its outcome is not committed yet: " + refused.detail,
                UNCOMMITTED_RETRY_AFTER_SECONDS,
            )
        )
