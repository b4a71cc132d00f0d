"""The callers' side on the platform: HTTP requests in, the product's messages out."""

import json
from collections.abc import Callable, Mapping
from typing import Final

from aiohttp import web

from foxwinch.clock import Clock
from foxwinch.platform.names import (
    BUDGET,
    CONNECTION_HEADERS,
    DEADLINE_MS,
    FINISH_MS,
    LAST_EVENT_ID,
    LENGTH_HINT,
    LINE,
    PREVIOUS_TURN,
    PROGRAM,
    PROMPT_PARTS,
    REQUEST_ID,
    RETRY_AFTER,
    TOKENS,
)
from foxwinch.serving.messages import (
    ModelParameters,
    ProgramParameters,
    RejectedRequest,
    Rejection,
    ResponseHead,
    ServiceRequest,
)
from foxwinch.serving.node import ServingNode

STATUS_OF: Final[Mapping[Rejection, int]] = {
    Rejection.NOT_RUN: 503,
    Rejection.BUDGET_SPENT: 402,
    Rejection.NO_ROUTE: 404,
    Rejection.NO_SUCH_TURN: 404,
    Rejection.INVALID: 400,
    Rejection.TOO_LARGE: 413,
    Rejection.FAILED: 502,
    Rejection.LATE: 504,
}
RETRY_AFTER_DEFAULT_SECONDS = 0.25
SET_BY_FOXWINCH: Final = frozenset({"host", DEADLINE_MS.lower(), LAST_EVENT_ID.lower()})


class FrontDoor:
    """Turns HTTP requests into service requests."""

    def __init__(self, node: ServingNode, clock: Clock) -> None:
        """Serve through `node`."""
        self._node = node
        self._clock = clock

    def application(self) -> web.Application:
        """Return the application that serves callers."""
        application = web.Application(client_max_size=1 << 30)
        application.router.add_route("*", "/{path:.*}", self._handle)
        return application

    def ready_application(self) -> web.Application:
        """Return the application that tells whether new callers should come."""
        application = web.Application()
        application.router.add_get("/v1/ready", self._ready)
        return application

    async def _ready(self, _: web.Request) -> web.Response:
        return web.Response(status=200 if self._node.ready else 503)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        caller = HttpCaller(request, lambda: self._node.stopping or self._node.is_isolated)
        configuration = self._node.routing.configuration
        body_bytes = configuration.request_limits.body_bytes if configuration else None
        if body_bytes is not None and (request.content_length or 0) > body_bytes:
            await caller.reject(RejectedRequest(Rejection.TOO_LARGE, "body_too_large"))
            return caller.response
        body = await request.read()
        if body_bytes is not None and len(body) > body_bytes:
            await caller.reject(RejectedRequest(Rejection.TOO_LARGE, "body_too_large"))
            return caller.response
        translated = self._translate(request, body)
        if translated is None:
            await caller.reject(RejectedRequest(Rejection.INVALID, "malformed_header"))
            return caller.response
        await self._node.handle(translated, caller)
        return caller.response

    def _translate(self, request: web.Request, body: bytes) -> ServiceRequest | None:
        """Read the headers; None when a number among them cannot be read."""
        headers = request.headers
        try:
            deadline_ms = _number(headers.get(DEADLINE_MS))
            return ServiceRequest(
                request_id=headers.get(REQUEST_ID, ""),
                method=request.method,
                host=headers.get("Host", "").partition(":")[0].lower(),
                target=request.raw_path,
                path=request.raw_path.partition("?")[0],
                headers=tuple(
                    (name, value)
                    for name, value in headers.items()
                    if name.lower() not in CONNECTION_HEADERS
                    and name.lower() not in SET_BY_FOXWINCH
                ),
                body=body,
                received_at=self._clock.monotonic(),
                deadline_seconds=deadline_ms / 1e3 if deadline_ms is not None else None,
                program=_program(headers),
                model=_model(headers),
                budget_tokens=_integer(headers.get(BUDGET)),
                previous_turn=headers.get(PREVIOUS_TURN) or None,
                last_event_id=_integer(headers.get(LAST_EVENT_ID)),
            )
        except ValueError:
            return None


def _program(headers: Mapping[str, str]) -> ProgramParameters | None:
    program_id = headers.get(PROGRAM)
    if not program_id:
        return None
    finish_ms = _number(headers.get(FINISH_MS))
    return ProgramParameters(
        program_id,
        headers.get(LINE) or program_id,
        finish_ms / 1e3 if finish_ms is not None else None,
    )


def _model(headers: Mapping[str, str]) -> ModelParameters | None:
    tokens = headers.get(TOKENS)
    if not tokens:
        return None
    prompt, _, output = tokens.partition(",")
    parts: list[tuple[str, int]] = []
    for part in headers.get(PROMPT_PARTS, "").split(","):
        identity, separator, size = part.partition(":")
        if separator:
            parts.append((identity, int(size)))
    hint = _integer(headers.get(LENGTH_HINT))
    return ModelParameters(int(prompt), int(output or 0), hint, tuple(parts))


def _number(value: str | None) -> float | None:
    return float(value) if value else None


def _integer(value: str | None) -> int | None:
    return int(value) if value else None


class HttpCaller:
    """One caller's side; implements `foxwinch.serving.messages.Caller`."""

    def __init__(self, request: web.Request, leave: Callable[[], bool]) -> None:
        """Answer `request`; while `leave` holds, each answer closes its connection."""
        self._request = request
        self._leave = leave
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse:
        """Return what was answered."""
        assert self._response is not None
        return self._response

    async def reject(self, rejected: RejectedRequest) -> None:
        """Give a final answer of foxwinch's own."""
        response = web.Response(
            status=STATUS_OF[rejected.rejection],
            body=json.dumps({"error": rejected.reason}).encode(),
            content_type="application/json",
        )
        if rejected.rejection is Rejection.NOT_RUN:
            seconds = rejected.retry_after_seconds or RETRY_AFTER_DEFAULT_SECONDS
            response.headers[RETRY_AFTER] = f"{seconds:.3f}"
        request_id = self._request.headers.get(REQUEST_ID)
        if request_id:
            response.headers[REQUEST_ID] = request_id
        await self._send(response)

    async def respond(self, head: ResponseHead, body: bytes) -> None:
        """Give a worker's whole answer."""
        response = web.Response(status=head.status, body=body)
        response.headers.popall("Content-Type", None)
        response.headers.extend(head.headers)
        await self._send(response)

    async def begin(self, head: ResponseHead) -> None:
        """Begin a stream."""
        response = web.StreamResponse(status=head.status)
        response.headers.extend(head.headers)
        response.enable_chunked_encoding()
        await self._send(response)

    async def send(self, data: bytes) -> None:
        """Pass on whole events."""
        await self.response.write(data)

    async def finish(self) -> None:
        """End a stream that is complete."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection inside the body."""
        transport = self._request.transport
        if transport is not None:
            transport.close()

    async def _send(self, response: web.StreamResponse) -> None:
        if self._leave():
            response.force_close()
        self._response = response
        await response.prepare(self._request)
        if isinstance(response, web.Response):
            await response.write_eof()
