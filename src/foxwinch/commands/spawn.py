"""Start a sub-agent: one call of the parent that creates a child program.

Intent, creation and outcome go into the journal in one commit, so a child exists exactly when the
call that started it has succeeded.
"""

import asyncio
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import CallAdmitted, CallOutcome, JournalRecord, ProgramCreated
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.views import program_details
from foxwinch.core.program.admission import check_depth
from foxwinch.core.program.budget import Amount
from foxwinch.core.program.requests import CallIntent
from foxwinch.identifiers import ProgramId
from foxwinch.outcomes import Reason, Refused, not_run


@dataclass(slots=True)
class SpawnDriver:
    """Drives one spawn; see the module."""

    ports: ProgramPorts
    life: CallLifecycle
    created: ProgramCreated

    async def run(self, intent: CallIntent) -> None:
        """Run the call."""
        try:
            await self._run(intent)
        except asyncio.CancelledError:
            if self.life.tree.lost or not self.life.running.cancel_cause:
                raise
            self.life.forgive_cancellation()
            cause = self.life.running.cancel_cause
            self.life.refuse(not_run(Reason.CANCELLED, f"the call was cancelled: {cause}"))
        finally:
            self.life.close()

    async def _run(self, intent: CallIntent) -> None:
        await self.life.wait_turn()
        too_deep = check_depth(self.life.program)
        if too_deep is not None:
            self.life.refuse(too_deep)
            return
        started = self.life.start(intent)
        if isinstance(started, Refused):
            self.life.refuse(started)
            return
        following = [
            JournalRecord(program_created=self.created),
            JournalRecord(call_outcome=self._outcome(started)),
        ]
        if await self.life.commit_intent(following):
            child = self.life.tree.table.find(ProgramId(self.created.program_id))
            assert child is not None
            self.life.running.end(program_details(child))

    def _outcome(self, admitted: CallAdmitted) -> CallOutcome:
        return CallOutcome(
            program_id=admitted.program_id,
            call_id=admitted.call_id,
            result=CallOutcome.SUCCEEDED,
            spent=Amount(0, 1, 0.0).to_record(),
            finished_at_seconds=self.ports.clock.wall(),
        )
