"""An aiohttp application as an aiomisc service that exposes its bound port."""

import ssl
from typing import Any

from aiohttp import web
from aiomisc import Service

from foxwinch.gateway.connections import CallerSite, server_options
from foxwinch.settings.process import CallerLimits

SHUTDOWN_SECONDS = 2.0
"""Grace period of running handlers at shutdown; normally a drain has finished them before."""


class HttpService(Service):
    """HTTP listener on `host:port`; `bound_port` is the actual port once started."""

    host: str = "127.0.0.1"
    port: int = 0
    tls: ssl.SSLContext | None = None
    limits: CallerLimits | None = None
    bound_port: int = 0
    handler_cancellation: bool = True
    """Whether a handler is cancelled when its client disconnects."""

    def __init__(self, application: web.Application, **kwargs: Any) -> None:
        """Serve `application`; keyword arguments override the class attributes."""
        super().__init__(**kwargs)
        self._application = application
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Bind the socket and start serving."""
        limits = self.limits or CallerLimits()
        self._runner = web.AppRunner(
            self._application,
            access_log=None,
            handle_signals=False,
            handler_cancellation=self.handler_cancellation,
            shutdown_timeout=SHUTDOWN_SECONDS,
            **server_options(limits),
        )
        await self._runner.setup()
        site = CallerSite(self._runner, self.host, self.port, limits.connections, self.tls)
        await site.start()
        self.bound_port = self._runner.addresses[0][1]

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
