"""Kept connections that are replaced together once one of them has gone silent.

Connections may go silent without a reset, many at the same moment, while new ones work. A call that
got no answer therefore takes the whole pool out of use: its retry must not meet the next silent
connection. Calls that are under way on the old pool go on, and close it when the last has ended.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp


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
