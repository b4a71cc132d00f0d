"""Run one model call: grant, intent, dispatch, stream, outcome.

The grant comes before the intent, so that a call that finds no worker is refused without a trace
in the journal. A stream that breaks is resumed behind the chunks that were already sent, on the
worker that the coordinators grant next.
"""

import asyncio
import json
from contextlib import aclosing
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import CallAdmitted, CallOutcome, HistoryMessage
from foxwinch.backends.ports import GenerateFinished, GenerateRequest, Message, TokenChunk
from foxwinch.commands.attempts import before_first, with_earlier
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.call_retries import come_back
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
"""Dispatches of one model call, the first included: a zone that returns must not meet a storm."""
RETRIED_REASONS = frozenset({Reason.BACKEND_UNAVAILABLE, Reason.BACKEND_FAILED, Reason.FENCED})


@dataclass(frozen=True, slots=True)
class CallTerms:
    """What the configuration says of a call."""

    class_name: ClassName
    deadline_seconds: float
    cost_per_token: float


@dataclass(slots=True)
class ModelCallDriver:
    """Drives one model call; see the module."""

    ports: ProgramPorts
    life: CallLifecycle
    terms: CallTerms
    admitted: CallAdmitted | None = None
    """Given when the call is run again after a takeover."""
    messages: tuple[Message, ...] = ()
    prompt_estimate: int = 0
    prefix_hashes: tuple[int, ...] = ()
    chunk_tokens: int = 0
    service_seconds: float = 0.0
    grant: Grant | None = None
    last_grant: Grant | None = None
    share: Admitted | None = None
    sent: bool = False
    """False when the last attempt was kept back by the worker's circuit."""

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
            self._settle_share()
            self.life.close()

    async def _prepare(self, intent: CallIntent) -> bool:
        """Go through turn, start, limits, grant and intent; False when the call has ended."""
        await self.life.wait_turn()
        admitted = self.life.start(intent)
        if isinstance(admitted, Refused):
            self.life.refuse(admitted)
            return False
        self.admitted = admitted
        self._read_prompt()
        estimate = self.prompt_estimate + admitted.maximum_tokens
        tenant = self.life.program.tenant
        share = self.ports.limits.admit(tenant, self.terms.class_name, estimate)
        if isinstance(share, Refused):
            self.life.refuse(share)
            return False
        self.share = share
        grant = await self._acquire()
        if isinstance(grant, Refused):
            self.life.refuse(grant)
            return False
        self.grant = grant
        if await self.life.commit_intent():
            return True
        self._settle_grant(not_run(Reason.STORE_UNAVAILABLE, "the intent was not stored"))
        return False

    async def _acquire(self) -> Grant | Refused:
        admitted = self._held_admitted()
        program = self.life.program
        self._read_prompt()
        now = self.ports.clock.monotonic()
        wall = remaining_wall_seconds(program, self.ports.clock.wall())
        request = GrantRequest(
            call_id=self.life.running.call_id,
            program_id=program.program_id,
            tenant=program.tenant,
            class_name=self.terms.class_name,
            model=ModelName(admitted.target),
            prompt_tokens=self.prompt_estimate,
            output_tokens=admitted.maximum_tokens,
            prefix_hashes=self.prefix_hashes,
            service_seconds=program.service_seconds,
            deadline_at_seconds=now + min(self.terms.deadline_seconds, wall),
            repeatable=admitted.repeatable,
        )
        with self.life.running.interruptible():
            grant = await self.ports.grants.acquire(request)
        if isinstance(grant, Grant):
            self.life.step(CallState.GRANTED)
        return grant

    def _read_prompt(self) -> None:
        """Prepare what does not change between attempts."""
        if self.messages:
            return
        prompt = [*self.life.program.history, *self._held_admitted().appended]
        self.messages = tuple(_engine_message(m) for m in prompt)
        rendered = render_prompt(PromptMessage(m.role, m.content) for m in prompt)
        self.prompt_estimate = count_tokens(rendered)
        self.prefix_hashes = block_hashes(rendered)

    async def _attempts(self) -> GenerateFinished | Refused:
        """Dispatch, and retry within the bound."""
        attempt = 1
        retries = self.ports.retries
        earlier = before_first(self.life.running.rerun)
        while True:
            if self.grant is None:
                grant = await self._acquire()
                if isinstance(grant, Refused):
                    return with_earlier(grant, earlier)
                self.grant = grant
            worker = self.grant.worker
            end = await self._dispatch(worker, attempt)
            self._settle_grant(end)
            if isinstance(end, GenerateFinished):
                return end
            earlier = with_earlier(end, earlier)
            if end.reason not in RETRIED_REASONS or attempt >= MAX_ATTEMPTS:
                return earlier
            if not retries.may_repeat(self.life.program.tenant, worker, end, self.sent):
                return come_back(earlier)
            self.life.step(CallState.ADMITTED)
            pause = retries.wait_seconds(attempt, self.ports.clock.uniform())
            with self.life.running.interruptible():
                await self.ports.clock.sleep(pause)
            attempt += 1

    async def _dispatch(self, worker: WorkerId, attempt: int) -> GenerateFinished | Refused:
        """Send the call to the granted worker, unless its circuit is open."""
        clock, retries = self.ports.clock, self.ports.retries
        refused = retries.refuse_dispatch(worker, clock.monotonic())
        self.sent = refused is None
        if refused is not None:
            return refused
        if attempt == 1:
            retries.first_attempt(self.life.program.tenant, worker)
        assert self.grant is not None
        end = await self._stream(self.grant)
        retries.ended(worker, end, clock.monotonic(), clock.uniform)
        return end

    async def _stream(self, grant: Grant) -> GenerateFinished | Refused:
        running = self.life.running
        self.last_grant = grant
        started_at = self.ports.clock.monotonic()
        self.life.step(CallState.RUNNING)
        running.start(
            CallStarted(
                running.call_id,
                self.life.program.program_id,
                grant.worker,
                grant.waited_seconds,
                grant.reason,
                self._held_admitted().target,
            )
        )
        wall = remaining_wall_seconds(self.life.program, self.ports.clock.wall())
        events = self.ports.engine.generate(grant.worker, self._order(grant))
        try:
            with running.interruptible():
                async with asyncio.timeout(max(0.0, wall)), aclosing(events):  # type: ignore[type-var]
                    async for event in events:
                        if isinstance(event, TokenChunk):
                            self.chunk_tokens += event.tokens
                            running.add(CallChunk(event.text, event.tool_calls))
                        else:
                            return event
        except TimeoutError:
            detail = "budget: the program's wall time is used up"
            return Refused(Reason.BUDGET_EXHAUSTED, RunState.RAN, detail)
        finally:
            self.service_seconds += self.ports.clock.monotonic() - started_at
        return Refused(Reason.BACKEND_FAILED, RunState.UNKNOWN, "the stream ended early")

    def _order(self, grant: Grant) -> GenerateRequest:
        admitted = self._held_admitted()
        parameters = json.loads(admitted.parameters_json) if admitted.parameters_json else {}
        return GenerateRequest(
            call_id=self.life.running.call_id,
            program_id=self.life.program.program_id,
            model=ModelName(admitted.target),
            messages=self.messages,
            maximum_tokens=admitted.maximum_tokens,
            priority=grant.priority,
            epoch=grant.epoch,
            parameters=parameters,
            resume_offset=len(self.life.running.chunks),
            deadline_seconds=max(0.0, self.terms.deadline_seconds - self.service_seconds),
        )

    async def _finish(self, end: GenerateFinished | Refused) -> None:
        self.life.program.service_seconds += self.service_seconds
        if isinstance(end, Refused):
            await self._fail(end)
            return
        completion = max(end.completion_tokens, self.chunk_tokens)
        final = CallFinished(end.finish_reason, end.prompt_tokens, end.cached_tokens, completion)
        await self.life.commit_outcome(self._succeeded(final), final)

    async def _fail(self, refused: Refused) -> None:
        """Record a failure; a call that gave a part of its answer certainly ran."""
        if self.chunk_tokens and refused.run_state is not RunState.RAN:
            refused = Refused(
                refused.reason, RunState.RAN, refused.detail, refused.retry_after_seconds
            )
        await self.life.commit_outcome(
            self.life.failed(refused, self._partly_spent(refused)), refused
        )

    async def _cancelled(self) -> None:
        """End a call whose caller has gone or whose program is being abandoned."""
        self.life.forgive_cancellation()
        running = self.life.running
        dispatched = self.life.running.started is not None
        state = RunState.RAN if dispatched else RunState.NOT_RUN
        refused = Refused(
            Reason.CANCELLED, state, f"the call was cancelled: {running.cancel_cause}"
        )
        if self.grant is not None:
            self._settle_grant(refused)
        refused = with_earlier(refused, before_first(running.rerun))
        if running.intent_sent:
            await self._fail(refused)
        else:
            self.life.refuse(refused)

    def _succeeded(self, final: CallFinished) -> CallOutcome:
        chunks = self.life.running.chunks
        calls = merge_tool_calls(piece for chunk in chunks for piece in chunk.tool_calls)
        extra = canonical_json({"tool_calls": calls}) if calls else ""
        text = "".join([chunk.text for chunk in chunks])
        grant = self.last_grant
        return CallOutcome(
            program_id=self.life.program.program_id,
            call_id=self.life.running.call_id,
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
        return Amount(tokens, 1, tokens * self.terms.cost_per_token)

    def _partly_spent(self, refused: Refused) -> Amount:
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

    def _settle_share(self) -> None:
        if self.share is not None:
            call = self.life.program.calls.get(self.life.running.call_id)
            outcome = call.outcome if call is not None else None
            self.ports.limits.settle(self.share, outcome.spent.tokens if outcome else 0)

    def _held_admitted(self) -> CallAdmitted:
        assert self.admitted is not None
        return self.admitted


def _engine_message(message: HistoryMessage) -> Message:
    """Return a message for the engine; content that is not text comes with the further fields."""
    extra = json.loads(message.extra_json) if message.extra_json else {}
    return Message(message.role, message.content, extra)
