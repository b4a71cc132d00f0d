"""Workers of the soak: they run requests, tell the promises so, and fail as they are told."""

import asyncio
import random
from dataclasses import dataclass

from aiohttp import web

from soak.promises import Promises, Run

EVENTS = 5
"""Of a whole stream; the last one has this id."""


@dataclass
class WorkerFaults:
    """Chances of each fault, for each request."""

    shed: float = 0.0
    break_off: float = 0.0
    silent: float = 0.0
    slow_seconds: float = 0.0


class SoakWorker:
    """One worker on loopback."""

    def __init__(self, promises: Promises, draws: random.Random) -> None:
        self.faults = WorkerFaults()
        self.address = ""
        self._promises = promises
        self._draws = draws
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        application = web.Application(client_max_size=1 << 24)
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Drop everything."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get("Request-Id", "")
        headers = {"Request-Id": request_id}
        if self._draws.random() < self.faults.shed:
            return web.Response(status=503, headers={**headers, "Not-Run": "1"})
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        self._promises.ran(Run(request_id, body, first))
        if self._draws.random() < self.faults.silent:
            await asyncio.sleep(30)
        await asyncio.sleep(self._draws.random() * 0.02 + self.faults.slow_seconds)
        headers["Response-Stamp"] = f"stamp-{request_id}"
        if request.path.startswith(("/plan/", "/kept/")):
            return await self._stream(request, request_id, first, headers)
        if self._breaks_off(request):
            return web.Response()
        return web.Response(body=f"{request_id} done".encode(), headers=headers)

    async def _stream(
        self, request: web.Request, request_id: str, first: int, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            if self._breaks_off(request, response, event):
                return response
            await response.write(event)
            await asyncio.sleep(self._draws.random() * 0.02)
        await response.write_eof()
        return response

    def _breaks_off(
        self, request: web.Request, response: web.StreamResponse | None = None, event: bytes = b""
    ) -> bool:
        if self._draws.random() >= self.faults.break_off:
            return False
        if request.transport is not None:
            if response is not None:
                request.transport.write(b"%x\r\n" % len(event) + event[: len(event) // 2])
            request.transport.close()
        return True
