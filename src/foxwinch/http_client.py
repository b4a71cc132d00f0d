"""HTTP requests whose failures are values that state whether the request may have taken effect.

Only a failure to connect is certainly `not_run`. After a connection was made, any failure may have
happened after the effect. aiohttp itself retries a GET, PUT or DELETE if a persistent connection
turns out to be closed, but never a POST. It resends a request when it follows a redirect, so
redirects are not followed here.
"""

import asyncio
import math
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from foxwinch.outcomes import Reason, Refused, RunState, not_run, outcome_unknown

CONNECT_TIMEOUT_SECONDS = 3.0
"""Connect timeout; backends and the platform are close."""
MAX_RETRY_AFTER_SECONDS = 3_600.0
"""Upper limit of accepted Retry-After values."""
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
"""Limit of a response body, which is kept in memory; a node has 256 MB."""
HEADER_RUN_STATE = "x-run-state"
"""Header in which a service states that a failed request did not run; without it, the run state of
a 5xx response is `unknown`."""
HEADER_RETRY_AFTER = "Retry-After"
STATUS_CLIENT_ERROR = 400
STATUS_TOO_MANY_REQUESTS = 429
STATUS_SERVER_ERROR = 500


def new_session(keep_alive: bool = True) -> aiohttp.ClientSession:
    """Return a new session, which the caller closes; must be called in a running event loop.

    Without `keep_alive`, each request uses a new connection. A request on a persistent
    connection that the server is just closing would have an unknown outcome.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=not keep_alive)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_SECONDS),
    )


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request."""

    method: str
    url: str
    timeout_seconds: float
    """Timeout until the complete response has arrived."""
    body: bytes | None = None
    headers: Mapping[str, str] | None = None
    parameters: Mapping[str, str] | None = None


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response of any status."""

    status: int
    body: bytes
    retry_after_seconds: float | None
    run_state: str | None
    """Run state that the service reports, if any."""


@dataclass(frozen=True, slots=True)
class RemoteService:
    """Name of a service in error messages, and the reasons for its failures."""

    name: str
    unavailable: Reason
    timed_out: Reason
    """Reason for a timeout."""


async def send_request(
    session: aiohttp.ClientSession, service: RemoteService, request: HttpRequest
) -> HttpResponse | Refused:
    """Send a request once and read the complete response."""
    if not _has_valid_headers(request):
        return not_run(Reason.INVALID_REQUEST, "a header value contains control characters")
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
                return outcome_unknown(
                    service.unavailable, f"{service.name} returned too large a response"
                )
            retry_after = parse_retry_after(response.headers.get(HEADER_RETRY_AFTER))
            run_state = response.headers.get(HEADER_RUN_STATE)
            return HttpResponse(response.status, body, retry_after, run_state)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return not_run(service.unavailable, f"cannot connect to {service.name}")
    except (aiohttp.InvalidURL, aiohttp.NonHttpUrlClientError):
        return not_run(Reason.INVALID_REQUEST, f"{service.name} has an invalid address")
    except TimeoutError:
        detail = f"{service.name} did not respond within {request.timeout_seconds} s"
        return outcome_unknown(service.timed_out, detail)
    except (aiohttp.ClientError, OSError) as error:
        error_name = type(error).__name__
        return outcome_unknown(
            service.unavailable, f"connection to {service.name} failed: {error_name}"
        )


def _has_valid_headers(request: HttpRequest) -> bool:
    return all(value.isprintable() for value in (request.headers or {}).values())


async def _read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the body, or None if it exceeds `MAX_RESPONSE_BYTES`."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            return None
    return bytes(body)


def refusal_for_status(service: RemoteService, response: HttpResponse) -> Refused:
    """Return the refusal for a status that the adapter does not handle itself.

    429 and other client errors mean that the request did not run. After a redirect, another success
    status or a server error the effect is unknown, unless the service reports the run state.
    """
    detail = f"{service.name} returned status {response.status}"
    if response.status < STATUS_CLIENT_ERROR:
        return outcome_unknown(service.unavailable, detail)
    if response.status == STATUS_TOO_MANY_REQUESTS:
        return not_run(Reason.RATE_LIMITED, detail, response.retry_after_seconds)
    if response.status < STATUS_SERVER_ERROR:
        if response.run_state == RunState.UNKNOWN:
            return outcome_unknown(Reason.INVALID_REQUEST, detail)
        return not_run(Reason.INVALID_REQUEST, detail)
    if response.run_state == RunState.NOT_RUN:
        return not_run(service.unavailable, detail, response.retry_after_seconds)
    return Refused(service.unavailable, RunState.UNKNOWN, detail, response.retry_after_seconds)


def malformed_response(service: RemoteService) -> Refused:
    """Return the refusal for a malformed response: the request may have taken effect."""
    return outcome_unknown(service.unavailable, f"{service.name} returned a malformed response")


def parse_retry_after(value: str | None) -> float | None:
    """Return the seconds of a Retry-After header; None for a date or a malformed value."""
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(seconds, MAX_RETRY_AFTER_SECONDS)
