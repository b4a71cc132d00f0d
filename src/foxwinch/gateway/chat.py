"""`/v1/chat/completions` and `/v1/models` in the widely used shapes."""

import json
from collections.abc import AsyncIterator, Callable
from typing import Any

from aiohttp import web

from foxwinch.backends.ports import Message
from foxwinch.commands.model_call import CallEvent
from foxwinch.commands.requests import ModelCallRequest
from foxwinch.core.program.call_events import CallChunk, CallFinished, CallStarted
from foxwinch.gateway.authentication import authenticate
from foxwinch.gateway.errors import error_document, error_response
from foxwinch.identifiers import ModelName, ProgramId, TenantName
from foxwinch.node.interfaces import ConfigurationView
from foxwinch.outcomes import Reason, Refused, not_run

PROGRAM_HEADER = "X-Foxwinch-Program"
IDEMPOTENCY_HEADER = "Idempotency-Key"
DEFAULT_MAXIMUM_TOKENS = 1_024
RunModelCall = Callable[[ModelCallRequest], AsyncIterator[CallEvent]]
PASSED_THROUGH = ("temperature", "top_p", "stop", "seed", "tools", "tool_choice", "response_format")


class ChatHandlers:
    """Handlers of the chat-completions shape."""

    def __init__(self, configuration: ConfigurationView, run_model_call: RunModelCall) -> None:
        """Serve calls by `run_model_call` under the configuration in force."""
        self._configuration = configuration
        self._run_model_call = run_model_call

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers."""
        router.add_post("/v1/chat/completions", self.complete)
        router.add_get("/v1/models", self.models)

    async def models(self, request: web.Request) -> web.StreamResponse:
        """List the models of the configuration."""
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return error_response(snapshot)
        tenant = authenticate(request.headers.get("Authorization"), snapshot.document)
        if isinstance(tenant, Refused):
            return error_response(tenant)
        data = [
            {"id": model.name, "object": "model", "created": 0, "owned_by": "foxwinch"}
            for model in snapshot.document.models
        ]
        return web.json_response({"object": "list", "data": data})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Run a model call, streamed or whole."""
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return error_response(snapshot)
        tenant = authenticate(request.headers.get("Authorization"), snapshot.document)
        if isinstance(tenant, Refused):
            return error_response(tenant)
        try:
            body = json.loads(await request.read())
        except ValueError:
            return error_response(not_run(Reason.INVALID_REQUEST, "the body is not valid JSON"))
        call = _parse(tenant, request, body)
        if isinstance(call, Refused):
            return error_response(call)
        events = self._run_model_call(call)
        if body.get("stream"):
            return await _stream(request, call, events, _wants_usage(body))
        return await _whole(call, events)


def _parse(
    tenant: TenantName, request: web.Request, body: dict[str, Any]
) -> ModelCallRequest | Refused:
    try:
        messages = tuple(
            Message(
                m["role"],
                m.get("content") or "",
                {k: v for k, v in m.items() if k not in ("role", "content")},
            )
            for m in body["messages"]
        )
        model = ModelName(body["model"])
    except (KeyError, TypeError, AttributeError):
        return not_run(Reason.INVALID_REQUEST, "model and messages are required")
    program = request.headers.get(PROGRAM_HEADER)
    return ModelCallRequest(
        tenant=tenant,
        program_id=ProgramId(program) if program else None,
        model=model,
        messages=messages,
        append=False,
        maximum_tokens=body.get("max_completion_tokens")
        or body.get("max_tokens")
        or DEFAULT_MAXIMUM_TOKENS,
        idempotency_key=request.headers.get(IDEMPOTENCY_HEADER),
        parameters={name: body[name] for name in PASSED_THROUGH if name in body},
    )


def _wants_usage(body: dict[str, Any]) -> bool:
    options = body.get("stream_options")
    return isinstance(options, dict) and bool(options.get("include_usage"))


async def _stream(
    request: web.Request,
    call: ModelCallRequest,
    events: AsyncIterator[CallEvent],
    wants_usage: bool,
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    started = CallStarted
    call_id = ""
    async for event in events:
        if isinstance(event, Refused):
            if not response.prepared:
                return error_response(event)
            await response.write(_frame(error_document(event)))
            return response
        if isinstance(event, started):
            call_id = event.call_id
            response.headers[PROGRAM_HEADER] = event.program_id
            response.headers["X-Foxwinch-Worker"] = event.worker
            await response.prepare(request)
        elif isinstance(event, CallChunk):
            delta = {"role": "assistant", "content": event.text}
            await response.write(_frame(_chunk(call_id, call.model, delta, None)))
        else:
            await response.write(_frame(_chunk(call_id, call.model, {}, event.finish_reason)))
            if wants_usage:
                tail = {**_chunk(call_id, call.model, {}, None), "choices": []}
                await response.write(_frame({**tail, "usage": _usage(event)}))
    await response.write(b"data: [DONE]\n\n")
    return response


async def _whole(call: ModelCallRequest, events: AsyncIterator[CallEvent]) -> web.StreamResponse:
    pieces: list[str] = []
    call_id = ""
    headers: dict[str, str] = {}
    async for event in events:
        if isinstance(event, Refused):
            return error_response(event)
        if isinstance(event, CallStarted):
            call_id = event.call_id
            headers = {PROGRAM_HEADER: event.program_id, "X-Foxwinch-Worker": event.worker}
        elif isinstance(event, CallChunk):
            pieces.append(event.text)
        else:
            message = {"role": "assistant", "content": "".join(pieces)}
            choice = {"index": 0, "message": message, "finish_reason": event.finish_reason}
            document = {
                "id": f"chatcmpl-{call_id}",
                "object": "chat.completion",
                "created": 0,
                "model": call.model,
                "choices": [choice],
                "usage": _usage(event),
            }
            return web.json_response(document, headers=headers)
    raise AssertionError("a call's events end with finished or refused")


def _chunk(
    call_id: str, model: str, delta: dict[str, str], finish_reason: str | None
) -> dict[str, Any]:
    return {
        "id": f"chatcmpl-{call_id}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }


def _usage(event: CallFinished) -> dict[str, Any]:
    return {
        "prompt_tokens": event.prompt_tokens,
        "completion_tokens": event.completion_tokens,
        "total_tokens": event.prompt_tokens + event.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": event.cached_tokens},
    }


def _frame(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"
