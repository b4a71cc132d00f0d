"""Spawn a sub-agent: one call of the parent that creates a child program.

Intent, creation and outcome are committed atomically, so the child exists if and only if the call
that spawned it succeeded.
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
    """Drives one spawn call from its queueing to its outcome."""

    ports: ProgramPorts
    lifecycle: CallLifecycle
    created: ProgramCreated

    async def run(self, intent: CallIntent) -> None:
        """Run the call."""
        try:
            await self._run(intent)
        except asyncio.CancelledError:
            if self.lifecycle.tree.lost or not self.lifecycle.running.cancel_cause:
                raise
            self.lifecycle.clear_cancellation()
            cause = self.lifecycle.running.cancel_cause
            self.lifecycle.refuse(not_run(Reason.CANCELLED, f"the call was cancelled: {cause}"))
        finally:
            self.lifecycle.close()

    async def _run(self, intent: CallIntent) -> None:
        await self.lifecycle.wait_for_earlier_calls()
        depth_refusal = check_depth(self.lifecycle.program)
        if depth_refusal is not None:
            self.lifecycle.refuse(depth_refusal)
            return
        started = self.lifecycle.start(intent)
        if isinstance(started, Refused):
            self.lifecycle.refuse(started)
            return
        following = [
            JournalRecord(program_created=self.created),
            JournalRecord(call_outcome=self._outcome(started)),
        ]
        if await self.lifecycle.commit_intent(following):
            child = self.lifecycle.tree.table.find(ProgramId(self.created.program_id))
            assert child is not None
            self.lifecycle.running.end(program_details(child))

    def _outcome(self, admitted: CallAdmitted) -> CallOutcome:
        return CallOutcome(
            program_id=admitted.program_id,
            call_id=admitted.call_id,
            result=CallOutcome.SUCCEEDED,
            spent=Amount(0, 1, 0.0).to_record(),
            finished_at_seconds=self.ports.clock.wall(),
        )
