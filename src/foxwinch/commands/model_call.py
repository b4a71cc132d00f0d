"""Run one model call: grant, intent, dispatch, stream, outcome.

The grant precedes the intent, so that a call without a worker is refused without a journal entry.
A broken stream is resumed after the chunks that were already received, on the worker of the next
grant.
"""

import asyncio
import json
from contextlib import aclosing
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import CallAdmitted, CallOutcome, HistoryMessage
from foxwinch.backends.ports import GenerateFinished, GenerateRequest, Message, TokenChunk
from foxwinch.commands.attempts import earlier_owner_attempt, merge_attempts
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.call_retries import with_retry_after
from foxwinch.commands.ports import ProgramPorts
from foxwinch.core.program.admission import remaining_wall_seconds
from foxwinch.core.program.budget import Amount
from foxwinch.core.program.call_events import CallChunk, CallFinished, CallStarted
from foxwinch.core.program.history import canonical_json
from foxwinch.core.program.requests import CallIntent
from foxwinch.core.program.state import CallState
from foxwinch.core.program.tool_calls import merge_tool_calls
from foxwinch.core.prompt import PromptMessage, block_hashes, count_tokens, render_prompt
from foxwinch.identifiers import ClassName, ModelName, WorkerId
from foxwinch.limits.ports import Admitted
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.workers.ports import Grant, GrantRequest, GrantUsage

MAX_ATTEMPTS = 3
"""Dispatches of one model call, including the first; avoids a retry storm on a recovering zone."""
RETRYABLE_REASONS = frozenset({Reason.BACKEND_UNAVAILABLE, Reason.BACKEND_FAILED, Reason.FENCED})


@dataclass(frozen=True, slots=True)
class ModelCallSettings:
    """Settings of a model call from the cluster configuration."""

    class_name: ClassName
    deadline_seconds: float
    cost_per_token: float


@dataclass(slots=True)
class ModelCallDriver:
    """Drives one model call from its queueing to its outcome."""

    ports: ProgramPorts
    lifecycle: CallLifecycle
    settings: ModelCallSettings
    admitted: CallAdmitted | None = None
    """Set from the start when the call is rerun after a takeover."""
    messages: tuple[Message, ...] = ()
    prompt_estimate: int = 0
    prefix_hashes: tuple[int, ...] = ()
    chunk_tokens: int = 0
    service_seconds: float = 0.0
    grant: Grant | None = None
    last_grant: Grant | None = None
    admission: Admitted | None = None
    was_sent: bool = False
    """False if the worker's open circuit stopped the last attempt."""

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
            self._settle_admission()
            self.lifecycle.close()

    async def _prepare(self, intent: CallIntent) -> bool:
        """Run the steps up to the committed intent; returns False if the call has ended."""
        await self.lifecycle.wait_for_earlier_calls()
        admitted = self.lifecycle.start(intent)
        if isinstance(admitted, Refused):
            self.lifecycle.refuse(admitted)
            return False
        self.admitted = admitted
        self._render_prompt()
        estimate = self.prompt_estimate + admitted.maximum_tokens
        tenant = self.lifecycle.program.tenant
        admission = self.ports.limits.admit(tenant, self.settings.class_name, estimate)
        if isinstance(admission, Refused):
            self.lifecycle.refuse(admission)
            return False
        self.admission = admission
        grant = await self._acquire()
        if isinstance(grant, Refused):
            self.lifecycle.refuse(grant)
            return False
        self.grant = grant
        if await self.lifecycle.commit_intent():
            return True
        self._settle_grant(not_run(Reason.STORE_UNAVAILABLE, "the intent was not committed"))
        return False

    async def _acquire(self) -> Grant | Refused:
        admitted = self._require_admitted()
        program = self.lifecycle.program
        self._render_prompt()
        now = self.ports.clock.monotonic()
        remaining_seconds = remaining_wall_seconds(program, self.ports.clock.wall())
        request = GrantRequest(
            call_id=self.lifecycle.running.call_id,
            program_id=program.program_id,
            tenant=program.tenant,
            class_name=self.settings.class_name,
            model=ModelName(admitted.target),
            prompt_tokens=self.prompt_estimate,
            output_tokens=admitted.maximum_tokens,
            prefix_hashes=self.prefix_hashes,
            service_seconds=program.service_seconds,
            deadline_at_seconds=now + min(self.settings.deadline_seconds, remaining_seconds),
            repeatable=admitted.repeatable,
        )
        with self.lifecycle.running.interruptible():
            grant = await self.ports.grants.acquire(request)
        if isinstance(grant, Grant):
            self.lifecycle.set_state(CallState.GRANTED)
        return grant

    def _render_prompt(self) -> None:
        """Render the prompt once for all attempts."""
        if self.messages:
            return
        prompt = [*self.lifecycle.program.history, *self._require_admitted().appended]
        self.messages = tuple(_engine_message(m) for m in prompt)
        rendered = render_prompt(PromptMessage(m.role, m.content) for m in prompt)
        self.prompt_estimate = count_tokens(rendered)
        self.prefix_hashes = block_hashes(rendered)

    async def _run_attempts(self) -> GenerateFinished | Refused:
        """Dispatch the call, with up to `MAX_ATTEMPTS` attempts."""
        attempt = 1
        retries = self.ports.retries
        earlier = earlier_owner_attempt(self.lifecycle.running.rerun)
        while True:
            if self.grant is None:
                grant = await self._acquire()
                if isinstance(grant, Refused):
                    return merge_attempts(grant, earlier)
                self.grant = grant
            worker = self.grant.worker
            end = await self._dispatch(worker, attempt)
            self._settle_grant(end)
            if isinstance(end, GenerateFinished):
                return end
            earlier = merge_attempts(end, earlier)
            if end.reason not in RETRYABLE_REASONS or attempt >= MAX_ATTEMPTS:
                return earlier
            if not retries.try_retry(self.lifecycle.program.tenant, worker, end, self.was_sent):
                return with_retry_after(earlier)
            self.lifecycle.set_state(CallState.ADMITTED)
            pause = retries.wait_seconds(attempt, self.ports.clock.uniform())
            with self.lifecycle.running.interruptible():
                await self.ports.clock.sleep(pause)
            attempt += 1

    async def _dispatch(self, worker: WorkerId, attempt: int) -> GenerateFinished | Refused:
        """Send the call to the granted worker unless its circuit is open."""
        clock, retries = self.ports.clock, self.ports.retries
        refused = retries.check_circuit(worker, clock.monotonic())
        self.was_sent = refused is None
        if refused is not None:
            return refused
        if attempt == 1:
            retries.record_first_attempt(self.lifecycle.program.tenant, worker)
        assert self.grant is not None
        end = await self._stream(self.grant)
        retries.record_end(worker, end, clock.monotonic(), clock.uniform)
        return end

    async def _stream(self, grant: Grant) -> GenerateFinished | Refused:
        running = self.lifecycle.running
        self.last_grant = grant
        started_at = self.ports.clock.monotonic()
        self.lifecycle.set_state(CallState.RUNNING)
        running.start(
            CallStarted(
                running.call_id,
                self.lifecycle.program.program_id,
                grant.worker,
                grant.waited_seconds,
                grant.reason,
                self._require_admitted().target,
            )
        )
        remaining_seconds = remaining_wall_seconds(self.lifecycle.program, self.ports.clock.wall())
        events = self.ports.engine.generate(grant.worker, self._generate_request(grant))
        try:
            with running.interruptible():
                async with asyncio.timeout(max(0.0, remaining_seconds)), aclosing(events):  # type: ignore[type-var]
                    async for event in events:
                        if isinstance(event, TokenChunk):
                            self.chunk_tokens += event.tokens
                            running.add_chunk(CallChunk(event.text, event.tool_calls))
                        else:
                            return event
        except TimeoutError:
            detail = "budget: the program's wall time is exhausted"
            return Refused(Reason.BUDGET_EXHAUSTED, RunState.RAN, detail)
        finally:
            self.service_seconds += self.ports.clock.monotonic() - started_at
        return Refused(Reason.BACKEND_FAILED, RunState.UNKNOWN, "the engine's stream ended early")

    def _generate_request(self, grant: Grant) -> GenerateRequest:
        admitted = self._require_admitted()
        parameters = json.loads(admitted.parameters_json) if admitted.parameters_json else {}
        return GenerateRequest(
            call_id=self.lifecycle.running.call_id,
            program_id=self.lifecycle.program.program_id,
            model=ModelName(admitted.target),
            messages=self.messages,
            maximum_tokens=admitted.maximum_tokens,
            priority=grant.priority,
            epoch=grant.epoch,
            parameters=parameters,
            resume_offset=len(self.lifecycle.running.chunks),
            deadline_seconds=max(0.0, self.settings.deadline_seconds - self.service_seconds),
        )

    async def _finish(self, end: GenerateFinished | Refused) -> None:
        self.lifecycle.program.service_seconds += self.service_seconds
        if isinstance(end, Refused):
            await self._fail(end)
            return
        completion = max(end.completion_tokens, self.chunk_tokens)
        final = CallFinished(end.finish_reason, end.prompt_tokens, end.cached_tokens, completion)
        await self.lifecycle.commit_outcome(self._succeeded(final), final)

    async def _fail(self, refused: Refused) -> None:
        """Commit a failure; a call that produced a partial answer counts as `RAN`."""
        if self.chunk_tokens and refused.run_state is not RunState.RAN:
            refused = Refused(
                refused.reason, RunState.RAN, refused.detail, refused.retry_after_seconds
            )
        await self.lifecycle.commit_outcome(
            self.lifecycle.failure_outcome(refused, self._spent_on_failure(refused)), refused
        )

    async def _handle_cancellation(self) -> None:
        """End a call whose caller has disconnected or whose program is being abandoned."""
        self.lifecycle.clear_cancellation()
        running = self.lifecycle.running
        dispatched = self.lifecycle.running.started is not None
        state = RunState.RAN if dispatched else RunState.NOT_RUN
        refused = Refused(
            Reason.CANCELLED, state, f"the call was cancelled: {running.cancel_cause}"
        )
        if self.grant is not None:
            self._settle_grant(refused)
        refused = merge_attempts(refused, earlier_owner_attempt(running.rerun))
        if running.intent_sent:
            await self._fail(refused)
        else:
            self.lifecycle.refuse(refused)

    def _succeeded(self, final: CallFinished) -> CallOutcome:
        chunks = self.lifecycle.running.chunks
        calls = merge_tool_calls(fragment for chunk in chunks for fragment in chunk.tool_calls)
        extra = canonical_json({"tool_calls": calls}) if calls else ""
        text = "".join([chunk.text for chunk in chunks])
        grant = self.last_grant
        return CallOutcome(
            program_id=self.lifecycle.program.program_id,
            call_id=self.lifecycle.running.call_id,
            result=CallOutcome.SUCCEEDED,
            answer=[HistoryMessage(role="assistant", content=text, extra_json=extra)],
            spent=self._spent(final.prompt_tokens + final.completion_tokens).to_record(),
            worker=grant.worker if grant else "",
            prompt_tokens=final.prompt_tokens,
            cached_tokens=final.cached_tokens,
            completion_tokens=final.completion_tokens,
            finish_reason=final.finish_reason,
            chunk_lengths=[len(chunk.text) for chunk in chunks],
            grant_reason=grant.reason if grant else "",
            waited_seconds=grant.waited_seconds if grant else 0.0,
        )

    def _spent(self, tokens: int) -> Amount:
        return Amount(tokens, 1, tokens * self.settings.cost_per_token)

    def _spent_on_failure(self, refused: Refused) -> Amount:
        if refused.run_state is RunState.NOT_RUN:
            return Amount()
        return self._spent(self.prompt_estimate + self.chunk_tokens)

    def _settle_grant(self, end: GenerateFinished | Refused) -> None:
        grant, self.grant = self.grant, None
        if grant is None:
            return
        if isinstance(end, GenerateFinished):
            usage = GrantUsage(
                grant.call_id,
                end.prompt_tokens,
                end.cached_tokens,
                end.completion_tokens,
                failed=False,
            )
        else:
            unused = end.run_state is RunState.NOT_RUN
            failed = end.reason is not Reason.CANCELLED
            usage = GrantUsage(
                grant.call_id,
                0,
                0,
                self.chunk_tokens,
                failed,
                not_run=unused,
                fenced=end.reason is Reason.FENCED,
            )
        self.ports.grants.settle(grant, usage)

    def _settle_admission(self) -> None:
        if self.admission is not None:
            call = self.lifecycle.program.calls.get(self.lifecycle.running.call_id)
            outcome = call.outcome if call is not None else None
            self.ports.limits.settle(self.admission, outcome.spent.tokens if outcome else 0)

    def _require_admitted(self) -> CallAdmitted:
        assert self.admitted is not None
        return self.admitted


def _engine_message(message: HistoryMessage) -> Message:
    """Return a message for the engine; non-text content is among the extra fields."""
    extra = json.loads(message.extra_json) if message.extra_json else {}
    return Message(message.role, message.content, extra)
