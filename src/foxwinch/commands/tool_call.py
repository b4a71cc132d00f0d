"""Run one tool call: intent, dispatch, outcome.

A tool that is not repeatable is retried only if the previous attempt certainly did not run. A tool
call is not cancelled when its caller disconnects, so that its effect is always recorded.
"""

import asyncio
import json
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import CallAdmitted, CallOutcome, HistoryMessage
from foxwinch.backends.ports import ToolRequest, ToolResult
from foxwinch.commands.attempts import earlier_owner_attempt, merge_attempts
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
"""Dispatches of one tool call, including the first."""
RETRY_BASE_SECONDS = 0.1
"""Base of the exponential backoff between attempts, with jitter."""
RETRYABLE_REASONS = frozenset(
    {Reason.BACKEND_UNAVAILABLE, Reason.BACKEND_FAILED, Reason.TOOL_TIMEOUT, Reason.OVERLOADED}
)

TOOL_REASON = "tool calls need no grant"


@dataclass(frozen=True, slots=True)
class ToolCallSettings:
    """Settings of a tool call from the cluster configuration."""

    class_name: ClassName
    timeout_seconds: float
    call_cost: float


@dataclass(slots=True)
class ToolCallDriver:
    """Drives one tool call from its queueing to its outcome."""

    ports: ProgramPorts
    lifecycle: CallLifecycle
    settings: ToolCallSettings
    admitted: CallAdmitted | None = None
    """Set from the start when the call is rerun after a takeover."""
    admission: Admitted | None = None

    async def run(self, intent: CallIntent | None) -> None:
        """Run the call; `intent` is None for a call that an earlier owner admitted."""
        try:
            if intent is None or await self._prepare(intent):
                await self._finish(await self._run_attempts())
        except asyncio.CancelledError:
            if self.lifecycle.tree.lost or not self.lifecycle.running.cancel_cause:
                raise
            await self._handle_cancellation()
        finally:
            if self.admission is not None:
                self.ports.limits.settle(self.admission, 0)
            self.lifecycle.close()

    async def _prepare(self, intent: CallIntent) -> bool:
        await self.lifecycle.wait_for_earlier_calls()
        admitted = self.lifecycle.start(intent)
        if isinstance(admitted, Refused):
            self.lifecycle.refuse(admitted)
            return False
        self.admitted = admitted
        tenant = self.lifecycle.program.tenant
        admission = self.ports.limits.admit(tenant, self.settings.class_name, 0)
        if isinstance(admission, Refused):
            self.lifecycle.refuse(admission)
            return False
        self.admission = admission
        return await self.lifecycle.commit_intent()

    async def _run_attempts(self) -> ToolResult | Refused:
        assert self.admitted is not None
        request = ToolRequest(
            call_id=self.lifecycle.running.call_id,
            program_id=self.lifecycle.program.program_id,
            tool=ToolName(self.admitted.target),
            arguments=json.loads(self.admitted.parameters_json or "{}"),
            timeout_seconds=self.settings.timeout_seconds,
        )
        earlier = earlier_owner_attempt(self.lifecycle.running.rerun)
        if self.lifecycle.running.cancel_cause:
            detail = "the call was cancelled before it was dispatched"
            return merge_attempts(not_run(Reason.CANCELLED, detail), earlier)
        self.ports.grants.pause(request.program_id, request.tool)
        self.lifecycle.set_state(CallState.RUNNING)
        running = self.lifecycle.running
        running.start(
            CallStarted(
                running.call_id, request.program_id, WorkerId(""), 0.0, TOOL_REASON, request.tool
            )
        )
        attempt = 1
        while True:
            end = await self._call(request)
            if isinstance(end, ToolResult):
                return end
            earlier = merge_attempts(end, earlier)
            if attempt >= MAX_ATTEMPTS or not self._may_retry(end):
                return earlier
            await self.ports.clock.sleep(
                RETRY_BASE_SECONDS * 2**attempt * self.ports.clock.uniform()
            )
            attempt += 1

    async def _call(self, request: ToolRequest) -> ToolResult | Refused:
        """Call the tool; bounds the call at twice its timeout in case the adapter does not."""
        try:
            async with asyncio.timeout(2 * request.timeout_seconds):
                return await self.ports.tools.call(request)
        except TimeoutError:
            detail = f"tool {request.tool} did not answer before its timeout"
            return Refused(Reason.TOOL_TIMEOUT, RunState.UNKNOWN, detail)

    def _may_retry(self, end: Refused) -> bool:
        assert self.admitted is not None
        if end.reason not in RETRYABLE_REASONS or self.lifecycle.running.cancel_cause:
            return False
        return self.admitted.repeatable or end.run_state is RunState.NOT_RUN

    async def _finish(self, end: ToolResult | Refused) -> None:
        if isinstance(end, Refused):
            spent = Amount()
            if end.run_state is not RunState.NOT_RUN:
                spent = Amount(0, 1, self.settings.call_cost)
            await self.lifecycle.commit_outcome(self.lifecycle.failure_outcome(end, spent), end)
            return
        call_id = self.lifecycle.running.call_id
        answered = self.admitted.tool_call_id if self.admitted is not None else ""
        extra = canonical_json({"tool_call_id": answered or call_id})
        message = HistoryMessage(role="tool", content=end.content, extra_json=extra)
        outcome = CallOutcome(
            program_id=self.lifecycle.program.program_id,
            call_id=call_id,
            result=CallOutcome.SUCCEEDED,
            answer=[message],
            spent=Amount(0, 1, self.settings.call_cost).to_record(),
        )
        await self.lifecycle.commit_outcome(outcome, ToolFinished(call_id, message))

    async def _handle_cancellation(self) -> None:
        """End a call that was cancelled while it waited for earlier calls."""
        self.lifecycle.clear_cancellation()
        cause = self.lifecycle.running.cancel_cause
        self.lifecycle.refuse(not_run(Reason.CANCELLED, f"the call was cancelled: {cause}"))
