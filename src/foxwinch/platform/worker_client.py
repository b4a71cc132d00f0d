"""HTTP client of the platform's workers.

Every response carries the id of its request. A faulty worker may send extra responses on a
persistent connection; they are recognized by their request id and skipped, and the connection is
not reused.
"""

import asyncio
import errno
from collections.abc import AsyncIterator, Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog
from foxwinch.platform.connections import open_session
from foxwinch.platform.decoding import MALFORMED, decode_json, decode_number
from foxwinch.platform.names import (
    CONNECTION_HEADERS,
    DEADLINE_MS,
    EXPECTED_WORKER,
    INSTANCE,
    LAST_EVENT_ID,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SIGNATURE,
    URGENCY,
    WORKER_REPORT,
    WORKER_STARTED_MS,
)
from foxwinch.platform.verified_connections import (
    ConnectionGoneError,
    SingleConnector,
    VerifiedSessions,
)
from foxwinch.serving.messages import (
    CallFailure,
    CallInterrupted,
    CallRefused,
    OutgoingCall,
    ProbeResult,
    ResponseHead,
    StartCheck,
)

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum size of a response body that is not a stream."""
MAX_BUFFERED_BYTES = 4 * MAX_RESPONSE_BYTES
"""Maximum size of all buffered bodies together: a quarter of a node's memory."""
MAX_SKIPPED_RESPONSES = 8
"""Maximum number of interim responses and responses to other requests before the awaited one."""
MAX_SKIPPED_BYTES = 1024 * 1024
"""Maximum size of the body of a response to another request; a longer one is not read."""
MAX_REPORT_BYTES = 64 * 1024
"""Maximum size of a worker's report; of a longer one, or of one that arrives in parts, nothing is
concluded."""
MAX_RETRY_AFTER_SECONDS = 60.0
"""Maximum time to come back that is taken over from a worker."""
KEEPALIVE_SECONDS = 3.0
"""Keep-alive time of idle connections; workers close idle connections later than that."""
STATUS_SWITCHING_PROTOCOLS = 101
FINAL_STATUSES = range(200, 600)
"""Status codes of a complete response; others are no response to the request."""
STATUS_WRONG_WORKER = 421
STATUS_UNAVAILABLE = 503
SKIPPED_AUTO_HEADERS = frozenset(
    {"host", "accept-encoding", "user-agent", "accept", "content-type"}
)
"""Headers that the HTTP library would otherwise add automatically."""
log = EventLog("worker_client")
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, ValueError, asyncio.IncompleteReadError)


class _MalformedResponseError(aiohttp.ClientError):
    """A worker sent bytes that are no response to the request."""


class _BufferLimit:
    """Counts the bytes of all buffered response bodies."""

    def __init__(self) -> None:
        self._buffered_bytes = 0

    def try_take(self, size: int) -> bool:
        """Count `size` bytes and return True if they fit."""
        if self._buffered_bytes + size > MAX_BUFFERED_BYTES:
            return False
        self._buffered_bytes += size
        return True

    def release(self, size: int) -> None:
        """Stop counting `size` bytes."""
        self._buffered_bytes -= size


class _MatchedResponse(aiohttp.ClientResponse):
    """Skips responses to other requests that precede this one's on the connection."""

    async def start(self, connection: "aiohttp.connector.Connection") -> "_MatchedResponse":
        """Read the head of the response to this request."""
        expected_id = self.request_info.headers.get(REQUEST_ID)
        protocol = connection.protocol
        assert protocol is not None
        for _ in range(MAX_SKIPPED_RESPONSES):
            message, payload = await protocol.read()
            if message.code // 100 == 1 and message.code != STATUS_SWITCHING_PROTOCOLS:
                continue
            if _matches_request(message.code, message.headers, expected_id):
                _requeue(protocol, message, payload)
                await super().start(connection)
                return self
            protocol.force_close()
            await _skip_body(payload)
        raise _MalformedResponseError("too many responses that were not asked for")


async def _skip_body(payload: StreamReader) -> None:
    """Read and discard the body of a response to another request."""
    skipped_bytes = 0
    async for chunk in payload.iter_any():
        skipped_bytes += len(chunk)
        if skipped_bytes > MAX_SKIPPED_BYTES:
            raise _MalformedResponseError("a response to another request is too large")


def _requeue(protocol: ResponseHandler, message: RawResponseMessage, payload: StreamReader) -> None:
    """Push a response back to the front of the queue, before extra responses behind it."""
    following: list[tuple[RawResponseMessage, StreamReader]] = []
    while len(protocol):
        following.append(protocol._buffer.popleft()[0])
    for entry in ((message, payload), *following):
        protocol.feed_data(entry, 0)


def _matches_request(
    status: int, headers: "CIMultiDictProxy[str]", expected_id: str | None
) -> bool:
    if expected_id is None:
        return True
    response_id = headers.get(REQUEST_ID)
    if response_id is None:
        return NOT_RUN in headers or status in (STATUS_WRONG_WORKER, STATUS_SWITCHING_PROTOCOLS)
    return response_id == expected_id


class HttpWorkerResponse:
    """A response whose head has arrived; implements `foxwinch.serving.messages.WorkerResponse`."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        limit: _BufferLimit,
        on_close: Callable[[], None] = lambda: None,
    ) -> None:
        """Count the body against `limit` from its receipt until `close`, which calls `on_close`."""
        self._response = response
        self._on_close = on_close
        self._limit = limit
        self._buffered_bytes = 0
        self._protocol = response.connection.protocol if response.connection else None
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in CONNECTION_HEADERS
        )
        signed = SIGNATURE in response.headers and "Content-Encoding" not in response.headers
        self.head = ResponseHead(response.status, headers, signed)
        self._is_framed = (
            "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
        )

    async def read_body(self) -> bytes | CallInterrupted:
        """Read the complete body, of at most `MAX_RESPONSE_BYTES`."""
        chunks: list[bytes] = []
        async for chunk in self.chunks():
            if isinstance(chunk, CallInterrupted):
                return chunk
            if self._buffered_bytes + len(chunk) > MAX_RESPONSE_BYTES:
                return CallInterrupted(CallFailure.MALFORMED, "the body is too large")
            if not self._limit.try_take(len(chunk)):
                return CallInterrupted(CallFailure.MALFORMED, "too many bytes are buffered")
            self._buffered_bytes += len(chunk)
            chunks.append(chunk)
        return b"".join(chunks)

    async def chunks(self) -> AsyncIterator[bytes | CallInterrupted]:
        """Yield the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except CONNECTION_ERRORS as error:
            yield CallInterrupted(CallFailure.CONNECTION_LOST, type(error).__name__)
            return
        reset = self._check_reset()
        if reset is not None:
            yield reset

    def close(self) -> None:
        """Discard the body; an incompletely read connection is closed."""
        self._response.close()
        self._limit.release(self._buffered_bytes)
        self._buffered_bytes = 0
        on_close, self._on_close = self._on_close, lambda: None
        on_close()

    def _check_reset(self) -> CallInterrupted | None:
        """Return an error if a response without a length ended with a connection reset."""
        if self._is_framed or self._protocol is None:
            return None
        error = self._protocol.exception()
        if error is None or isinstance(error, aiohttp.ServerDisconnectedError):
            return None
        return CallInterrupted(CallFailure.CONNECTION_LOST, type(error).__name__)


class HttpWorkerClient:
    """Sends calls to workers; implements `foxwinch.serving.ports.Workers`."""

    def __init__(self) -> None:
        """Open a connection pool; must be called in a running event loop."""
        self._limit = _BufferLimit()
        self._session = _open_session(aiohttp.TCPConnector)
        self._verified = VerifiedSessions(lambda: _open_session(SingleConnector))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        await self._verified.close()

    async def call(
        self, worker: Worker, call: OutgoingCall
    ) -> HttpWorkerResponse | CallRefused | CallInterrupted:
        """Send a call and wait for the head of its response."""
        if call.start_check is StartCheck.NONE:
            return await self._send(self._session, worker, call, lambda: None)
        session = self._verified.take(worker)
        if session is not None:
            outcome = await self._send_verified(session, worker, call)
            if outcome is not None:
                return outcome
        session = self._verified.open()
        started_ms = await self._read_start(session, worker, call.deadline_seconds)
        is_untold = started_ms is None and call.start_check is StartCheck.IF_TOLD
        if started_ms != worker.started_ms and not is_untold:
            self._verified.discard(session)
            return CallRefused(CallFailure.WRONG_WORKER, "the start of the worker is not confirmed")
        outcome = await self._send_verified(session, worker, call)
        return outcome or CallRefused(CallFailure.UNREACHABLE, "the connection was closed")

    async def _send_verified(
        self, session: aiohttp.ClientSession, worker: Worker, call: OutgoingCall
    ) -> HttpWorkerResponse | CallRefused | CallInterrupted | None:
        """Send a call on a verified connection; return None if that was closed before."""

        def give_back() -> None:
            self._verified.give_back(worker, session)

        try:
            outcome = await self._send(session, worker, call, give_back)
        except ConnectionGoneError:
            self._verified.discard(session)
            return None
        except BaseException:
            self._verified.discard(session)
            raise
        if isinstance(outcome, CallRefused):
            give_back()
        elif isinstance(outcome, CallInterrupted):
            self._verified.discard(session)
        return outcome

    async def _read_start(
        self, session: aiohttp.ClientSession, worker: Worker, timeout_seconds: float
    ) -> int | None:
        """Return the start in milliseconds of Unix time of the process behind a new connection.

        Return None if its report does not tell, or 0 if it cannot be the worker.
        """
        headers = {"Host": worker.address, EXPECTED_WORKER: worker.worker_id}
        try:
            url = URL(f"http://{worker.address}{WORKER_REPORT}", encoded=True)
            async with (
                asyncio.timeout(timeout_seconds),
                session.get(url, headers=headers, allow_redirects=False) as response,
            ):
                if response.headers.get(INSTANCE) not in (None, worker.worker_id):
                    return 0
                started_ms = await _read_start(response)
        except (TimeoutError, HttpProcessingError, *CONNECTION_ERRORS) as error:
            log.info("start_not_verified", worker=worker.worker_id, detail=type(error).__name__)
            return 0
        log.info(
            "start_verified",
            worker=worker.worker_id,
            expected_ms=worker.started_ms,
            started_ms=started_ms,
        )
        return started_ms

    async def _send(
        self,
        session: aiohttp.ClientSession,
        worker: Worker,
        call: OutgoingCall,
        on_close: Callable[[], None],
    ) -> HttpWorkerResponse | CallRefused | CallInterrupted:
        request = call.request
        try:
            url = URL(f"http://{worker.address}{request.target}", encoded=True)
        except ValueError as error:
            return CallRefused(CallFailure.UNREACHABLE, f"no valid address or target: {error}")
        try:
            response = await session.request(
                request.method,
                url,
                headers=_headers(worker, call),
                data=call.body or None,
                allow_redirects=False,
            )
        except ConnectionGoneError:
            raise
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return CallRefused(CallFailure.UNREACHABLE, type(error).__name__)
        except (HttpProcessingError, _MalformedResponseError) as error:
            return CallInterrupted(CallFailure.MALFORMED, type(error).__name__)
        except CONNECTION_ERRORS as error:
            return CallInterrupted(CallFailure.CONNECTION_LOST, type(error).__name__)
        if response.status not in FINAL_STATUSES:
            response.close()
            return CallInterrupted(CallFailure.MALFORMED, f"status {response.status}")
        refused = _refusal(response)
        if refused is not None:
            response.release()
            return refused
        return HttpWorkerResponse(response, self._limit, on_close)

    async def probe(self, worker: Worker, health_path: str, timeout_seconds: float) -> ProbeResult:
        """Return whether the worker still runs, from a request on a new connection.

        A worker that reports its starts is asked for that; if it has no report, or reports none,
        its health check tells less. Workers respond to both whichever worker is expected, so only
        the instance that a response names tells whose response it is.
        """
        path = health_path if worker.started_ms is None else WORKER_REPORT
        url = URL(f"http://{worker.address}{path}", encoded=True)
        headers = {"Host": worker.address, EXPECTED_WORKER: worker.worker_id}
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            try:
                async with (
                    asyncio.timeout(timeout_seconds),
                    session.get(url, headers=headers, allow_redirects=False) as response,
                ):
                    instance = response.headers.get(INSTANCE)
                    log.info(
                        "probe_answered",
                        worker=worker.worker_id,
                        instance=instance,
                        status=response.status,
                        path=path,
                    )
                    is_other = instance not in (None, worker.worker_id)
                    if response.status == STATUS_WRONG_WORKER or is_other:
                        return ProbeResult.ENDED
                    if worker.started_ms is not None:
                        started_ms = await _read_start(response)
                        if started_ms is not None:
                            is_same = started_ms == worker.started_ms
                            return ProbeResult.LIVING if is_same else ProbeResult.ENDED
                    return ProbeResult.UNKNOWN if instance is None else ProbeResult.RUNNING
            except TimeoutError:
                return ProbeResult.UNKNOWN
            except aiohttp.ClientConnectorError as error:
                is_refused = error.os_error.errno == errno.ECONNREFUSED
                return ProbeResult.ENDED if is_refused else ProbeResult.UNKNOWN
            except (HttpProcessingError, *CONNECTION_ERRORS):
                return ProbeResult.UNKNOWN


def _open_session(make_connector: type[aiohttp.TCPConnector]) -> aiohttp.ClientSession:
    session = open_session(
        KEEPALIVE_SECONDS,
        make_connector,
        response_class=_MatchedResponse,
        auto_decompress=False,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
    )
    # Only foxwinch decides on retries, never the HTTP library.
    session._retry_connection = False
    return session


async def _read_start(response: aiohttp.ClientResponse) -> int | None:
    """Return the start in milliseconds of Unix time that a worker's report names, if any."""
    report = decode_json(await response.content.read(MAX_REPORT_BYTES))
    started_ms = report.get(WORKER_STARTED_MS) if isinstance(report, dict) else None
    is_number = isinstance(started_ms, int) and not isinstance(started_ms, bool)
    return started_ms if is_number else None


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


def _refusal(response: aiohttp.ClientResponse) -> CallRefused | None:
    if response.status == STATUS_WRONG_WORKER:
        return CallRefused(CallFailure.WRONG_WORKER, "the address belongs to another worker")
    if NOT_RUN not in response.headers:
        return None
    seconds = decode_number(response.headers.get(RETRY_AFTER, ""))
    if seconds is MALFORMED or not 0 <= seconds <= MAX_RETRY_AFTER_SECONDS:
        return CallRefused(CallFailure.SHED, f"status {response.status}")
    return CallRefused(CallFailure.SHED, f"status {response.status}", seconds)
