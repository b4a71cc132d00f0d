"""One HTTP request and its whole answer, as values: what failed, and whether it may have run.

Only a failure to connect is certainly `not_run`. Once a connection was had, anything that goes
wrong may have happened after the effect. aiohttp repeats a GET, PUT or DELETE by itself when a kept
connection turns out dead, and follows redirects by sending again; POST is never repeated by it, and
redirects are not followed here.
"""

import asyncio
import math
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from foxwinch.outcomes import Reason, Refused, RunState, not_run, outcome_unknown

CONNECT_SECONDS = 3.0
"""For a connection to be made; back ends and the platform are near."""
MAX_RETRY_AFTER_SECONDS = 3_600.0
"""A service that asks for more is taken to mean this."""
MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""A whole answer is held in memory, of which a node has 256 MB."""
HEADER_RUN_STATE = "x-run-state"
"""A service tells by it that a refused request did not run; without it a 5xx is `unknown`."""
HEADER_RETRY_AFTER = "Retry-After"
STATUS_CLIENT_ERROR = 400
STATUS_TOO_MANY_REQUESTS = 429
STATUS_SERVER_ERROR = 500


def new_session(keep_connections: bool = True) -> aiohttp.ClientSession:
    """Return a session, to be closed by the caller; call it on the running loop.

    Without `keep_connections` each request has a connection of its own, so that none is ever sent
    into a kept connection that the other side is just closing: its outcome would be unknown.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=not keep_connections)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_SECONDS),
    )


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request."""

    method: str
    url: str
    timeout_seconds: float
    """For the whole answer."""
    body: bytes | None = None
    headers: Mapping[str, str] | None = None
    parameters: Mapping[str, str] | None = None


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer of any status."""

    status: int
    body: bytes
    retry_after_seconds: float | None
    run_state: str | None
    """What the service itself says of the effect, where it does."""


@dataclass(frozen=True, slots=True)
class Service:
    """How failures of a service are named."""

    name: str
    unavailable: Reason
    late: Reason
    """Reason when no answer came in time."""


async def exchange(
    session: aiohttp.ClientSession, service: Service, request: HttpRequest
) -> HttpResponse | Refused:
    """Send a request once and read its whole answer."""
    if not _sendable(request):
        return not_run(Reason.INVALID_REQUEST, "a header value holds control characters")
    try:
        async with (
            asyncio.timeout(request.timeout_seconds),
            session.request(
                request.method,
                request.url,
                data=request.body,
                headers=request.headers,
                params=request.parameters,
                allow_redirects=False,
            ) as response,
        ):
            body = await _read_body(response)
            if body is None:
                return outcome_unknown(service.unavailable, f"{service.name} answered too much")
            retry_after = read_retry_after(response.headers.get(HEADER_RETRY_AFTER))
            run_state = response.headers.get(HEADER_RUN_STATE)
            return HttpResponse(response.status, body, retry_after, run_state)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return not_run(service.unavailable, f"{service.name} cannot be reached")
    except (aiohttp.InvalidURL, aiohttp.NonHttpUrlClientError):
        return not_run(Reason.INVALID_REQUEST, f"{service.name} has no valid address")
    except TimeoutError:
        detail = f"{service.name} did not answer in {request.timeout_seconds} s"
        return outcome_unknown(service.late, detail)
    except (aiohttp.ClientError, OSError) as error:
        kind = type(error).__name__
        return outcome_unknown(service.unavailable, f"{service.name} broke off: {kind}")


def _sendable(request: HttpRequest) -> bool:
    return all(value.isprintable() for value in (request.headers or {}).values())


async def _read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the body, or None when it is larger than any answer should be."""
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > MAX_ANSWER_BYTES:
            return None
    return bytes(body)


def refusal(service: Service, answer: HttpResponse) -> Refused:
    """Return what a status that the adapter does not know means.

    429 and other client errors are refusals before any work. A redirect, another success or a
    server error tells nothing about the effect unless the service says so.
    """
    detail = f"{service.name} answered {answer.status}"
    if answer.status < STATUS_CLIENT_ERROR:
        return outcome_unknown(service.unavailable, detail)
    if answer.status == STATUS_TOO_MANY_REQUESTS:
        return not_run(Reason.RATE_LIMITED, detail, answer.retry_after_seconds)
    if answer.status < STATUS_SERVER_ERROR:
        if answer.run_state == RunState.UNKNOWN:
            return outcome_unknown(Reason.INVALID_REQUEST, detail)
        return not_run(Reason.INVALID_REQUEST, detail)
    if answer.run_state == RunState.NOT_RUN:
        return not_run(service.unavailable, detail, answer.retry_after_seconds)
    return Refused(service.unavailable, RunState.UNKNOWN, detail, answer.retry_after_seconds)


def malformed(service: Service) -> Refused:
    """Return what an answer that cannot be read means: the effect may have taken place."""
    return outcome_unknown(service.unavailable, f"{service.name} gave a malformed answer")


def read_retry_after(value: str | None) -> float | None:
    """Return the seconds of a Retry-After header; None for a date or anything unreadable."""
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(seconds, MAX_RETRY_AFTER_SECONDS)
