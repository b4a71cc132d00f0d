"""Sends calls to the platform's workers over HTTP, and reads their answers with suspicion.

Every answer names the request that it belongs to. A surplus answer, which a faulty worker may send
on a kept connection, is passed over by that name, and its connection is not used again.
"""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from foxwinch.core.routing.directory import Worker
from foxwinch.platform.connections import open_session
from foxwinch.platform.names import (
    CONNECTION_HEADERS,
    DEADLINE_MS,
    EXPECTED_WORKER,
    LAST_EVENT_ID,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SIGNATURE,
    URGENCY,
)
from foxwinch.serving.messages import (
    CallFailure,
    CallInterrupted,
    CallRefused,
    OutgoingCall,
    ResponseHead,
)

KEPT_SECONDS = 3.0
"""An idle connection is used again within it; workers close theirs later than that."""
STATUS_WRONG_WORKER = 421
STATUS_UNAVAILABLE = 503
NEVER_SENT = frozenset({"host", "accept-encoding", "user-agent", "accept", "content-type"})
"""Headers that the HTTP library would add by itself."""
BROKEN = (aiohttp.ClientError, OSError, ValueError, asyncio.IncompleteReadError)


class _MatchedResponse(aiohttp.ClientResponse):
    """Passes over answers to other requests that stand before this one's on the connection."""

    async def start(self, connection: "aiohttp.connector.Connection") -> "_MatchedResponse":
        """Read the head of this request's own answer."""
        expected = self.request_info.headers.get(REQUEST_ID)
        protocol = connection.protocol
        assert protocol is not None
        while True:
            message, payload = await protocol.read()
            if _belongs(message.code, message.headers, expected):
                _put_back(protocol, message, payload)
                break
            protocol.force_close()
            await payload.read()
        await super().start(connection)
        return self


def _put_back(
    protocol: ResponseHandler, message: RawResponseMessage, payload: StreamReader
) -> None:
    """Let the next read return this answer, ahead of surplus ones that stand behind it."""
    behind: list[tuple[RawResponseMessage, StreamReader]] = []
    while len(protocol):
        behind.append(protocol._buffer.popleft()[0])
    for entry in ((message, payload), *behind):
        protocol.feed_data(entry, 0)


def _belongs(status: int, headers: "CIMultiDictProxy[str]", expected: str | None) -> bool:
    given = headers.get(REQUEST_ID)
    if given is None:
        return NOT_RUN in headers or status == STATUS_WRONG_WORKER or status // 100 == 1
    return given == expected


class HttpResponse:
    """An answer whose head has arrived; implements `foxwinch.serving.messages.WorkerResponse`."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Read on from `response`."""
        self._response = response
        self._protocol = response.connection.protocol if response.connection else None
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in CONNECTION_HEADERS
        )
        signed = SIGNATURE in response.headers and "Content-Encoding" not in response.headers
        self.head = ResponseHead(response.status, headers, signed)
        self._framed = (
            "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
        )

    async def read_body(self) -> bytes | CallInterrupted:
        """Read the body."""
        try:
            body = await self._response.content.read()
        except BROKEN as error:
            return CallInterrupted(CallFailure.CONNECTION_LOST, type(error).__name__)
        return self._reset() or body

    async def chunks(self) -> AsyncIterator[bytes | CallInterrupted]:
        """Yield the body as it comes."""
        try:
            async for piece in self._response.content.iter_any():
                yield piece
        except BROKEN as error:
            yield CallInterrupted(CallFailure.CONNECTION_LOST, type(error).__name__)
            return
        reset = self._reset()
        if reset is not None:
            yield reset

    def close(self) -> None:
        """Drop what was not read; a connection that is not at its end is closed."""
        self._response.close()

    def _reset(self) -> CallInterrupted | None:
        """An answer without a length ends with its connection: a reset one is not whole."""
        if self._framed or self._protocol is None:
            return None
        error = self._protocol.exception()
        if error is None or isinstance(error, aiohttp.ServerDisconnectedError):
            return None
        return CallInterrupted(CallFailure.CONNECTION_LOST, type(error).__name__)


class HttpWorkers:
    """Calls workers; implements `foxwinch.serving.ports.Workers`."""

    def __init__(self) -> None:
        """Open a pool of connections; call on the running loop."""
        self._session = open_session(
            KEPT_SECONDS,
            response_class=_MatchedResponse,
            auto_decompress=False,
            skip_auto_headers=NEVER_SENT,
        )
        # A request is repeated by the product's rules only, never by the library.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def call(
        self, worker: Worker, call: OutgoingCall
    ) -> HttpResponse | CallRefused | CallInterrupted:
        """Send a call and wait for the head of its answer."""
        request = call.request
        url = URL(f"http://{worker.address}{request.target}", encoded=True)
        try:
            response = await self._session.request(
                request.method,
                url,
                headers=_headers(worker, call),
                data=call.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return CallRefused(CallFailure.UNREACHABLE, type(error).__name__)
        except BROKEN as error:
            return CallInterrupted(CallFailure.CONNECTION_LOST, type(error).__name__)
        refused = _not_run(response)
        if refused is not None:
            response.release()
            return refused
        return HttpResponse(response)


def _headers(worker: Worker, call: OutgoingCall) -> CIMultiDict[str]:
    headers = CIMultiDict(call.request.headers)
    headers["Host"] = call.request.host
    headers[REQUEST_ID] = call.request.request_id
    headers[DEADLINE_MS] = str(max(1, int(1e3 * call.deadline_seconds)))
    headers[EXPECTED_WORKER] = worker.worker_id
    if call.last_event_id is not None:
        headers[LAST_EVENT_ID] = str(call.last_event_id)
    if call.urgency is not None:
        headers[URGENCY] = str(call.urgency)
    return headers


def _not_run(response: aiohttp.ClientResponse) -> CallRefused | None:
    if response.status == STATUS_WRONG_WORKER:
        return CallRefused(CallFailure.WRONG_WORKER, "another worker has the address")
    if NOT_RUN not in response.headers:
        return None
    retry_after = response.headers.get(RETRY_AFTER)
    try:
        seconds = float(retry_after) if retry_after is not None else None
    except ValueError:
        seconds = None
    return CallRefused(CallFailure.SHED, f"status {response.status}", seconds)
