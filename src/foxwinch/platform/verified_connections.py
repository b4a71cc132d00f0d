"""Connections to workers whose start is known.

A worker may start again under its id and address. A connection belongs to one process, so what a
worker's report tells on it holds for all requests that are sent on it later.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from foxwinch.core.routing.directory import Worker

MAX_IDLE_PER_WORKER = 8
MAX_WORKERS = 256
"""Number of incarnations whose idle connections are kept."""


class ConnectionGoneError(aiohttp.ClientError):
    """The connection of a verified session is closed; nothing was sent."""


class SingleConnector(aiohttp.TCPConnector):
    """Opens one connection and never another one."""

    _has_opened = False

    async def _create_connection(self, *arguments: Any, **options: Any) -> ResponseHandler:
        if self._has_opened:
            raise ConnectionGoneError("the connection was closed")
        self._has_opened = True
        return await super()._create_connection(*arguments, **options)


class VerifiedSessions:
    """Sessions of one connection each, by the incarnation that has reported its start on it."""

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession]) -> None:
        """Create sessions with `make_session`, whose connectors open one connection only."""
        self._make_session = make_session
        self._idle: dict[str, list[aiohttp.ClientSession]] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def take(self, worker: Worker) -> aiohttp.ClientSession | None:
        """Return an idle session of an incarnation, if there is one."""
        idle = self._idle.get(worker.incarnation)
        return idle.pop() if idle else None

    def open(self) -> aiohttp.ClientSession:
        """Return a session that has not been verified."""
        return self._make_session()

    def give_back(self, worker: Worker, session: aiohttp.ClientSession) -> None:
        """Keep a verified session for the next request to its incarnation."""
        if worker.incarnation not in self._idle and len(self._idle) >= MAX_WORKERS:
            for each in self._idle.pop(next(iter(self._idle))):
                self.discard(each)
        idle = self._idle.setdefault(worker.incarnation, [])
        if len(idle) < MAX_IDLE_PER_WORKER:
            idle.append(session)
        else:
            self.discard(session)

    def discard(self, session: aiohttp.ClientSession) -> None:
        """Close a session without waiting."""
        task = asyncio.ensure_future(session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all idle sessions."""
        for sessions in self._idle.values():
            for session in sessions:
                await session.close()
        self._idle.clear()
        await asyncio.gather(*self._closing)
