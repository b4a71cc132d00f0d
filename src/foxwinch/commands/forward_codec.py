"""Encode and decode forwarded requests and their events as protobuf messages."""

import json
from typing import cast

from foxwinch._generated.forward_pb2 import (
    ForwardAttach,
    ForwardChunk,
    ForwardChunks,
    ForwardCreate,
    ForwardEnd,
    ForwardEvent,
    ForwardFinished,
    ForwardHistory,
    ForwardModelCall,
    ForwardProgram,
    ForwardRefused,
    ForwardRequest,
    ForwardSpawn,
    ForwardStarted,
    ForwardToolCall,
    ForwardToolResult,
)
from foxwinch.commands.requests import (
    AttachRequest,
    CreateRequest,
    EndRequest,
    HistoryRequest,
    ModelCallRequest,
    ProgramRequest,
    SpawnRequest,
    ToolCallRequest,
)
from foxwinch.core.program.budget import Amount
from foxwinch.core.program.call_events import (
    CallChunk,
    CallChunks,
    CallFinished,
    CallStarted,
    ProgramDetails,
    ProgramEvent,
    ToolFinished,
)
from foxwinch.identifiers import CallId, ModelName, ProgramId, TenantName, ToolName, WorkerId
from foxwinch.outcomes import Reason, Refused, RunState


def encode_request(request: ProgramRequest) -> bytes:
    """Encode a request as a `ForwardRequest`."""
    message = ForwardRequest(
        tenant=request.tenant,
        program_id=request.program_id,
        idempotency_key=request.idempotency_key,
    )
    match request:
        case ModelCallRequest():
            message.model_call.CopyFrom(
                ForwardModelCall(
                    model=request.model,
                    messages=request.messages,
                    append=request.append,
                    maximum_tokens=request.maximum_tokens,
                    parameters_json=request.parameters_json,
                    resume_offset=request.resume_offset,
                    single_call=request.single_call,
                )
            )
        case ToolCallRequest():
            message.tool_call.CopyFrom(
                ForwardToolCall(
                    tool=request.tool,
                    arguments_json=request.arguments_json,
                    tool_call_id=request.tool_call_id,
                )
            )
        case CreateRequest():
            message.create.CopyFrom(ForwardCreate(template=request.template))
        case SpawnRequest():
            message.spawn.CopyFrom(ForwardSpawn(template=request.template))
        case EndRequest():
            message.end.CopyFrom(ForwardEnd(abandoned=request.abandoned, reason=request.reason))
        case HistoryRequest():
            message.history.CopyFrom(ForwardHistory())
        case AttachRequest():
            message.attach.CopyFrom(ForwardAttach(call_id=request.call_id, offset=request.offset))
    return message.SerializeToString()


def decode_request(payload: bytes) -> ProgramRequest | None:
    """Decode a request; returns None if this node does not know its kind."""
    message = ForwardRequest.FromString(payload)
    tenant = TenantName(message.tenant)
    program_id = ProgramId(message.program_id)
    key = message.idempotency_key
    match message.WhichOneof("operation"):
        case "model_call":
            return _decode_model_call(message)
        case "tool_call":
            call = message.tool_call
            return ToolCallRequest(
                tenant, program_id, ToolName(call.tool), call.arguments_json, call.tool_call_id, key
            )
        case "create":
            return CreateRequest(tenant, program_id, message.create.template, key)
        case "spawn":
            return SpawnRequest(tenant, program_id, message.spawn.template, key)
        case "end":
            end = message.end
            return EndRequest(tenant, program_id, end.abandoned, end.reason, key)
        case "history":
            return HistoryRequest(tenant, program_id, key)
        case "attach":
            attach = message.attach
            return AttachRequest(tenant, program_id, CallId(attach.call_id), attach.offset, key)
    return None


def _decode_model_call(message: ForwardRequest) -> ModelCallRequest:
    call = message.model_call
    return ModelCallRequest(
        tenant=TenantName(message.tenant),
        program_id=ProgramId(message.program_id),
        model=ModelName(call.model),
        messages=tuple(call.messages),
        append=call.append,
        maximum_tokens=call.maximum_tokens,
        idempotency_key=message.idempotency_key,
        resume_offset=call.resume_offset,
        parameters_json=call.parameters_json,
        single_call=call.single_call,
    )


def encode_event(event: ProgramEvent) -> bytes:
    """Encode an event as a `ForwardEvent`."""
    match event:
        case CallChunks():
            chunks = ForwardChunks(chunks=[_encode_chunk(chunk) for chunk in event.chunks])
            message = ForwardEvent(chunks=chunks)
        case CallStarted():
            message = ForwardEvent(
                started=ForwardStarted(
                    call_id=event.call_id,
                    program_id=event.program_id,
                    worker=event.worker,
                    waited_seconds=event.waited_seconds,
                    reason=event.reason,
                    target=event.target,
                )
            )
        case CallFinished():
            message = ForwardEvent(
                finished=ForwardFinished(
                    finish_reason=event.finish_reason,
                    prompt_tokens=event.prompt_tokens,
                    cached_tokens=event.cached_tokens,
                    completion_tokens=event.completion_tokens,
                )
            )
        case ToolFinished():
            result = ForwardToolResult(call_id=event.call_id, message=event.message)
            message = ForwardEvent(tool_result=result)
        case ProgramDetails():
            message = ForwardEvent(program=_encode_program(event))
        case Refused():
            message = ForwardEvent(refused=_encode_refusal(event))
    return message.SerializeToString()


def decode_event(payload: bytes) -> ProgramEvent | None:
    """Decode an event; returns None if this node does not know its kind."""
    message = ForwardEvent.FromString(payload)
    match message.WhichOneof("event"):
        case "chunks":
            return CallChunks([_decode_chunk(chunk) for chunk in message.chunks.chunks])
        case "started":
            started = message.started
            return CallStarted(
                CallId(started.call_id),
                ProgramId(started.program_id),
                WorkerId(started.worker),
                started.waited_seconds,
                started.reason,
                started.target,
            )
        case "finished":
            end = message.finished
            return CallFinished(
                end.finish_reason, end.prompt_tokens, end.cached_tokens, end.completion_tokens
            )
        case "tool_result":
            result = message.tool_result
            return ToolFinished(CallId(result.call_id), result.message)
        case "program":
            return _decode_program(message.program)
        case "refused":
            return _decode_refusal(message.refused)
    return None


def _encode_chunk(chunk: CallChunk) -> ForwardChunk:
    if not chunk.tool_calls:
        return ForwardChunk(text=chunk.text)
    return ForwardChunk(text=chunk.text, tool_calls_json=json.dumps(chunk.tool_calls))


def _decode_chunk(message: ForwardChunk) -> CallChunk:
    calls = json.loads(message.tool_calls_json) if message.tool_calls_json else ()
    return CallChunk(message.text, tuple(calls))


def _encode_refusal(refused: Refused) -> ForwardRefused:
    return ForwardRefused(
        reason=refused.reason.value,
        run_state=refused.run_state.value,
        detail=refused.detail,
        retry_after_seconds=refused.retry_after_seconds,
    )


def _decode_refusal(message: ForwardRefused) -> Refused:
    """Decode a refusal; values unknown to this version become `INTERNAL` and `UNKNOWN`."""
    known = message.reason in Reason._value2member_map_
    run_state = cast(RunState, RunState._value2member_map_.get(message.run_state, RunState.UNKNOWN))
    retry = message.retry_after_seconds if message.HasField("retry_after_seconds") else None
    reason = Reason(message.reason) if known else Reason.INTERNAL
    return Refused(reason, run_state, message.detail, retry)


def _encode_program(details: ProgramDetails) -> ForwardProgram:
    return ForwardProgram(
        program_id=details.program_id,
        template=details.template,
        state=details.state,
        parent_program_id=details.parent_program_id or "",
        history=details.history,
        spent=details.spent.to_record(),
        budget=details.budget,
    )


def _decode_program(message: ForwardProgram) -> ProgramDetails:
    return ProgramDetails(
        program_id=ProgramId(message.program_id),
        template=message.template,
        state=message.state,
        parent_program_id=ProgramId(message.parent_program_id) or None,
        history=tuple(message.history),
        spent=Amount.from_record(message.spent),
        budget=message.budget,
    )
