"""Admission of callers' requests: counts those in flight and rejects new ones while draining."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from foxwinch.gateway.errors import error_response
from foxwinch.outcomes import Reason, not_run

RETRY_AFTER_SECONDS = 1.0
"""Other nodes accept the request at once; the delay only spreads the retries."""
API_PREFIX = "/v1/"
"""Paths that are rejected while draining; health and metrics stay available."""


class AdmissionGate:
    """Counts requests in flight and rejects new ones once closed."""

    def __init__(self) -> None:
        self._closed = False
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def closed(self) -> bool:
        """Whether new requests are rejected."""
        return self._closed

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return self._running

    def close(self) -> None:
        """Reject new requests; requests in flight continue."""
        self._closed = True

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    @contextmanager
    def admitted(self) -> Iterator[None]:
        """Count one request as in flight within the context."""
        self._enter()
        try:
            yield
        finally:
            self._leave()

    def middleware(self) -> Middleware:
        """Return the aiohttp middleware that counts and rejects requests."""

        @web.middleware
        async def apply(request: web.Request, handler: Handler) -> web.StreamResponse:
            if not request.path.startswith(API_PREFIX):
                return await handler(request)
            if self._closed:
                detail = "this node is draining; retry the request on another node"
                return error_response(not_run(Reason.DRAINING, detail, RETRY_AFTER_SECONDS))
            with self.admitted():
                return await handler(request)

        return apply

    def _enter(self) -> None:
        self._running += 1
        self._idle.clear()

    def _leave(self) -> None:
        self._running -= 1
        if self._running == 0:
            self._idle.set()
