"""Workers of the soak: they run requests, tell the promises so, and fail as they are told."""

import asyncio
import json
import random
from contextlib import suppress
from dataclasses import dataclass

from aiohttp import web

from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.identifiers import PeerAddress
from soak.promises import Promises, Run
from soak.troubles import Troubles

EVENTS = 5
"""Of a whole stream; the last one has this id."""
DRAIN_SECONDS = 2.0
"""After the store has taken a drain until no node in touch may send more: `drain_ms`."""
TABLE = "servers"


@dataclass
class WorkerFaults:
    """Chances of each fault, for each request."""

    shed: float = 0.0
    break_off: float = 0.0
    silent: float = 0.0
    slow_seconds: float = 0.0


class SoakWorker:
    """One worker on loopback behind a proxy; it keeps its entry in the store's list."""

    def __init__(
        self,
        number: int,
        model: RecordStoreModel,
        promises: Promises,
        troubles: Troubles,
        draws: random.Random,
    ) -> None:
        self.faults = WorkerFaults()
        self.proxy: FaultProxy | None = None
        self._number = number
        self._model = model
        self._promises = promises
        self._troubles = troubles
        self._draws = draws
        self._runner: web.AppRunner | None = None
        self._id = f"w{number}"
        self._life = 0
        self._entries = 0
        self._draining_at: float | None = None

    async def start(self) -> None:
        """Listen on a free port and be listed."""
        application = web.Application(client_max_size=1 << 24)
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.proxy = FaultProxy(PeerAddress(*self._runner.addresses[0][:2]), seed=self._number)
        await self.proxy.start()
        self.begin_life(same_id=True)

    async def stop(self) -> None:
        """Drop everything."""
        if self.proxy is not None:
            await self.proxy.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def begin_life(self, same_id: bool) -> None:
        """Start again, knowing nothing of before, under the same id or another one."""
        if self.proxy is not None:
            self.proxy.reset()
        if not same_id:
            self._model.remove(TABLE, self._id)
            self._id = f"w{self._number}-{self._life}"
        self._life += 1
        self._entries = 0
        self._draining_at = None
        self._write("ready")

    def drain(self) -> None:
        """Say that it leaves; it serves on."""
        self._write("draining")
        self._draining_at = self._troubles.now()

    def _write(self, state: str) -> None:
        assert self.proxy is not None
        self._entries += 1
        entry = {
            "service": "s",
            "address": f"{self.proxy.address.host}:{self.proxy.address.port}",
            "zone": f"z{self._number % 2}",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._entries,
            "born": 1_790_000_000_000 + self._life,
        }
        self._model.put(TABLE, self._id, json.dumps(entry).encode())

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get("Request-Id", "")
        headers = {"Request-Id": request_id}
        if request.headers.get("Expect-Instance") != self._id:
            return web.Response(status=421, headers={**headers, "Instance": self._id})
        self._check_drain(request_id)
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

    def _check_drain(self, request_id: str) -> None:
        """Hold a request of a node in touch against the drain that the store has taken."""
        if self._draining_at is None:
            return
        self._promises.outcomes["requests at draining workers"] += 1
        attempt = self._promises.attempts.get(request_id)
        seconds = self._troubles.now() - self._draining_at
        if attempt is None or seconds <= DRAIN_SECONDS:
            return
        if self._troubles.in_touch(attempt.node):
            self._promises.drained_worker_asked(request_id, attempt.node, seconds)

    async def _stream(
        self, request: web.Request, request_id: str, first: int, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        with suppress(ConnectionError):
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
