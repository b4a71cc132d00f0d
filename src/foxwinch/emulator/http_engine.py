"""Emulated engines over HTTP: many workers in one process, distinguished by the URL path."""

import json
from contextlib import aclosing
from dataclasses import asdict

from aiohttp import web
from pydantic import ValidationError

from foxwinch.backends.engine_http import (
    HEADER_CALL,
    HEADER_EPOCH,
    HEADER_PRIORITY,
    HEADER_PROGRAM,
    HEADER_RESUME_OFFSET,
    OrderDocument,
    ReleaseDocument,
)
from foxwinch.backends.engine_load import encode_load
from foxwinch.backends.ports import (
    Completed,
    GenerateFinished,
    GenerateRequest,
    Message,
    ModelOrder,
    TokenChunk,
)
from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.engine_worker import EngineWorker
from foxwinch.emulator.faults import ResponseOutcome
from foxwinch.emulator.http_faults import abort_connection, check_gate, refusal_response, respond
from foxwinch.identifiers import CallId, Epoch, ModelName, ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, RunState, not_run

WORKER = "/workers/{worker}"
DONE_FRAME = b"data: [DONE]\n\n"
STREAM_HEADERS = {"Content-Type": "text/event-stream"}
NO_SUCH_WORKER = not_run(Reason.NOT_FOUND, "no such worker")


class EngineHandlers:
    """HTTP handlers of the engines."""

    def __init__(self, emulated_services: EmulatedServices) -> None:
        """Serve the engines of `emulated_services`."""
        self._engines = emulated_services.engines

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers."""
        router.add_post(f"{WORKER}/v1/chat/completions", self.complete)
        router.add_post(f"{WORKER}/calls/{{call}}/cancel", self.cancel)
        router.add_post(f"{WORKER}/programs/{{program}}/release", self.release)
        router.add_post(f"{WORKER}/programs/release", self.release_several)
        router.add_get(f"{WORKER}/metrics", self.metrics)
        router.add_get(f"{WORKER}/cache/events", self.cache_events)
        router.add_get(f"{WORKER}/cache/programs/{{program}}", self.export_cache)
        router.add_put(f"{WORKER}/cache/programs/{{program}}", self.import_cache)
        router.add_post(f"{WORKER}/orders", self.apply_order)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Stream a response to a chat completion."""
        body = await request.read()
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        try:
            generate_request = _parse_generate_request(request, body)
        except (ValueError, KeyError, TypeError, AttributeError):
            return refusal_response(
                not_run(Reason.INVALID_REQUEST, "the body is not a chat completion request")
            )
        outcome = await engine.gate.leave()
        if outcome is ResponseOutcome.DELIVERED:
            return await _stream(request, engine, generate_request)
        async for _ in engine.generate(generate_request):
            pass
        if outcome is ResponseOutcome.LOST:
            return abort_connection(request)
        return web.Response(body=b"data: {malformed\n\n", headers=STREAM_HEADERS)

    async def cancel(self, request: web.Request) -> web.StreamResponse:
        """Cancel a call."""
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        return await _respond_completed(
            request, engine, engine.cancel(CallId(request.match_info["call"]))
        )

    async def release(self, request: web.Request) -> web.StreamResponse:
        """Free a program's cache."""
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        return await _respond_completed(request, engine, engine.release(_program_id(request)))

    async def release_several(self, request: web.Request) -> web.StreamResponse:
        """Free the cache of several programs."""
        body = await request.read()
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        try:
            document = ReleaseDocument.model_validate_json(body)
        except ValidationError:
            return refusal_response(
                not_run(Reason.INVALID_REQUEST, "the body is not a list of programs")
            )
        for program in document.programs:
            engine.release(ProgramId(program))
        return await _respond_completed(request, engine, Completed())

    async def metrics(self, request: web.Request) -> web.StreamResponse:
        """Return the load report, delayed by the faults' lag."""
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        return await respond(request, engine.gate, web.Response(text=encode_load(engine.load())))

    async def cache_events(self, request: web.Request) -> web.StreamResponse:
        """Return cache events."""
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        try:
            after = int(request.query["after"])
        except (KeyError, ValueError):
            return refusal_response(not_run(Reason.INVALID_REQUEST, "`after` must be a number"))
        page = engine.cache_events(after)
        return await respond(request, engine.gate, web.json_response(asdict(page)))

    async def export_cache(self, request: web.Request) -> web.StreamResponse:
        """Export a program's cache."""
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        data = await engine.export_cache(_program_id(request))
        if isinstance(data, Refused):
            return refusal_response(data)
        return await respond(request, engine.gate, web.Response(body=data))

    async def import_cache(self, request: web.Request) -> web.StreamResponse:
        """Import a program's cache."""
        data = await request.read()
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        return await _respond_completed(
            request, engine, await engine.import_cache(_program_id(request), data)
        )

    async def apply_order(self, request: web.Request) -> web.StreamResponse:
        """Execute a fenced order."""
        body = await request.read()
        engine = await self._enter(request)
        if isinstance(engine, web.Response):
            return engine
        try:
            document = OrderDocument.model_validate_json(body)
        except ValidationError:
            return refusal_response(not_run(Reason.INVALID_REQUEST, "the body is not an order"))
        order = ModelOrder(
            document.token,
            Epoch(document.epoch),
            document.kind,
            ModelName(document.model),
            document.value,
        )
        return await _respond_completed(request, engine, await engine.apply_order(order))

    async def _enter(self, request: web.Request) -> EngineWorker | web.Response:
        """Return the requested engine, or its refusal of the request."""
        engine = self._engines.get(WorkerId(request.match_info["worker"]))
        if engine is None:
            return refusal_response(NO_SUCH_WORKER)
        return await check_gate(engine.gate) or engine


async def _respond_completed(
    request: web.Request, engine: EngineWorker, outcome: Completed | Refused
) -> web.StreamResponse:
    if isinstance(outcome, Refused):
        return refusal_response(outcome)
    return await respond(request, engine.gate, web.Response(status=204))


async def _stream(
    request: web.Request, engine: EngineWorker, generate_request: GenerateRequest
) -> web.StreamResponse:
    response = web.StreamResponse(headers=STREAM_HEADERS)
    model = json.dumps(generate_request.model)
    async with aclosing(engine.generate(generate_request)) as events:
        async for event in events:
            if isinstance(event, Refused):
                if not response.prepared:
                    return refusal_response(event)
                if event.run_state is RunState.UNKNOWN:
                    return abort_connection(request)
                await response.write(_error_frame(event))
                return response
            if not response.prepared:
                await response.prepare(request)
            frame = (
                _chunk_frame(model, event)
                if isinstance(event, TokenChunk)
                else _final_frames(model, event)
            )
            await response.write(frame)
    return response


def _chunk_frame(model: str, chunk: TokenChunk) -> bytes:
    text = json.dumps(chunk.text)
    return (
        f'data: {{"object": "chat.completion.chunk", "model": {model}, "choices": '
        f'[{{"index": 0, "delta": {{"content": {text}}}, "finish_reason": null}}]}}\n\n'
    ).encode()


def _final_frames(model: str, finished: GenerateFinished) -> bytes:
    usage = {
        "prompt_tokens": finished.prompt_tokens,
        "completion_tokens": finished.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": finished.cached_tokens},
    }
    reason = json.dumps(finished.finish_reason)
    last = (
        f'data: {{"object": "chat.completion.chunk", "model": {model}, "choices": '
        f'[{{"index": 0, "delta": {{}}, "finish_reason": {reason}}}]}}\n\n'
        f'data: {{"object": "chat.completion.chunk", "model": {model}, "choices": [], '
        f'"usage": {json.dumps(usage)}}}\n\n'
    )
    return last.encode() + DONE_FRAME


def _error_frame(refused: Refused) -> bytes:
    error = {
        "message": refused.detail,
        "code": refused.reason.value,
        "run_state": refused.run_state.value,
    }
    return b"data: " + json.dumps({"error": error}).encode() + b"\n\n"


def _parse_generate_request(request: web.Request, body: bytes) -> GenerateRequest:
    document = json.loads(body)
    headers = request.headers
    messages = tuple(
        Message(str(m["role"]), str(m.get("content") or "")) for m in document["messages"]
    )
    return GenerateRequest(
        call_id=CallId(headers[HEADER_CALL]),
        program_id=ProgramId(headers[HEADER_PROGRAM]),
        model=ModelName(document["model"]),
        messages=messages,
        maximum_tokens=int(document["max_tokens"]),
        priority=int(headers[HEADER_PRIORITY]),
        epoch=Epoch(int(headers[HEADER_EPOCH])),
        resume_offset=int(headers[HEADER_RESUME_OFFSET]),
    )


def _program_id(request: web.Request) -> ProgramId:
    return ProgramId(request.match_info["program"])
