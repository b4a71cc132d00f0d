"""Kept connections that are replaced together once one of them has gone silent.

Connections may go silent without a reset, many at the same moment, while new ones work. A call that
got no answer therefore takes the whole pool out of use: its retry must not meet the next silent
connection. Calls that are under way on the old pool go on, and close it when the last has ended.
"""

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

CONNECT_SECONDS = 0.5
"""Until another way is tried: many times the way between zones, and below the second after which
a lost opening packet is sent again."""
UNACKNOWLEDGED_MS = 1_000
"""Until a connection whose peer acknowledges nothing is given up: lost packets are sent again two
or three times within it, and a busy process does not delay it, as its system acknowledges."""
PROBE_IDLE_SECONDS = 1
"""Before an idle connection is probed; the shortest that the system knows."""
PROBE_SECONDS = 1
"""Between probes; the shortest that the system knows."""
MAX_PROBES = 2


def open_session(kept_seconds: float, **options: Any) -> aiohttp.ClientSession:
    """Open a session whose connections are closed once their peer is silent at the system's level.

    Idle connections are kept for `kept_seconds`; `options` go to the session.
    """
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=kept_seconds, socket_factory=_open_socket
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        **options,
    )


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return opened


class ConnectionPool:
    """A client session that can be replaced while calls are under way."""

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession]) -> None:
        """Open sessions by `make_session`; call on the running loop."""
        self._make_session = make_session
        self._current = make_session()
        self._calls: dict[aiohttp.ClientSession, int] = {}

    @asynccontextmanager
    async def session(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Lend the newest session for one call."""
        session = self._current
        self._calls[session] = self._calls.get(session, 0) + 1
        try:
            yield session
        finally:
            self._calls[session] -= 1
            if not self._calls[session]:
                del self._calls[session]
                if session is not self._current:
                    await session.close()

    def retire(self, session: aiohttp.ClientSession) -> bool:
        """Let later calls open connections of their own; False when they do so already."""
        if session is not self._current:
            return False
        self._current = self._make_session()
        return True

    async def close(self) -> None:
        """Close every connection, those of calls under way too."""
        for session in {self._current, *self._calls}:
            await session.close()
