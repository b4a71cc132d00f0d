"""Adapter of the tool port over HTTP: `POST {worker}/{tool}` with the call's arguments as JSON.

Each call is sent at most once. Its run state is `not_run` only when no connection was had or the
service itself refused (429, another client error, or a server error that says so); a time-out, a
reset or an unreadable answer is `unknown`.
"""

import json
from collections.abc import Callable, Sequence
from urllib.parse import quote

import aiohttp
from pydantic import BaseModel, ValidationError

from foxwinch.backends.ports import ToolRequest, ToolResult
from foxwinch.http_exchange import HttpRequest, Service, exchange, malformed, refusal
from foxwinch.identifiers import ToolName
from foxwinch.outcomes import Reason, Refused, not_run

HEADER_CALL = "x-request-id"
HEADER_PROGRAM = "x-program-id"
UNAVAILABLE_RETRY_SECONDS = 1.0


class ToolDocument(BaseModel):
    """A tool's answer."""

    content: str


class HttpTools:
    """Tool services over HTTP; implements `foxwinch.backends.ports.ToolPort`."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls_of: Callable[[ToolName], Sequence[str]],
    ) -> None:
        """Use a session without kept connections; `urls_of` finds the workers of a tool."""
        self._session = session
        self._urls_of = urls_of
        self._calls = 0

    async def call(self, order: ToolRequest) -> ToolResult | Refused:
        """Send the call to one worker, the workers taking turns."""
        urls = self._urls_of(order.tool)
        if not urls:
            detail = f"no worker serves tool {order.tool}"
            return not_run(Reason.BACKEND_UNAVAILABLE, detail, UNAVAILABLE_RETRY_SECONDS)
        self._calls += 1
        url = urls[self._calls % len(urls)]
        service = Service(f"tool {order.tool}", Reason.BACKEND_UNAVAILABLE, Reason.TOOL_TIMEOUT)
        answer = await exchange(self._session, service, _request(url, order))
        if isinstance(answer, Refused):
            return answer
        if answer.status != 200:
            return refusal(service, answer)
        try:
            return ToolResult(ToolDocument.model_validate_json(answer.body).content)
        except ValidationError:
            return malformed(service)


def _request(url: str, order: ToolRequest) -> HttpRequest:
    headers = {
        HEADER_CALL: order.call_id,
        HEADER_PROGRAM: order.program_id,
        "Content-Type": "application/json",
    }
    body = json.dumps(order.arguments).encode()
    address = f"{url.rstrip('/')}/{quote(order.tool, safe='')}"
    return HttpRequest("POST", address, order.timeout_seconds, body, headers)
