"""Adapter of the engine port over HTTP.

`POST /v1/chat/completions` streams server-sent events; `POST /calls/{call}/cancel`,
`POST /programs/{program}/release`, `POST /programs/release` for several programs at once,
`GET /metrics`, `GET /cache/events?after=N`, `GET` and `PUT /cache/programs/{program}`,
`POST /orders`. Status 412 means that the request was fenced by a newer epoch.
"""

import asyncio
import json
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing
from typing import Any
from urllib.parse import quote

import aiohttp
from pydantic import BaseModel, ValidationError

from foxwinch.backends.engine_load import decode_load
from foxwinch.backends.engine_stream import decode_events
from foxwinch.backends.engine_timeouts import (
    apply_event_gap_timeout,
    engine_timeouts,
    first_event_timeout,
)
from foxwinch.backends.ports import (
    CacheEvent,
    CacheEventPage,
    Completed,
    EngineEvent,
    GenerateFinished,
    GenerateRequest,
    LoadReport,
    ModelOrder,
)
from foxwinch.backends.release_batch import ReleaseBatcher
from foxwinch.http_client import (
    HEADER_RETRY_AFTER,
    HttpRequest,
    HttpResponse,
    RemoteService,
    malformed_response,
    parse_retry_after,
    refusal_for_status,
    send_request,
)
from foxwinch.identifiers import CallId, ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown

HEADER_CALL = "x-request-id"
HEADER_PROGRAM = "x-program-id"
HEADER_EPOCH = "x-fence-epoch"
HEADER_PRIORITY = "x-priority"
HEADER_RESUME_OFFSET = "x-resume-offset"
REQUEST_TIMEOUT_SECONDS = 5.0
"""Timeout for the complete response to a small request."""
TRANSFER_TIMEOUT_SECONDS = 30.0
"""Timeout for the export or import of a program's cache."""
ORDER_TIMEOUT_SECONDS = 120.0
"""Timeout of an order: loading a model takes tens of seconds. After a timeout, a retry with the
same token returns the outcome."""
END_MARKER_TIMEOUT_SECONDS = 0.5
"""Timeout for the end marker after the last event; after it, the connection is closed."""
SNAPSHOT_AFTER = 0
"""Reading cache events after 0 returns a snapshot, whose sequence numbers are not contiguous."""


class CacheEventDocument(BaseModel):
    """A change of an engine's prefix cache."""

    sequence: int
    kind: str
    block_hashes: list[int]
    parent_hash: int | None = None


class CacheEventsDocument(BaseModel):
    """Response with the cache events after a sequence number."""

    events: list[CacheEventDocument]
    next_sequence: int
    gap: bool = False


class OrderDocument(BaseModel):
    """Body of a fenced order."""

    token: str
    epoch: int
    kind: str
    model: str
    value: str = ""


class ReleaseDocument(BaseModel):
    """Body of a release of finished programs."""

    programs: list[str]


class HttpEngine:
    """HTTP client of engines; implements `foxwinch.backends.ports.EnginePort`."""

    def __init__(
        self, session: aiohttp.ClientSession, url_of: Callable[[WorkerId], str | None]
    ) -> None:
        """Use `session`, which the caller closes; `url_of` returns a worker's base URL."""
        self._session = session
        self._url_of = url_of
        self._release_batcher = ReleaseBatcher(self._release)

    async def generate(
        self, worker: WorkerId, request: GenerateRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        """Stream a response; see `GeneratePort`.

        An unresponsive engine times out with run state `unknown`.
        """
        url = self._url_of(worker)
        if url is None:
            yield _unknown_worker(worker)
            return
        body = json.dumps(_body(request)).encode()
        timeouts = engine_timeouts(request.deadline_seconds, len(body))
        try:
            async with self._session.post(
                f"{url}/v1/chat/completions",
                data=body,
                headers=_headers(request),
                timeout=first_event_timeout(timeouts),
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    yield _generation_refusal(worker, response)
                    return
                event_stream = decode_events(
                    response.content, lambda: apply_event_gap_timeout(response, timeouts)
                )
                async with aclosing(event_stream) as events:
                    async for event in events:
                        try:
                            yield event
                        finally:
                            if isinstance(event, GenerateFinished):
                                await _read_to_end(response)
                        if isinstance(event, (GenerateFinished, Refused)):
                            return
            yield outcome_unknown(
                Reason.BACKEND_FAILED, f"worker {worker} ended its stream before the final event"
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            yield not_run(Reason.BACKEND_UNAVAILABLE, f"cannot connect to worker {worker}")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            kind = type(error).__name__
            yield outcome_unknown(Reason.BACKEND_FAILED, f"call to worker {worker} failed: {kind}")

    async def cancel(self, worker: WorkerId, call_id: CallId) -> Completed | Refused:
        """See `EnginePort`."""
        return await self._send_command(worker, "POST", f"/calls/{_quote(call_id)}/cancel")

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed | Refused:
        """See `EnginePort`."""
        return await self._release_batcher.release(worker, program_id)

    async def _release(
        self, worker: WorkerId, programs: Sequence[ProgramId]
    ) -> Completed | Refused:
        if len(programs) == 1:
            return await self._send_command(
                worker, "POST", f"/programs/{_quote(programs[0])}/release"
            )
        body = ReleaseDocument(programs=list(programs)).model_dump_json().encode()
        return await self._send_command(worker, "POST", "/programs/release", body)

    async def load(self, worker: WorkerId) -> LoadReport | Refused:
        """See `EnginePort`."""
        response = await self._send(worker, "GET", "/metrics")
        if isinstance(response, Refused):
            return response
        report = decode_load(response.body.decode(errors="replace"))
        return malformed_response(_service(worker)) if report is None else report

    async def cache_events(self, worker: WorkerId, after: int) -> CacheEventPage | Refused:
        """See `EnginePort`; missing sequence numbers also count as a gap."""
        response = await self._send(
            worker, "GET", "/cache/events", parameters={"after": str(after)}
        )
        if isinstance(response, Refused):
            return response
        try:
            document = CacheEventsDocument.model_validate_json(response.body)
        except ValidationError:
            return malformed_response(_service(worker))
        events = tuple(
            CacheEvent(e.sequence, e.kind, tuple(e.block_hashes), e.parent_hash)
            for e in document.events
        )
        gap = document.gap or _has_gap(events, after, document.next_sequence)
        return CacheEventPage(events, document.next_sequence, gap)

    async def export_cache(self, worker: WorkerId, program_id: ProgramId) -> bytes | Refused:
        """See `EnginePort`."""
        path = f"/cache/programs/{_quote(program_id)}"
        response = await self._send(worker, "GET", path, timeout_seconds=TRANSFER_TIMEOUT_SECONDS)
        return response if isinstance(response, Refused) else response.body

    async def import_cache(
        self, worker: WorkerId, program_id: ProgramId, data: bytes
    ) -> Completed | Refused:
        """See `EnginePort`."""
        path = f"/cache/programs/{_quote(program_id)}"
        return await self._send_command(worker, "PUT", path, data, TRANSFER_TIMEOUT_SECONDS)

    async def apply_order(self, worker: WorkerId, order: ModelOrder) -> Completed | Refused:
        """See `EnginePort`."""
        document = OrderDocument(
            token=order.token,
            epoch=order.epoch,
            kind=order.kind,
            model=order.model,
            value=order.value,
        )
        body = document.model_dump_json().encode()
        return await self._send_command(worker, "POST", "/orders", body, ORDER_TIMEOUT_SECONDS)

    async def _send_command(
        self,
        worker: WorkerId,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> Completed | Refused:
        response = await self._send(worker, method, path, body, timeout_seconds)
        return response if isinstance(response, Refused) else Completed()

    async def _send(
        self,
        worker: WorkerId,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
        parameters: dict[str, str] | None = None,
    ) -> HttpResponse | Refused:
        """Send a request; a response other than 200 or 204 is a refusal."""
        url = self._url_of(worker)
        if url is None:
            return _unknown_worker(worker)
        request = HttpRequest(method, url + path, timeout_seconds, body, None, parameters)
        response = await send_request(self._session, _service(worker), request)
        if isinstance(response, Refused) or response.status in (200, 204):
            return response
        if response.status == 412:
            return _fenced(worker)
        if response.status == 404:
            return not_run(Reason.NOT_FOUND, f"not found on worker {worker}")
        return refusal_for_status(_service(worker), response)


def _headers(request: GenerateRequest) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        HEADER_CALL: request.call_id,
        HEADER_PROGRAM: request.program_id,
        HEADER_EPOCH: str(request.epoch),
        HEADER_PRIORITY: str(request.priority),
        HEADER_RESUME_OFFSET: str(request.resume_offset),
    }


def _body(request: GenerateRequest) -> dict[str, Any]:
    messages = [{"role": m.role, "content": m.content, **m.extra} for m in request.messages]
    return {
        **request.parameters,
        "model": request.model,
        "messages": messages,
        "max_tokens": request.maximum_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }


def _generation_refusal(worker: WorkerId, response: aiohttp.ClientResponse) -> Refused:
    """Map an error status to a refusal; engines return 412, 429, 4xx and 503 before running."""
    status = response.status
    detail = f"worker {worker} returned status {status}"
    retry_after = parse_retry_after(response.headers.get(HEADER_RETRY_AFTER))
    if status == 412:
        return _fenced(worker)
    if status == 429:
        return not_run(Reason.RATE_LIMITED, detail, retry_after)
    if status == 503:
        return not_run(Reason.BACKEND_UNAVAILABLE, detail, retry_after)
    if 400 <= status < 500:
        return not_run(Reason.INVALID_REQUEST, detail)
    return outcome_unknown(Reason.BACKEND_FAILED, detail)


async def _read_to_end(response: aiohttp.ClientResponse) -> None:
    """Read the end of a finished stream, so that its connection can be reused."""
    try:
        async with asyncio.timeout(END_MARKER_TIMEOUT_SECONDS):
            while not response.content.at_eof():
                await response.content.readany()
    except (aiohttp.ClientError, TimeoutError, OSError):
        response.close()


def _has_gap(events: tuple[CacheEvent, ...], after: int, next_sequence: int) -> bool:
    if after == SNAPSHOT_AFTER:
        return False
    if len(events) != next_sequence - after:
        return True
    return any(event.sequence != number for number, event in enumerate(events, after + 1))


def _service(worker: WorkerId) -> RemoteService:
    return RemoteService(f"worker {worker}", Reason.BACKEND_UNAVAILABLE, Reason.BACKEND_UNAVAILABLE)


def _fenced(worker: WorkerId) -> Refused:
    return not_run(Reason.FENCED, f"worker {worker} has seen a newer epoch")


def _unknown_worker(worker: WorkerId) -> Refused:
    return not_run(Reason.BACKEND_UNAVAILABLE, f"unknown worker {worker}")


def _quote(name: str) -> str:
    return quote(name, safe="")
