"""The program API under `/v1/programs`."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from aiohttp import web

from foxwinch.commands.requests import (
    AttachRequest,
    CreateRequest,
    EndRequest,
    HistoryRequest,
    SpawnRequest,
    ToolCallRequest,
)
from foxwinch.core.program.call_events import ProgramDetails, ProgramEvent, ToolFinished
from foxwinch.core.program.history import canonical_json, from_history
from foxwinch.core.program.identity import (
    NAME_PATTERN,
    NAME_RULE,
    SINGLE_CALL_PREFIX,
    program_name_for_key,
    scoped_program_id,
)
from foxwinch.gateway.authentication import Caller
from foxwinch.gateway.chat import GatewayContext, run_chat
from foxwinch.gateway.errors import error_response, invalid_field
from foxwinch.gateway.headers import check_name, idempotency_key, parse_offset
from foxwinch.gateway.request_body import read_json, text_field
from foxwinch.gateway.respond import (
    final_event,
    program_document,
    respond_stream,
    tool_document,
)
from foxwinch.identifiers import CallId, ProgramId, ToolName
from foxwinch.outcomes import Refused

PROGRAMS_PATH = "/v1/programs"
PROGRAM_PATH = PROGRAMS_PATH + "/{program}"
Handler = Callable[[web.Request, Caller, str], Awaitable[web.StreamResponse]]


class ProgramHandlers:
    """Handlers of the program API."""

    def __init__(self, context: GatewayContext) -> None:
        """Handle requests with the shared `context`."""
        self._context = context

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers with `router`."""
        router.add_post(PROGRAMS_PATH, self.create)
        router.add_get(PROGRAM_PATH, self._with_program(self._show))
        router.add_get(PROGRAM_PATH + "/history", self._with_program(self._history))
        router.add_post(PROGRAM_PATH + "/calls", self._with_program(self._call))
        router.add_post(PROGRAM_PATH + "/tools", self._with_program(self._tool))
        router.add_post(PROGRAM_PATH + "/spawn", self._with_program(self._spawn))
        router.add_post(PROGRAM_PATH + "/finish", self._with_program(self._finish))
        router.add_post(PROGRAM_PATH + "/abandon", self._with_program(self._abandon))
        router.add_get(PROGRAM_PATH + "/calls/{call}/stream", self._with_program(self._stream))

    async def create(self, request: web.Request) -> web.StreamResponse:
        """Create a program from a template."""
        caller = self._context.authenticate(request)
        if isinstance(caller, Refused):
            return error_response(caller)
        body = await read_json(request, self._context.limits)
        if isinstance(body, Refused):
            return error_response(body)
        template = text_field(body, "template", required=True)
        if isinstance(template, Refused):
            return error_response(template)
        key = idempotency_key(request)
        if isinstance(key, Refused):
            return error_response(key)
        name = self._new_name(caller, body, key)
        if isinstance(name, Refused):
            return error_response(name)
        program_request = CreateRequest(
            caller.tenant, scoped_program_id(caller.tenant, name), template, key
        )
        return _program_response(await self._final_event(program_request), HTTPStatus.CREATED)

    def _with_program(
        self, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Wrap a handler with authentication and validation of the program name."""

        async def handle(request: web.Request) -> web.StreamResponse:
            caller = self._context.authenticate(request)
            if isinstance(caller, Refused):
                return error_response(caller)
            name = check_name("program", request.match_info["program"])
            if isinstance(name, Refused):
                return error_response(name)
            return await handler(request, caller, name)

        return handle

    async def _show(self, request: web.Request, caller: Caller, name: str) -> web.StreamResponse:
        return _program_response(await self._final_event(_history_request(caller, name)))

    async def _history(self, request: web.Request, caller: Caller, name: str) -> web.StreamResponse:
        details = await self._final_event(_history_request(caller, name))
        if not isinstance(details, ProgramDetails):
            return _refusal_response(details)
        messages = [from_history(message) for message in details.history]
        return web.json_response({"object": "history", "id": name, "messages": messages})

    async def _call(self, request: web.Request, caller: Caller, name: str) -> web.StreamResponse:
        return await run_chat(self._context, request, caller, name, append=True)

    async def _tool(self, request: web.Request, caller: Caller, name: str) -> web.StreamResponse:
        body = await read_json(request, self._context.limits)
        if isinstance(body, Refused):
            return error_response(body)
        program_request = _tool_call(request, caller, name, body)
        if isinstance(program_request, Refused):
            return error_response(program_request)
        final = await self._final_event(program_request)
        if not isinstance(final, ToolFinished):
            return _refusal_response(final)
        return web.json_response(tool_document(final))

    async def _spawn(self, request: web.Request, caller: Caller, name: str) -> web.StreamResponse:
        body = await read_json(request, self._context.limits)
        if isinstance(body, Refused):
            return error_response(body)
        template = text_field(body, "template", required=False)
        if isinstance(template, Refused):
            return error_response(template)
        key = idempotency_key(request)
        if isinstance(key, Refused):
            return error_response(key)
        program_request = SpawnRequest(
            caller.tenant, scoped_program_id(caller.tenant, name), template, key
        )
        return _program_response(await self._final_event(program_request), HTTPStatus.CREATED)

    async def _finish(self, request: web.Request, caller: Caller, name: str) -> web.StreamResponse:
        return await self._end(request, caller, name, abandoned=False)

    async def _abandon(self, request: web.Request, caller: Caller, name: str) -> web.StreamResponse:
        return await self._end(request, caller, name, abandoned=True)

    async def _end(
        self, request: web.Request, caller: Caller, name: str, abandoned: bool
    ) -> web.StreamResponse:
        program_id = scoped_program_id(caller.tenant, name)
        program_request = EndRequest(caller.tenant, program_id, abandoned, "asked by the caller")
        return _program_response(await self._final_event(program_request))

    async def _stream(self, request: web.Request, caller: Caller, name: str) -> web.StreamResponse:
        resume_offset = parse_offset("offset", request.query.get("offset", "0"))
        if isinstance(resume_offset, Refused):
            return error_response(resume_offset)
        call_id = CallId(request.match_info["call"])
        program_request = AttachRequest(
            caller.tenant, scoped_program_id(caller.tenant, name), call_id, resume_offset
        )
        created = int(self._context.clock.wall())
        events = self._context.execute(program_request)
        return await respond_stream(request, events, created, True, from_start=resume_offset == 0)

    async def _final_event(
        self,
        program_request: CreateRequest
        | HistoryRequest
        | ToolCallRequest
        | SpawnRequest
        | EndRequest,
    ) -> ProgramEvent:
        return await final_event(self._context.execute(program_request))

    def _new_name(self, caller: Caller, body: dict[str, Any], key: str) -> str | Refused:
        name = text_field(body, "name", required=False)
        if isinstance(name, Refused):
            return name
        if not name:
            return (
                program_name_for_key(key) if key else self._context.new_program_name(caller.tenant)
            )
        if not NAME_PATTERN.match(name) or name.startswith(SINGLE_CALL_PREFIX):
            return invalid_field("name", name, f"{NAME_RULE}, not starting with once-")
        return name


def _tool_call(
    request: web.Request, caller: Caller, name: str, body: dict[str, Any]
) -> ToolCallRequest | Refused:
    tool = text_field(body, "tool", required=True)
    if isinstance(tool, Refused):
        return tool
    arguments = body.get("arguments", {})
    if not isinstance(arguments, dict):
        return invalid_field("arguments", arguments, "an object")
    tool_call_id = text_field(body, "tool_call_id", required=False)
    if isinstance(tool_call_id, Refused):
        return tool_call_id
    key = idempotency_key(request)
    if isinstance(key, Refused):
        return key
    program_id = scoped_program_id(caller.tenant, name)
    return ToolCallRequest(
        caller.tenant, program_id, ToolName(tool), canonical_json(arguments), tool_call_id, key
    )


def _history_request(caller: Caller, name: str) -> HistoryRequest:
    return HistoryRequest(caller.tenant, ProgramId(scoped_program_id(caller.tenant, name)))


def _program_response(
    details: ProgramEvent, status: HTTPStatus = HTTPStatus.OK
) -> web.StreamResponse:
    if not isinstance(details, ProgramDetails):
        return _refusal_response(details)
    return web.json_response(program_document(details), status=status)


def _refusal_response(final: ProgramEvent) -> web.StreamResponse:
    assert isinstance(final, Refused)
    return error_response(final)
