"""Limits on caller connections: their number, the time to receive a request, header sizes.

A connection that does not deliver complete headers in time is closed by the server's keep-alive
timer, which starts when the connection is accepted. The time to receive the body is limited where
the body is read.
"""

import asyncio
import ssl
from typing import Any

from aiohttp import web

from foxwinch.settings.process import CallerLimits

MAX_HEADER_FIELDS = 64
LINGERING_SECONDS = 1.0
"""Time to discard the rest of an unread body before the connection is closed."""
BACKLOG = 1_024


class RefusedConnection(asyncio.Protocol):
    """Closes a connection immediately after it is accepted."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Abort the connection without waiting for the peer."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


class CallerSite(web.BaseSite):
    """A listening socket with a limit on concurrent connections."""

    def __init__(
        self,
        runner: web.BaseRunner,
        host: str,
        port: int,
        connections: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Serve `runner`, which must be set up, with at most `connections` connections."""
        super().__init__(runner, ssl_context=tls, backlog=BACKLOG)
        self._host = host
        self._port = port
        self._connections = connections

    @property
    def name(self) -> str:
        """Return the base URL."""
        scheme = "https" if self._ssl_context else "http"
        return f"{scheme}://{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        await super().start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._new_connection,
            self._host,
            self._port,
            ssl=self._ssl_context,
            backlog=self._backlog,
        )

    def _new_connection(self) -> asyncio.Protocol:
        server = self._runner.server
        assert server is not None
        if len(server.connections) >= self._connections:
            return RefusedConnection()
        return server()


def server_options(limits: CallerLimits) -> dict[str, Any]:
    """Return the aiohttp server options that enforce the limits."""
    return {
        "keepalive_timeout": limits.read_seconds,
        "lingering_time": min(LINGERING_SECONDS, limits.read_seconds),
        "max_headers": MAX_HEADER_FIELDS,
        "max_field_size": limits.header_bytes,
        "max_line_size": limits.header_bytes,
    }
