"""Run one model call: intent, grant, dispatch, stream, outcome."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import (
    CallAdmitted,
    CallOutcome,
    HistoryMessage,
    JournalRecord,
)
from foxwinch.backends.ports import GenerateFinished, GenerateOrder, GeneratePort, TokenChunk
from foxwinch.commands.requests import ModelCallRequest
from foxwinch.core.program.call_events import CallChunk, CallFinished, CallStarted
from foxwinch.identifiers import CallId, ClassName, ProgramId
from foxwinch.node.interfaces import (
    Clock,
    Grant,
    GrantRequest,
    GrantUsage,
    GrantView,
    JournalView,
    OwnedHere,
    OwnershipView,
)
from foxwinch.outcomes import Reason, Refused, not_run

CallEvent = CallStarted | CallChunk | CallFinished | Refused


@dataclass(frozen=True, slots=True)
class ModelCallPorts:
    """What a model call needs of the node."""

    clock: Clock
    ownership: OwnershipView
    journal: JournalView
    grants: GrantView
    engine: GeneratePort


async def run_model_call(
    ports: ModelCallPorts, request: ModelCallRequest
) -> AsyncIterator[CallEvent]:
    """Run a call of a program that this node owns; the last event is finished or refused."""
    program_id = request.program_id or ProgramId(ports.clock.identifier())
    call_id = CallId(ports.clock.identifier())
    owned = ports.ownership.locate(program_id)
    if isinstance(owned, Refused):
        yield owned
        return
    if not isinstance(owned, OwnedHere):
        yield not_run(Reason.NOT_OWNER, "another node owns the program")
        return
    intent = JournalRecord(call_admitted=_intent(request, program_id, call_id))
    appended = await ports.journal.append(owned.shard, owned.epoch, [intent])
    if isinstance(appended, Refused):
        yield appended
        return
    grant = await ports.grants.acquire(_grant_request(ports, request, program_id, call_id))
    if isinstance(grant, Refused):
        yield grant
        return
    yield CallStarted(call_id, program_id, grant.worker, grant.waited_seconds, grant.reason)
    async for event in _stream(ports, request, program_id, grant, owned):
        yield event


async def _stream(
    ports: ModelCallPorts,
    request: ModelCallRequest,
    program_id: ProgramId,
    grant: Grant,
    owned: OwnedHere,
) -> AsyncIterator[CallEvent]:
    order = GenerateOrder(
        call_id=grant.call_id,
        program_id=program_id,
        model=request.model,
        messages=request.messages,
        maximum_tokens=request.maximum_tokens,
        priority=grant.priority,
        epoch=grant.epoch,
        parameters=request.parameters,
    )
    usage = GrantUsage(grant.call_id, 0, 0, 0, failed=True)
    pieces: list[str] = []
    try:
        async for event in ports.engine.generate(grant.worker, order):
            if isinstance(event, TokenChunk):
                pieces.append(event.text)
                yield CallChunk(event.text, event.tool_calls)
            elif isinstance(event, GenerateFinished):
                usage = _usage(grant, event)
                outcome = _outcome(program_id, grant, "".join(pieces), event)
                committed = await ports.journal.append(owned.shard, owned.epoch, [outcome])
                yield committed if isinstance(committed, Refused) else _finished(event)
            else:
                yield event
    finally:
        ports.grants.settle(grant, usage)


def _intent(request: ModelCallRequest, program_id: ProgramId, call_id: CallId) -> CallAdmitted:
    return CallAdmitted(
        program_id=program_id,
        call_id=call_id,
        kind=CallAdmitted.MODEL,
        target=request.model,
        repeatable=True,
        appended=[HistoryMessage(role=m.role, content=m.content) for m in request.messages],
    )


def _grant_request(
    ports: ModelCallPorts, request: ModelCallRequest, program_id: ProgramId, call_id: CallId
) -> GrantRequest:
    return GrantRequest(
        call_id=call_id,
        program_id=program_id,
        tenant=request.tenant,
        class_name=ClassName("default"),
        model=request.model,
        prompt_tokens=sum(len(m.content) for m in request.messages) // 4,
        output_tokens=request.maximum_tokens,
        prefix_hashes=(),
        service_seconds=0.0,
        deadline_at_seconds=ports.clock.monotonic() + 60.0,
    )


def _usage(grant: Grant, event: GenerateFinished) -> GrantUsage:
    return GrantUsage(
        grant.call_id,
        event.prompt_tokens,
        event.cached_tokens,
        event.completion_tokens,
        failed=False,
    )


def _outcome(
    program_id: ProgramId, grant: Grant, text: str, event: GenerateFinished
) -> JournalRecord:
    return JournalRecord(
        call_outcome=CallOutcome(
            program_id=program_id,
            call_id=grant.call_id,
            result=CallOutcome.SUCCEEDED,
            answer=[HistoryMessage(role="assistant", content=text)],
            worker=grant.worker,
            prompt_tokens=event.prompt_tokens,
            cached_tokens=event.cached_tokens,
            completion_tokens=event.completion_tokens,
            finish_reason=event.finish_reason,
        )
    )


def _finished(event: GenerateFinished) -> CallFinished:
    return CallFinished(
        event.finish_reason, event.prompt_tokens, event.cached_tokens, event.completion_tokens
    )
