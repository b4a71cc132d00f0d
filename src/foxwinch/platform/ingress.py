"""HTTP server for callers on the platform: translates requests for the serving node."""

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Final, TypeVar

from aiohttp import web

from foxwinch.clock import Clock
from foxwinch.log import EventLog
from foxwinch.platform.decoding import Malformed, decode_number, decode_whole_number, is_utf8
from foxwinch.platform.names import (
    AFFINITY,
    CONNECTION_HEADERS,
    CONVERSATION,
    DEADLINE_MS,
    FINISH_MS,
    LAST_EVENT_ID,
    LENGTH_HINT,
    PREVIOUS_TURN,
    PROGRAM,
    PROMPT_PARTS,
    REQUEST_ID,
    RESUMES,
    RETRY_AFTER,
    TOKEN_BUDGET,
    TOKEN_COUNT,
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

STATUS_BY_REJECTION: Final[Mapping[Rejection, int]] = {
    Rejection.NOT_RUN: 503,
    Rejection.BUDGET_SPENT: 402,
    Rejection.NO_ROUTE: 404,
    Rejection.NO_SUCH_TURN: 404,
    Rejection.INVALID: 400,
    Rejection.TOO_LARGE: 413,
    Rejection.FAILED: 502,
    Rejection.LATE: 504,
}
DEFAULT_RETRY_AFTER_SECONDS = 0.25
SMALL_BODY_BYTES = 16_384
"""Size up to which a body is buffered by the connection, whether the caller reads it or not."""
STALL_SECONDS = 3.0
"""Time after which a caller that reads nothing of a complete response loses its connection."""
STALL_POLL_SECONDS = 0.5
Number = TypeVar("Number", int, float)
log = EventLog("ingress")
IDENTIFIER_HEADERS: Final = (REQUEST_ID, PROGRAM, CONVERSATION, PREVIOUS_TURN, RESUMES, AFFINITY)
"""Headers whose values foxwinch stores and logs; the others are only passed on."""
HEADERS_SET_BY_FOXWINCH: Final = frozenset({"host", DEADLINE_MS.lower(), LAST_EVENT_ID.lower()})


class Ingress:
    """Translates HTTP requests into service requests and passes them to the node."""

    def __init__(self, node: ServingNode, clock: Clock) -> None:
        self._node = node
        self._clock = clock

    def application(self) -> web.Application:
        """Return the application that serves callers."""
        application = web.Application(client_max_size=1 << 30)
        application.router.add_route("*", "/{path:.*}", self._handle)
        return application

    def readiness_application(self) -> web.Application:
        """Return the application of the readiness endpoint."""
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
        service_request = self._parse_request(request, body)
        if service_request is None:
            await caller.reject(RejectedRequest(Rejection.INVALID, "malformed_header"))
            return caller.response
        await self._node.handle(service_request, caller)
        return caller.response

    def _parse_request(self, request: web.Request, body: bytes) -> ServiceRequest | None:
        """Build the service request; None if a header is malformed."""
        headers = request.headers
        if not all(is_utf8(headers.get(name, "")) for name in IDENTIFIER_HEADERS):
            return None
        try:
            deadline_ms = _parse_float(headers.get(DEADLINE_MS))
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
                    and name.lower() not in HEADERS_SET_BY_FOXWINCH
                ),
                body=body,
                received_at=self._clock.monotonic(),
                deadline_seconds=deadline_ms / 1e3 if deadline_ms is not None else None,
                program=_program_parameters(headers),
                model=_model_parameters(headers),
                budget_tokens=_parse_int(headers.get(TOKEN_BUDGET)),
                previous_turn=headers.get(PREVIOUS_TURN) or None,
                last_event_id=_parse_int(headers.get(LAST_EVENT_ID)),
                resumed_request=headers.get(RESUMES) or None,
                affinity=headers.get(AFFINITY, ""),
            )
        except ValueError:
            return None


def _program_parameters(headers: Mapping[str, str]) -> ProgramParameters | None:
    program_id = headers.get(PROGRAM)
    if not program_id:
        return None
    finish_ms = _parse_float(headers.get(FINISH_MS))
    return ProgramParameters(
        program_id,
        headers.get(CONVERSATION) or program_id,
        finish_ms / 1e3 if finish_ms is not None else None,
    )


def _model_parameters(headers: Mapping[str, str]) -> ModelParameters | None:
    tokens = headers.get(TOKEN_COUNT)
    if not tokens:
        return None
    prompt, _, output = tokens.partition(",")
    parts: list[tuple[str, int]] = []
    for part in headers.get(PROMPT_PARTS, "").split(","):
        part_id, separator, size = part.partition(":")
        if separator:
            parts.append((part_id, _parse_int(size) or 0))
    hint = _parse_int(headers.get(LENGTH_HINT))
    return ModelParameters(_parse_int(prompt) or 0, _parse_int(output) or 0, hint, tuple(parts))


def _parse_float(value: str | None) -> float | None:
    return _unless_malformed(decode_number(value)) if value else None


def _parse_int(value: str | None) -> int | None:
    return _unless_malformed(decode_whole_number(value)) if value else None


def _unless_malformed(value: Number | Malformed) -> Number:
    """Return a decoded value; raise ValueError if it is malformed."""
    if isinstance(value, Malformed):
        raise ValueError("malformed number")
    return value


class HttpCaller:
    """The HTTP response to one caller; implements `foxwinch.serving.messages.Caller`.

    A response that has begun can only be continued, finished or aborted: a second one would be
    taken for that to the next request on the connection.
    """

    def __init__(self, request: web.Request, should_close: Callable[[], bool]) -> None:
        """Respond to `request`; while `should_close()` is true, responses close the connection."""
        self._request = request
        self._should_close = should_close
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse:
        """Return the response that was sent."""
        assert self._response is not None
        return self._response

    async def reject(self, rejected: RejectedRequest) -> None:
        """Send an error response that foxwinch itself generates."""
        response = web.Response(
            status=STATUS_BY_REJECTION[rejected.rejection],
            body=json.dumps({"error": rejected.reason}).encode(),
            content_type="application/json",
        )
        if rejected.rejection is Rejection.NOT_RUN:
            seconds = rejected.retry_after_seconds or DEFAULT_RETRY_AFTER_SECONDS
            response.headers[RETRY_AFTER] = f"{seconds:.3f}"
        request_id = self._request.headers.get(REQUEST_ID)
        if request_id and is_utf8(request_id):
            response.headers[REQUEST_ID] = request_id
        await self._send(response)

    async def respond(self, head: ResponseHead, body: bytes) -> None:
        """Send a worker's complete response."""
        response = web.Response(status=head.status, body=body)
        response.headers.popall("Content-Type", None)
        response.headers.extend(head.headers)
        await self._send(response)

    async def begin(self, head: ResponseHead) -> None:
        """Send the response head and start a chunked body."""
        response = web.StreamResponse(status=head.status)
        response.headers.extend(head.headers)
        response.enable_chunked_encoding()
        await self._send(response)

    async def send(self, data: bytes) -> None:
        """Send complete server-sent events."""
        await self.response.write(data)

    async def finish(self) -> None:
        """End the body of a complete stream."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection before the end of the body, so that the caller sees an error."""
        transport = self._request.transport
        if transport is not None:
            transport.close()

    async def _send(self, response: web.StreamResponse) -> None:
        if self._response is not None:
            log.warning(
                "second_response",
                request=self._request.headers.get(REQUEST_ID),
                first=self._response.status,
                second=response.status,
            )
            self.abort()
            return
        if self._should_close():
            response.force_close()
        self._response = response
        await response.prepare(self._request)
        if not isinstance(response, web.Response):
            return
        body = response.body
        if not isinstance(body, bytes) or len(body) <= SMALL_BODY_BYTES:
            await response.write_eof()
        else:
            await self._write_large_body(response)

    async def _write_large_body(self, response: web.Response) -> None:
        """Send a complete body, and close the connection of a caller that stops to read."""
        writing = asyncio.ensure_future(response.write_eof())
        waiting_bytes, waited_seconds = None, 0.0
        try:
            while not (await asyncio.wait([writing], timeout=STALL_POLL_SECONDS))[0]:
                transport = self._request.transport
                if transport is None:
                    break
                remaining_bytes = transport.get_write_buffer_size()
                is_stalled = remaining_bytes == waiting_bytes
                waited_seconds = waited_seconds + STALL_POLL_SECONDS if is_stalled else 0.0
                waiting_bytes = remaining_bytes
                if waited_seconds >= STALL_SECONDS:
                    log.info(
                        "response_not_read",
                        request=self._request.headers.get(REQUEST_ID),
                        remaining_bytes=remaining_bytes,
                    )
                    transport.abort()
                    break
            await writing
        finally:
            writing.cancel()
