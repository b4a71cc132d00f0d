"""The OpenAI-compatible endpoints `/v1/chat/completions` and `/v1/models`."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from aiohttp import web

from foxwinch.clock import Clock
from foxwinch.commands.requests import ModelCallRequest, ProgramRequest
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.core.program.identity import (
    scoped_program_id,
    single_call_name,
    single_call_name_for_key,
)
from foxwinch.gateway.authentication import Authenticator, Caller
from foxwinch.gateway.errors import error_response
from foxwinch.gateway.headers import (
    OFFSET_HEADER,
    append_flag,
    idempotency_key,
    parse_offset,
    program_name,
)
from foxwinch.gateway.request_body import ChatBody, check_chat_body, read_json
from foxwinch.gateway.respond import respond_json, respond_stream
from foxwinch.identifiers import ModelName, ProgramId
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.settings.process import CallerLimits

MODEL_NOT_FOUND = not_run(Reason.NOT_FOUND, "the model is not known")
Execute = Callable[[ProgramRequest], AsyncIterator[ProgramEvent]]


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """Dependencies shared by the request handlers."""

    authenticator: Authenticator
    execute: Execute
    clock: Clock
    limits: CallerLimits
    new_program_name: Callable[[str], str]
    """Returns a new unique name for a tenant's program, served by this node if possible."""

    def authenticate(self, request: web.Request) -> Caller | Refused:
        """Authenticate a request."""
        return self.authenticator.authenticate(request.headers.get("Authorization"))


class ChatHandlers:
    """Handlers of the chat-completions API."""

    def __init__(self, context: GatewayContext) -> None:
        """Handle requests with the shared `context`."""
        self._context = context

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers with `router`."""
        router.add_post("/v1/chat/completions", self.complete)
        router.add_get("/v1/models", self.models)
        router.add_get("/v1/models/{model}", self.model)

    async def models(self, request: web.Request) -> web.StreamResponse:
        """List the models of the configuration."""
        caller = self._context.authenticate(request)
        if isinstance(caller, Refused):
            return error_response(caller)
        data = [_model_document(model.name) for model in caller.document.models]
        return web.json_response({"object": "list", "data": data})

    async def model(self, request: web.Request) -> web.StreamResponse:
        """Describe one model."""
        caller = self._context.authenticate(request)
        if isinstance(caller, Refused):
            return error_response(caller)
        name = request.match_info["model"]
        if name not in {model.name for model in caller.document.models}:
            return error_response(MODEL_NOT_FOUND)
        return web.json_response(_model_document(name))

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Run a model call of the program named by the header, or of a new single-call program."""
        caller = self._context.authenticate(request)
        if isinstance(caller, Refused):
            return error_response(caller)
        name = program_name(request)
        if isinstance(name, Refused):
            return error_response(name)
        return await run_chat(self._context, request, caller, name, append=False)


async def run_chat(
    context: GatewayContext, request: web.Request, caller: Caller, name: str, append: bool
) -> web.StreamResponse:
    """Run a model call whose body has the chat-completions format.

    `append` is the default for a request without the append header: whether `messages` follow the
    program's history.
    """
    body = await read_json(request, context.limits)
    if isinstance(body, Refused):
        return error_response(body)
    chat = check_chat_body(body, may_be_empty=append)
    if isinstance(chat, Refused):
        return error_response(chat)
    call = _model_call(context, request, caller, name, chat, append)
    if isinstance(call, Refused):
        return error_response(call)
    events = context.execute(call)
    created = int(context.clock.wall())
    if chat.stream:
        from_start = call.resume_offset == 0
        return await respond_stream(request, events, created, chat.include_usage, from_start)
    return await respond_json(events, created)


def _model_call(
    context: GatewayContext,
    request: web.Request,
    caller: Caller,
    name: str,
    chat: ChatBody,
    append: bool,
) -> ModelCallRequest | Refused:
    key = idempotency_key(request)
    if isinstance(key, Refused):
        return key
    appended = append_flag(request, append)
    if isinstance(appended, Refused):
        return appended
    resume_offset = parse_offset(OFFSET_HEADER, request.headers.get(OFFSET_HEADER, "0"))
    if isinstance(resume_offset, Refused):
        return resume_offset
    return ModelCallRequest(
        tenant=caller.tenant,
        program_id=_program_id(context, caller, name, key),
        model=ModelName(chat.model),
        messages=chat.messages,
        append=appended,
        maximum_tokens=chat.maximum_tokens,
        idempotency_key=key,
        resume_offset=resume_offset if chat.stream else 0,
        parameters_json=chat.parameters_json,
        single_call=not name,
    )


def _program_id(context: GatewayContext, caller: Caller, name: str, key: str) -> ProgramId:
    if name:
        return scoped_program_id(caller.tenant, name)
    if key:
        return scoped_program_id(caller.tenant, single_call_name_for_key(key))
    return scoped_program_id(
        caller.tenant, single_call_name(context.new_program_name(caller.tenant))
    )


def _model_document(name: str) -> dict[str, object]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "foxwinch"}
