"""Run one tool call: intent, dispatch, outcome.

A tool that may not be repeated is dispatched again only when the attempt before certainly did not
run. Tool calls are not cut when their caller goes: their effect is recorded whoever listens.
"""

import asyncio
import json
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import CallAdmitted, CallOutcome, HistoryMessage
from foxwinch.backends.ports import ToolRequest, ToolResult
from foxwinch.commands.attempts import before_first, with_earlier
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.ports import ProgramPorts
from foxwinch.core.program.budget import Amount
from foxwinch.core.program.call_events import CallStarted, ToolFinished
from foxwinch.core.program.history import canonical_json
from foxwinch.core.program.requests import CallIntent
from foxwinch.core.program.state import CallState
from foxwinch.identifiers import ClassName, ToolName, WorkerId
from foxwinch.limits.ports import Admitted
from foxwinch.outcomes import Reason, Refused, RunState, not_run

MAX_ATTEMPTS = 3
"""Dispatches of one repeatable tool call, the first included."""
RETRY_SECONDS = 0.1
"""First pause before a retry; doubles, with jitter."""
RETRIED_REASONS = frozenset(
    {Reason.BACKEND_UNAVAILABLE, Reason.BACKEND_FAILED, Reason.TOOL_TIMEOUT, Reason.OVERLOADED}
)

TOOL_REASON = "tool calls need no grant"


@dataclass(frozen=True, slots=True)
class ToolTerms:
    """What the configuration says of a tool call."""

    class_name: ClassName
    timeout_seconds: float
    call_cost: float


@dataclass(slots=True)
class ToolCallDriver:
    """Drives one tool call; see the module."""

    ports: ProgramPorts
    life: CallLifecycle
    terms: ToolTerms
    admitted: CallAdmitted | None = None
    """Given when the call is run again after a takeover."""
    share: Admitted | None = None

    async def run(self, intent: CallIntent | None) -> None:
        """Run the call; without an intent it is a call that an earlier owner has admitted."""
        try:
            if intent is None or await self._prepare(intent):
                await self._finish(await self._attempts())
        except asyncio.CancelledError:
            if self.life.tree.lost or not self.life.running.cancel_cause:
                raise
            await self._cancelled()
        finally:
            if self.share is not None:
                self.ports.limits.settle(self.share, 0)
            self.life.close()

    async def _prepare(self, intent: CallIntent) -> bool:
        await self.life.wait_turn()
        admitted = self.life.start(intent)
        if isinstance(admitted, Refused):
            self.life.refuse(admitted)
            return False
        self.admitted = admitted
        tenant = self.life.program.tenant
        share = self.ports.limits.admit(tenant, self.terms.class_name, 0)
        if isinstance(share, Refused):
            self.life.refuse(share)
            return False
        self.share = share
        return await self.life.commit_intent()

    async def _attempts(self) -> ToolResult | Refused:
        assert self.admitted is not None
        order = ToolRequest(
            call_id=self.life.running.call_id,
            program_id=self.life.program.program_id,
            tool=ToolName(self.admitted.target),
            arguments=json.loads(self.admitted.parameters_json or "{}"),
            timeout_seconds=self.terms.timeout_seconds,
        )
        earlier = before_first(self.life.running.rerun)
        if self.life.running.cancel_cause:
            detail = "the call was cancelled before it was dispatched"
            return with_earlier(not_run(Reason.CANCELLED, detail), earlier)
        self.ports.grants.pause(order.program_id, order.tool)
        self.life.step(CallState.RUNNING)
        running = self.life.running
        running.start(
            CallStarted(
                running.call_id, order.program_id, WorkerId(""), 0.0, TOOL_REASON, order.tool
            )
        )
        attempt = 1
        while True:
            end = await self._call(order)
            if isinstance(end, ToolResult):
                return end
            earlier = with_earlier(end, earlier)
            if attempt >= MAX_ATTEMPTS or not self._may_retry(end):
                return earlier
            await self.ports.clock.sleep(RETRY_SECONDS * 2**attempt * self.ports.clock.uniform())
            attempt += 1

    async def _call(self, order: ToolRequest) -> ToolResult | Refused:
        """Call the tool; whatever the adapter does, the call ends at twice its time-out."""
        try:
            async with asyncio.timeout(2 * order.timeout_seconds):
                return await self.ports.tools.call(order)
        except TimeoutError:
            detail = f"tool {order.tool} gave no answer in time"
            return Refused(Reason.TOOL_TIMEOUT, RunState.UNKNOWN, detail)

    def _may_retry(self, end: Refused) -> bool:
        assert self.admitted is not None
        if end.reason not in RETRIED_REASONS or self.life.running.cancel_cause:
            return False
        return self.admitted.repeatable or end.run_state is RunState.NOT_RUN

    async def _finish(self, end: ToolResult | Refused) -> None:
        if isinstance(end, Refused):
            spent = Amount()
            if end.run_state is not RunState.NOT_RUN:
                spent = Amount(0, 1, self.terms.call_cost)
            await self.life.commit_outcome(self.life.failed(end, spent), end)
            return
        call_id = self.life.running.call_id
        answered = self.admitted.tool_call_id if self.admitted is not None else ""
        extra = canonical_json({"tool_call_id": answered or call_id})
        message = HistoryMessage(role="tool", content=end.content, extra_json=extra)
        outcome = CallOutcome(
            program_id=self.life.program.program_id,
            call_id=call_id,
            result=CallOutcome.SUCCEEDED,
            answer=[message],
            spent=Amount(0, 1, self.terms.call_cost).to_record(),
        )
        await self.life.commit_outcome(outcome, ToolFinished(call_id, message))

    async def _cancelled(self) -> None:
        """End a call that was cancelled while it waited for its turn."""
        self.life.forgive_cancellation()
        cause = self.life.running.cancel_cause
        self.life.refuse(not_run(Reason.CANCELLED, f"the call was cancelled: {cause}"))
