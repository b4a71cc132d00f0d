"""Adapter of the tool port over HTTP: `POST {worker}/{tool}` with the call's arguments as JSON.

Each call is sent at most once. Its run state is `not_run` only if no connection was made or the
service rejected the call (429, another client error, or a server error that states it); a timeout,
a connection reset or a malformed response is `unknown`.
"""

import json
from collections.abc import Callable, Sequence
from urllib.parse import quote

import aiohttp
from pydantic import BaseModel, ValidationError

from foxwinch.backends.ports import ToolRequest, ToolResult
from foxwinch.http_client import (
    HttpRequest,
    RemoteService,
    malformed_response,
    refusal_for_status,
    send_request,
)
from foxwinch.identifiers import ToolName
from foxwinch.outcomes import Reason, Refused, not_run

HEADER_CALL = "x-request-id"
HEADER_PROGRAM = "x-program-id"
UNAVAILABLE_RETRY_SECONDS = 1.0


class ToolDocument(BaseModel):
    """Response body of a tool."""

    content: str


class HttpTools:
    """HTTP client of tool services; implements `foxwinch.backends.ports.ToolPort`."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls_of: Callable[[ToolName], Sequence[str]],
    ) -> None:
        """Use a session without keep-alive; `urls_of` returns the base URLs of a tool's workers."""
        self._session = session
        self._urls_of = urls_of
        self._call_count = 0

    async def call(self, request: ToolRequest) -> ToolResult | Refused:
        """Send the call to one of the tool's workers, round robin."""
        urls = self._urls_of(request.tool)
        if not urls:
            detail = f"no worker serves tool {request.tool}"
            return not_run(Reason.BACKEND_UNAVAILABLE, detail, UNAVAILABLE_RETRY_SECONDS)
        self._call_count += 1
        url = urls[self._call_count % len(urls)]
        service = RemoteService(
            f"tool {request.tool}", Reason.BACKEND_UNAVAILABLE, Reason.TOOL_TIMEOUT
        )
        response = await send_request(self._session, service, _request(url, request))
        if isinstance(response, Refused):
            return response
        if response.status != 200:
            return refusal_for_status(service, response)
        try:
            return ToolResult(ToolDocument.model_validate_json(response.body).content)
        except ValidationError:
            return malformed_response(service)


def _request(url: str, request: ToolRequest) -> HttpRequest:
    headers = {
        HEADER_CALL: request.call_id,
        HEADER_PROGRAM: request.program_id,
        "Content-Type": "application/json",
    }
    body = json.dumps(request.arguments).encode()
    address = f"{url.rstrip('/')}/{quote(request.tool, safe='')}"
    return HttpRequest("POST", address, request.timeout_seconds, body, headers)
