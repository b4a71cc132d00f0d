"""Connection pools that are replaced as a whole after one connection stops responding.

Many connections can stop responding at the same time without a reset while new connections work. A
call that times out therefore retires the whole pool, so that its retry does not pick another dead
connection. Calls in flight on a retired pool continue, and the last of them closes it.
"""

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

CONNECT_TIMEOUT_SECONDS = 0.5
"""Connect timeout: many times the round trip between zones, and below the 1 s after which a lost
SYN packet is retransmitted."""
USER_TIMEOUT_MS = 1_000
"""Timeout for unacknowledged data (`TCP_USER_TIMEOUT`). It allows two or three retransmissions. A
busy peer process does not exceed it, because its kernel sends the acknowledgements."""
KEEPALIVE_IDLE_SECONDS = 1
"""Idle time before the first keepalive probe; the shortest that the kernel supports."""
KEEPALIVE_INTERVAL_SECONDS = 1
"""Interval between keepalive probes; the shortest that the kernel supports."""
MAX_KEEPALIVE_PROBES = 2


def open_session(
    keepalive_seconds: float,
    make_connector: type[aiohttp.TCPConnector] = aiohttp.TCPConnector,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session that closes connections whose peer stops acknowledging packets.

    Idle connections are kept for `keepalive_seconds`; `options` are passed to `ClientSession`.
    """
    connector = make_connector(
        limit=0, keepalive_timeout=keepalive_seconds, socket_factory=_open_socket
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
        **options,
    )


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class ConnectionPool:
    """A client session that can be replaced while calls are in flight."""

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession]) -> None:
        """Create sessions with `make_session`; must be called in a running event loop."""
        self._make_session = make_session
        self._current = make_session()
        self._calls_in_flight: dict[aiohttp.ClientSession, int] = {}

    @asynccontextmanager
    async def session(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Provide the current session for one call."""
        session = self._current
        self._calls_in_flight[session] = self._calls_in_flight.get(session, 0) + 1
        try:
            yield session
        finally:
            self._calls_in_flight[session] -= 1
            if not self._calls_in_flight[session]:
                del self._calls_in_flight[session]
                if session is not self._current:
                    await session.close()

    def retire(self, session: aiohttp.ClientSession) -> bool:
        """Replace the session for later calls; return False if it has already been replaced."""
        if session is not self._current:
            return False
        self._current = self._make_session()
        return True

    async def close(self) -> None:
        """Close all connections, including those of calls in flight."""
        for session in {self._current, *self._calls_in_flight}:
            await session.close()
