"""Emulated tool services over HTTP."""

import json

from aiohttp import web

from foxwinch.backends.ports import ToolRequest
from foxwinch.backends.tools_http import HEADER_CALL, HEADER_PROGRAM
from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.faults import HANG_SECONDS
from foxwinch.emulator.http_faults import check_gate, refusal_response, respond
from foxwinch.identifiers import CallId, ProgramId, ToolName
from foxwinch.outcomes import Reason, Refused, not_run


class ToolHandlers:
    """HTTP handlers of the tool services."""

    def __init__(self, emulated_services: EmulatedServices) -> None:
        """Serve the tools of `emulated_services`."""
        self._emulated_services = emulated_services

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers."""
        router.add_post("/tools/{worker}/{tool}", self.call)

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run a tool once for each request, including repeated ones."""
        body = await request.read()
        worker = request.match_info["worker"]
        if worker not in self._emulated_services.tool_workers:
            return refusal_response(not_run(Reason.NOT_FOUND, "no such worker"))
        gate = self._emulated_services.tools_gate
        refused = await check_gate(gate)
        if refused is not None:
            return refused
        try:
            tool_request = _tool_request(request, json.loads(body))
        except (ValueError, KeyError):
            return refusal_response(not_run(Reason.INVALID_REQUEST, "the body is not a tool call"))
        now = self._emulated_services.clock.monotonic()
        outcome = gate.apply(lambda: self._emulated_services.tools.run(tool_request, worker, now))
        if isinstance(outcome, Refused):
            return refusal_response(outcome)
        if tool_request.tool in self._emulated_services.tool_faults.hung_tools:
            await self._emulated_services.clock.sleep(HANG_SECONDS)
        return await respond(request, gate, web.json_response({"content": outcome.content}))


def _tool_request(request: web.Request, arguments: object) -> ToolRequest:
    return ToolRequest(
        CallId(request.headers[HEADER_CALL]),
        ProgramId(request.headers[HEADER_PROGRAM]),
        ToolName(request.match_info["tool"]),
        arguments,
        timeout_seconds=0.0,
    )
