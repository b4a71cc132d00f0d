"""A sound worker of the platform: runs requests, reports its start, and keeps its entry.

It runs a request only if it is the expected instance and has a free slot, answers each with its id
and a signature, and stops when the connection of a request is closed.
"""

import asyncio
import json
import time
from collections.abc import Callable

from aiohttp import web
from record import Record

TABLE = "servers"


class Worker:
    """A worker on loopback."""

    def __init__(
        self,
        worker_id: str,
        service: str,
        zone: str,
        record: Record,
        put: Callable,
        remove: Callable,
    ) -> None:
        """Write the entry with `put(table, key, value)` and drop it with `remove(table, key)`."""
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.slots = 12
        self.events = 11
        self.pause_seconds = 0.02
        self.plain_seconds = 0.02
        self.state = "ready"
        self.version = "v1"
        self.address = ""
        self.running = 0
        self.most_running = 0
        self.events_sent: dict[str, int] = {}
        self._record = record
        self._put = put
        self._remove = remove
        self._born_ms = 0
        self._seq = 0
        self._runner: web.AppRunner | None = None
        self.on_request: Callable | None = None
        """Called with a request before its answer; a response that it returns is sent instead."""

    async def start(self, port: int = 0) -> None:
        """Listen and write the entry."""
        application = web.Application(client_max_size=1 << 24)
        application.router.add_get("/v1/report", self._report)
        application.router.add_get("/health", self._report)
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            application, access_log=None, handler_cancellation=True, shutdown_timeout=0.05
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self._born_ms = int(1e3 * time.time())
        self.write_entry()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def write_entry(self, state: str = "ready") -> None:
        """Write the entry in the list of workers."""
        self.state = state
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born_ms,
        }
        self._put(TABLE, self.worker_id, json.dumps(entry).encode())
        self._record.add("entry", worker=self.worker_id, state=state)

    def drop_entry(self) -> None:
        """Remove the entry from the list of workers."""
        self._remove(TABLE, self.worker_id)
        self._record.add("entry", worker=self.worker_id, state="gone")

    async def _report(self, _: web.Request) -> web.Response:
        report = {"born": self._born_ms, "running": self.running, "queued": 0}
        return web.json_response(report, headers={"Instance": self.worker_id})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("Request-Id", "")
        headers = {"Request-Id": request_id, "Instance": self.worker_id}
        if request.headers.get("Expect-Instance", self.worker_id) != self.worker_id:
            return web.Response(status=421, headers=headers)
        body = await request.read()
        if self.running >= self.slots:
            return web.Response(status=503, headers={**headers, "Not-Run": "1"})
        self._record.add(
            "run",
            worker=self.worker_id,
            request=request_id,
            program=request.headers.get("Program"),
            previous=request.headers.get("Previous-Turn"),
            path=request.path,
            body=body.decode(),
            last_event=request.headers.get("Last-Event-Id"),
            running=self.running,
        )
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        how = "cut"
        try:
            if self.on_request is not None:
                special = await self.on_request(self, request, body)
                if special is not None:
                    how = "special"
                    return special
            headers["Response-Stamp"] = f"stamp-{self.worker_id}-{request_id}"
            if "/stream/" in request.path or "/kept/" in request.path:
                response = await self._stream(request, headers, body)
            else:
                await asyncio.sleep(self.plain_seconds)
                response = web.Response(body=f"done {request_id}".encode(), headers=headers)
            how = "whole"
            return response
        finally:
            self.running -= 1
            self._record.add("run_ended", worker=self.worker_id, request=request_id, how=how)

    async def _stream(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Send events whose data depends on the prompt and their number only."""
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_seconds)
            data = f"out-{len(body)}-{number}"
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
        await response.write_eof()
        return response
