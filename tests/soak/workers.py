"""Workers of the soak: they run requests, report them to the checker and inject faults."""

import asyncio
import json
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from aiohttp import web

from fake_worker import CrashKind
from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.identifiers import PeerAddress
from soak.disruptions import WORKERS, DisruptionLog
from soak.invariants import InvariantChecker, Run

EVENTS = 8
"""Number of events in a complete stream, and the id of the last one."""
MAX_EVENT_PAUSE_SECONDS = 0.04
DRAIN_SECONDS = 2.0
"""Bound from storing a drain until undisrupted nodes send no more requests: `drain_ms`."""
TABLE = "servers"
FATAL = b"fatal"
"""Part of a body on which a worker crashes."""
FAILURE_PROBABILITY = 0.3
"""Probability that a worker answers a fatal request with a failure in place of running it."""
FAILURE_STATUSES = (500, 502, 504)
LISTED_SECONDS = (0.0, 1.2)
"""Range of the time from a restart under the same id to its entry."""
RUN_SECONDS = (0.1, 1.5)
"""Range of the time that a request may run before it crashes its worker."""
AFTER_RESET_SECONDS = (0.0, 3.0)
"""Range of the time from the reset of its connection to the crash of a worker."""
SENDER_KILL_PROBABILITY = 0.25
"""Probability that the node which sent a fatal request is killed as its worker crashes."""
DOWN_SECONDS = (0.5, 2.5)
"""Range of the time from a crash until the successor of the worker listens."""
ENDLESS_BLOCK = b"x" * 65_536
ENDLESS_HEADS = (
    b"",
    b"HTTP/1.1 200 OK\r\nX: ",
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\nResponse-Stamp: s\r\nRequest-Id: ",
)
"""Starts of endless responses; the request's id and an empty line follow the last one."""
NUMBER_WITHOUT_REPORT = 4
"""Number of the worker whose health checks do not name its start."""
UPGRADE_SECONDS = 0.3
"""Time from the entry of an upgraded worker until it accepts connections."""


@dataclass
class WorkerFaults:
    """Probability of each fault per request, and the added delay."""

    shed: float = 0.0
    disconnect: float = 0.0
    unresponsive: float = 0.0
    endless: float = 0.0
    """Probability of bytes without end in place of a response."""
    delay_seconds: float = 0.0


class SoakWorker:
    """A worker on loopback behind a fault proxy, with its entry in the worker list of the store."""

    def __init__(
        self,
        number: int,
        model: RecordStoreModel,
        checker: InvariantChecker,
        disruptions: DisruptionLog,
        rng: random.Random,
    ) -> None:
        self.faults = WorkerFaults()
        self.kill_node: Callable[[str], None] = lambda node: None
        """Kills a node at once and starts it again."""
        self.proxy: FaultProxy | None = None
        self._number = number
        self._model = model
        self._checker = checker
        self._disruptions = disruptions
        self._rng = rng
        self._runner: web.AppRunner | None = None
        self._worker_id = f"w{number}"
        self.software_version = "v1"
        self._incarnation = 0
        self._entry_sequence = 0
        self._draining_at: float | None = None
        self._crash_task: asyncio.Task[None] | None = None
        self._late_crashes: set[asyncio.Task[None]] = set()

    @property
    def is_ready(self) -> bool:
        """Whether the worker is listed as ready and reachable."""
        assert self.proxy is not None
        return self._draining_at is None and not self.proxy.faults.refuse

    async def start(self) -> None:
        """Listen on a free port and register in the worker list."""
        application = web.Application(client_max_size=1 << 24)
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.proxy = FaultProxy(PeerAddress(*self._runner.addresses[0][:2]), seed=self._number)
        await self.proxy.start()
        self.start_incarnation(same_id=True)

    async def stop(self) -> None:
        """Close the proxy and the server."""
        tasks = [*self._late_crashes, *([self._crash_task] if self._crash_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.proxy is not None:
            await self.proxy.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def upgrade(self, software_version: str, same_id: bool) -> None:
        """Restart with another software version; it is reachable once its entry is known."""
        assert self.proxy is not None
        self.proxy.set_faults(refuse=True)
        self.software_version = software_version
        self.start_incarnation(same_id)
        await asyncio.sleep(UPGRADE_SECONDS)
        self.proxy.set_faults(refuse=False)

    def start_incarnation(self, same_id: bool) -> None:
        """Restart without any state, under the same id or a new one."""
        if self.proxy is not None:
            self.proxy.reset()
        if not same_id:
            self._model.remove(TABLE, self._worker_id)
            self._worker_id = f"w{self._number}-{self._incarnation}"
        self._incarnation += 1
        self._entry_sequence = 0
        self._draining_at = None
        self._write_entry("ready")

    @property
    def _started_ms(self) -> int:
        return 1_790_000_000_000 + self._incarnation

    @property
    def is_down(self) -> bool:
        """Whether the worker has crashed and its successor has not started."""
        return self._crash_task is not None and not self._crash_task.done()

    def crash(self) -> None:
        """End at once, in one of the ways that its callers may notice; a successor starts later."""
        if self.is_down:
            return
        assert self.proxy is not None
        kind = self._rng.choice(tuple(CrashKind))
        if kind is CrashKind.UNREACHABLE:
            self.proxy.stall()
        else:
            self.proxy.reset()
        self._crash_task = asyncio.ensure_future(self._run_crash(kind))

    async def _run_crash(self, kind: CrashKind) -> None:
        assert self.proxy is not None
        with self._disruptions.span(WORKERS, "crash"):
            if kind is CrashKind.RESTARTS:
                self._incarnation += 1
                await asyncio.sleep(self._rng.uniform(*LISTED_SECONDS))
                self._entry_sequence, self._draining_at = 0, None
                self._write_entry("ready")
                return
            if kind is CrashKind.REFUSES:
                await self.proxy.stop()
                await asyncio.sleep(self._rng.uniform(*DOWN_SECONDS))
                await self.proxy.start()
            else:
                self.proxy.set_faults(block_to_target=True, block_to_client=True)
                await asyncio.sleep(self._rng.uniform(*DOWN_SECONDS))
                self.proxy.set_faults(block_to_target=False, block_to_client=False)
            self.start_incarnation(same_id=self._rng.random() < 0.3)

    def drain(self) -> None:
        """Announce a drain in the worker list while the worker keeps serving."""
        self._write_entry("draining")
        self._draining_at = self._disruptions.now()

    def _write_entry(self, state: str) -> None:
        assert self.proxy is not None
        self._entry_sequence += 1
        entry = {
            "service": "s",
            "address": f"{self.proxy.address.host}:{self.proxy.address.port}",
            "zone": f"z{self._number % 2}",
            "version": self.software_version,
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._entry_sequence,
            "born": self._started_ms,
        }
        self._model.put(TABLE, self._worker_id, json.dumps(entry).encode())

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request["body"] = body = await request.read()
        request_id = request.headers.get("Request-Id", "")
        headers = {"Request-Id": request_id}
        if not request_id:
            # Health checks are answered whichever worker they expect.
            return self._report()
        if request.headers.get("Expect-Instance") != self._worker_id:
            return web.Response(status=421, headers={**headers, "Instance": self._worker_id})
        self._check_drain(request_id)
        if self._rng.random() < self.faults.shed:
            return web.Response(status=503, headers={**headers, "Not-Run": "1"})
        first_event = int(request.headers.get("Last-Event-Id", 0)) + 1
        software_version = self.software_version
        self._checker.record_run(Run(request_id, body, first_event))
        if (response := await self._respond_early(request_id, body)) is not None:
            return response
        if self._rng.random() < self.faults.endless:
            return await self._send_endlessly(request)
        if self._rng.random() < self.faults.unresponsive:
            await asyncio.sleep(30)
        await asyncio.sleep(self._rng.random() * 0.02 + self.faults.delay_seconds)
        headers["Response-Stamp"] = f"stamp-{request_id}"
        if request.path.startswith(("/plan/", "/kept/")):
            return await self._stream(request, first_event, headers, software_version)
        if FATAL in body:
            return await self._crash_on(request_id)
        if self._disconnects(request):
            return web.Response()
        return web.Response(body=f"{request_id} done".encode(), headers=headers)

    async def _respond_early(self, request_id: str, body: bytes) -> web.Response | None:
        """Fail a fatal request without running it or crash on it at once; None for others."""
        if FATAL not in body:
            return None
        if self._rng.random() < FAILURE_PROBABILITY:
            status = self._rng.choice(FAILURE_STATUSES)
            headers = {"Request-Id": request_id, "Response-Stamp": f"stamp-{request_id}"}
            return web.Response(status=status, body=b"failed", headers=headers)
        return await self._crash_on(request_id) if self._rng.random() < 0.5 else None

    async def _crash_on(self, request_id: str) -> web.Response:
        chance = self._rng.random()
        if chance < 0.3:
            # Such a worker ends although its caller has left.
            self._start_crash(request_id, self._rng.uniform(*RUN_SECONDS))
        elif chance < 0.45 and self.proxy is not None:
            self._start_crash(request_id, self._rng.uniform(*AFTER_RESET_SECONDS))
            self.proxy.reset()
        elif not self.is_down:
            self._crash_by(request_id)
        # The crash resets the connection, which cancels this handler.
        await asyncio.sleep(30)
        return web.Response()

    def _start_crash(self, request_id: str, seconds: float) -> None:
        crash = asyncio.ensure_future(self._crash_later(request_id, seconds))
        self._late_crashes.add(crash)
        crash.add_done_callback(self._late_crashes.discard)

    async def _crash_later(self, request_id: str, seconds: float) -> None:
        incarnation = self._incarnation
        await asyncio.sleep(seconds)
        if not self.is_down and self._incarnation == incarnation:
            self._crash_by(request_id)

    def _crash_by(self, request_id: str) -> None:
        """Crash on a request, and sometimes let the node be killed that sent it."""
        self._checker.record_crash(request_id)
        attempt = self._checker.attempts.get(request_id)
        if attempt is not None and self._rng.random() < SENDER_KILL_PROBABILITY:
            self.kill_node(attempt.node)
        self.crash()

    async def _send_endlessly(self, request: web.Request) -> web.Response:
        transport = request.transport
        head = self._rng.choice(ENDLESS_HEADS)
        if head.endswith(b"Request-Id: "):
            head += request.headers["Request-Id"].encode() + b"\r\n\r\n"
        if transport is not None:
            transport.write(head)
        while transport is not None and not transport.is_closing():
            transport.write(ENDLESS_BLOCK)
            await asyncio.sleep(0.005 if transport.get_write_buffer_size() else 0)
        return web.Response()

    def _report(self) -> web.Response:
        """Return the worker's report; the last worker's has no start."""
        report = {} if self._number == NUMBER_WITHOUT_REPORT else {"born": self._started_ms}
        return web.json_response(report, headers={"Instance": self._worker_id})

    def _check_drain(self, request_id: str) -> None:
        """Report a request of an undisrupted node that comes too long after the stored drain."""
        if self._draining_at is None:
            return
        self._checker.outcomes["requests at draining workers"] += 1
        attempt = self._checker.attempts.get(request_id)
        seconds = self._disruptions.now() - self._draining_at
        if attempt is None or seconds <= DRAIN_SECONDS:
            return
        if self._disruptions.is_undisrupted(attempt.node):
            self._checker.report_request_after_drain(request_id, attempt.node, seconds)

    async def _stream(
        self,
        request: web.Request,
        first_event: int,
        headers: dict[str, str],
        software_version: str,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        with suppress(ConnectionError):
            for number in range(first_event, EVENTS + 1):
                data = f"{headers['Request-Id']} {number} {software_version}"
                event = f"id: {number}\ndata: {data}\n\n".encode()
                if self._disconnects(request, response, event):
                    return response
                if number > first_event and self._is_fatal(request):
                    await self._crash_on(headers["Request-Id"])
                    return response
                await response.write(event)
                await asyncio.sleep(self._rng.random() * MAX_EVENT_PAUSE_SECONDS)
            await response.write_eof()
        return response

    def _is_fatal(self, request: web.Request) -> bool:
        """Return whether a request crashes the worker midway."""
        return request.get("body", b"").find(FATAL) >= 0

    def _disconnects(
        self, request: web.Request, response: web.StreamResponse | None = None, event: bytes = b""
    ) -> bool:
        if self._rng.random() >= self.faults.disconnect:
            return False
        if request.transport is not None:
            if response is not None:
                request.transport.write(b"%x\r\n" % len(event) + event[: len(event) // 2])
            request.transport.close()
        return True
