"""The caller side's gate: counts requests in progress and refuses new ones while draining."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from foxwinch.gateway.errors import error_response
from foxwinch.outcomes import Reason, not_run

RETRY_AFTER_SECONDS = 1.0
"""Another node takes the request at once; the wait only spreads the callers."""
WORK_PREFIX = "/v1/"
"""Paths under which requests do work; health and metrics stay open while draining."""


class AdmissionGate:
    """Open until `close`; `wait_idle` returns when no request is in progress."""

    def __init__(self) -> None:
        """Start open and idle."""
        self._closed = False
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def closed(self) -> bool:
        """True when new requests are refused."""
        return self._closed

    @property
    def running(self) -> int:
        """Requests in progress."""
        return self._running

    def close(self) -> None:
        """Refuse every request from now on; those in progress go on."""
        self._closed = True

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    @contextmanager
    def admitted(self) -> Iterator[None]:
        """Count one request as in progress."""
        self._enter()
        try:
            yield
        finally:
            self._leave()

    def middleware(self) -> Middleware:
        """Return the middleware that applies the gate."""

        @web.middleware
        async def apply(request: web.Request, handler: Handler) -> web.StreamResponse:
            if not request.path.startswith(WORK_PREFIX):
                return await handler(request)
            if self._closed:
                detail = "this node is about to stop; send the request again to another node"
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
