"""Adapter of the engine port over HTTP.

`POST /v1/chat/completions` streams server-sent events; `POST /calls/{call}/cancel`,
`POST /programs/{program}/release`, `POST /programs/release` for several programs at once,
`GET /metrics`, `GET /cache/events?after=N`, `GET` and `PUT /cache/programs/{program}`,
`POST /orders`. 412 means fenced by a newer epoch.
"""

import asyncio
import json
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing
from typing import Any
from urllib.parse import quote

import aiohttp
from pydantic import BaseModel, ValidationError

from foxwinch.backends.engine_load import read_load
from foxwinch.backends.engine_stream import read_events
from foxwinch.backends.engine_waits import bound_gaps, engine_waits, first_timeout
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
from foxwinch.backends.release_batch import ReleaseBatches
from foxwinch.http_exchange import (
    HEADER_RETRY_AFTER,
    HttpRequest,
    HttpResponse,
    Service,
    exchange,
    malformed,
    read_retry_after,
    refusal,
)
from foxwinch.identifiers import CallId, ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown

HEADER_CALL = "x-request-id"
HEADER_PROGRAM = "x-program-id"
HEADER_EPOCH = "x-fence-epoch"
HEADER_PRIORITY = "x-priority"
HEADER_RESUME = "x-resume-offset"
REQUEST_SECONDS = 5.0
"""For a small request's whole answer."""
TRANSFER_SECONDS = 30.0
"""For the export or import of a program's cache."""
ORDER_SECONDS = 120.0
"""Loading a model takes tens of seconds; a later answer is had by sending the token again."""
DRAIN_SECONDS = 0.5
"""For the end marker after the last event; later the connection is given up."""
SNAPSHOT_AFTER = 0
"""Reading cache events after 0 gives a snapshot, whose numbers do not follow on."""


class CacheEventDocument(BaseModel):
    """A change of a prefix cache."""

    sequence: int
    kind: str
    block_hashes: list[int]
    parent_hash: int | None = None


class CacheEventsDocument(BaseModel):
    """Cache events after a sequence number."""

    events: list[CacheEventDocument]
    next_sequence: int
    gap: bool = False


class OrderDocument(BaseModel):
    """A fenced order."""

    token: str
    epoch: int
    kind: str
    model: str
    value: str = ""


class ReleaseDocument(BaseModel):
    """Programs that are over."""

    programs: list[str]


class HttpEngine:
    """Engines reached over HTTP; implements `foxwinch.backends.ports.EnginePort`."""

    def __init__(
        self, session: aiohttp.ClientSession, url_of: Callable[[WorkerId], str | None]
    ) -> None:
        """Use `session`, which the caller closes; `url_of` finds a worker's base URL."""
        self._session = session
        self._url_of = url_of
        self._releases = ReleaseBatches(self._release)

    async def generate(
        self, worker: WorkerId, order: GenerateRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        """Stream an answer; see the port. An engine that falls silent is given up as `unknown`."""
        url = self._url_of(worker)
        if url is None:
            yield _unknown_worker(worker)
            return
        body = json.dumps(_body(order)).encode()
        waits = engine_waits(order.deadline_seconds, len(body))
        try:
            async with self._session.post(
                f"{url}/v1/chat/completions",
                data=body,
                headers=_headers(order),
                timeout=first_timeout(waits),
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    yield _refused_generation(worker, response)
                    return
                reading = read_events(response.content, lambda: bound_gaps(response, waits))
                async with aclosing(reading) as events:
                    async for event in events:
                        try:
                            yield event
                        finally:
                            if isinstance(event, GenerateFinished):
                                await _drain(response)
                        if isinstance(event, (GenerateFinished, Refused)):
                            return
            yield outcome_unknown(Reason.BACKEND_FAILED, f"worker {worker} ended its stream early")
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            yield not_run(Reason.BACKEND_UNAVAILABLE, f"worker {worker} cannot be reached")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            kind = type(error).__name__
            yield outcome_unknown(Reason.BACKEND_FAILED, f"worker {worker} failed: {kind}")

    async def cancel(self, worker: WorkerId, call_id: CallId) -> Completed | Refused:
        """See the port."""
        return await self._done(worker, "POST", f"/calls/{_quoted(call_id)}/cancel")

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed | Refused:
        """See the port."""
        return await self._releases.release(worker, program_id)

    async def _release(
        self, worker: WorkerId, programs: Sequence[ProgramId]
    ) -> Completed | Refused:
        if len(programs) == 1:
            return await self._done(worker, "POST", f"/programs/{_quoted(programs[0])}/release")
        body = ReleaseDocument(programs=list(programs)).model_dump_json().encode()
        return await self._done(worker, "POST", "/programs/release", body)

    async def load(self, worker: WorkerId) -> LoadReport | Refused:
        """See the port."""
        answer = await self._send(worker, "GET", "/metrics")
        if isinstance(answer, Refused):
            return answer
        report = read_load(answer.body.decode(errors="replace"))
        return malformed(_service(worker)) if report is None else report

    async def cache_events(self, worker: WorkerId, after: int) -> CacheEventPage | Refused:
        """See the port; a gap is found in the numbers too, whatever the engine says of it."""
        answer = await self._send(worker, "GET", "/cache/events", parameters={"after": str(after)})
        if isinstance(answer, Refused):
            return answer
        try:
            document = CacheEventsDocument.model_validate_json(answer.body)
        except ValidationError:
            return malformed(_service(worker))
        events = tuple(
            CacheEvent(e.sequence, e.kind, tuple(e.block_hashes), e.parent_hash)
            for e in document.events
        )
        gap = document.gap or _numbers_missing(events, after, document.next_sequence)
        return CacheEventPage(events, document.next_sequence, gap)

    async def export_cache(self, worker: WorkerId, program_id: ProgramId) -> bytes | Refused:
        """See the port."""
        path = f"/cache/programs/{_quoted(program_id)}"
        answer = await self._send(worker, "GET", path, timeout_seconds=TRANSFER_SECONDS)
        return answer if isinstance(answer, Refused) else answer.body

    async def import_cache(
        self, worker: WorkerId, program_id: ProgramId, data: bytes
    ) -> Completed | Refused:
        """See the port."""
        path = f"/cache/programs/{_quoted(program_id)}"
        return await self._done(worker, "PUT", path, data, TRANSFER_SECONDS)

    async def apply_order(self, worker: WorkerId, order: ModelOrder) -> Completed | Refused:
        """See the port."""
        document = OrderDocument(
            token=order.token,
            epoch=order.epoch,
            kind=order.kind,
            model=order.model,
            value=order.value,
        )
        body = document.model_dump_json().encode()
        return await self._done(worker, "POST", "/orders", body, ORDER_SECONDS)

    async def _done(
        self,
        worker: WorkerId,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_seconds: float = REQUEST_SECONDS,
    ) -> Completed | Refused:
        answer = await self._send(worker, method, path, body, timeout_seconds)
        return answer if isinstance(answer, Refused) else Completed()

    async def _send(
        self,
        worker: WorkerId,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_seconds: float = REQUEST_SECONDS,
        parameters: dict[str, str] | None = None,
    ) -> HttpResponse | Refused:
        """Send a request; an answer other than success is a refusal."""
        url = self._url_of(worker)
        if url is None:
            return _unknown_worker(worker)
        request = HttpRequest(method, url + path, timeout_seconds, body, None, parameters)
        answer = await exchange(self._session, _service(worker), request)
        if isinstance(answer, Refused) or answer.status in (200, 204):
            return answer
        if answer.status == 412:
            return _fenced(worker)
        if answer.status == 404:
            return not_run(Reason.NOT_FOUND, f"worker {worker} knows nothing of it")
        return refusal(_service(worker), answer)


def _headers(order: GenerateRequest) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        HEADER_CALL: order.call_id,
        HEADER_PROGRAM: order.program_id,
        HEADER_EPOCH: str(order.epoch),
        HEADER_PRIORITY: str(order.priority),
        HEADER_RESUME: str(order.resume_offset),
    }


def _body(order: GenerateRequest) -> dict[str, Any]:
    messages = [{"role": m.role, "content": m.content, **m.extra} for m in order.messages]
    return {
        **order.parameters,
        "model": order.model,
        "messages": messages,
        "max_tokens": order.maximum_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }


def _refused_generation(worker: WorkerId, response: aiohttp.ClientResponse) -> Refused:
    """Return what a status means: an engine answers 412, 429, 4xx and 503 before it runs."""
    status = response.status
    detail = f"worker {worker} answered {status}"
    retry_after = read_retry_after(response.headers.get(HEADER_RETRY_AFTER))
    if status == 412:
        return _fenced(worker)
    if status == 429:
        return not_run(Reason.RATE_LIMITED, detail, retry_after)
    if status == 503:
        return not_run(Reason.BACKEND_UNAVAILABLE, detail, retry_after)
    if 400 <= status < 500:
        return not_run(Reason.INVALID_REQUEST, detail)
    return outcome_unknown(Reason.BACKEND_FAILED, detail)


async def _drain(response: aiohttp.ClientResponse) -> None:
    """Read the end of a stream that is over, so that its connection can be used again."""
    try:
        async with asyncio.timeout(DRAIN_SECONDS):
            while not response.content.at_eof():
                await response.content.readany()
    except (aiohttp.ClientError, TimeoutError, OSError):
        response.close()


def _numbers_missing(events: tuple[CacheEvent, ...], after: int, next_sequence: int) -> bool:
    if after == SNAPSHOT_AFTER:
        return False
    if len(events) != next_sequence - after:
        return True
    return any(event.sequence != number for number, event in enumerate(events, after + 1))


def _service(worker: WorkerId) -> Service:
    return Service(f"worker {worker}", Reason.BACKEND_UNAVAILABLE, Reason.BACKEND_UNAVAILABLE)


def _fenced(worker: WorkerId) -> Refused:
    return not_run(Reason.FENCED, f"worker {worker} has seen a newer epoch")


def _unknown_worker(worker: WorkerId) -> Refused:
    return not_run(Reason.BACKEND_UNAVAILABLE, f"worker {worker} is not known")


def _quoted(name: str) -> str:
    return quote(name, safe="")
