"""Stand-ins for the platform's workers: a model worker and a worker of a plain service."""

import asyncio
import time
from typing import NamedTuple

from standins.record import Record
from standins.store import Store
from standins.wire import Head, encode_chunk, encode_head, encode_message, read_body, read_head

HEARTBEAT_SECONDS = 1.2
SLOTS = 16


class Received(NamedTuple):
    """A request as the worker received it."""

    head: Head
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.head.headers.get("request-id", "")


class Worker:
    """Accepts connections, checks the expected instance and keeps its entry in the store."""

    def __init__(self, worker_id: str, service: str, zone: str, store: Store, record: Record):
        """Describe a worker that `start` makes known."""
        self.worker_id = worker_id
        self.running = 0
        """Requests being worked on."""
        self.ran: set[str] = set()
        """Ids of the requests that it began to run."""
        self._service = service
        self._zone = zone
        self._store = store
        self._record = record
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._heartbeat: asyncio.Task[None] | None = None
        self._born = int(1e3 * time.time())
        self._sequence = 0
        self._address = ""

    async def start(self) -> None:
        """Listen on a free loopback port and write the entry."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"
        self._heartbeat = asyncio.ensure_future(self._write_entries())

    async def stop(self) -> None:
        """Close the listener and the connections."""
        assert self._server is not None
        assert self._heartbeat is not None
        self._server.close()
        for task in (*self._tasks, self._heartbeat):
            task.cancel()
        await asyncio.gather(*self._tasks, self._heartbeat, return_exceptions=True)

    async def respond(self, received: Received, writer: asyncio.StreamWriter) -> None:
        """Run a request and write its answer."""
        raise NotImplementedError

    async def _write_entries(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self._service,
                "address": self._address,
                "zone": self._zone,
                "version": "1",
                "slots": SLOTS,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self._sequence,
                "born": self._born,
            }
            self._store.put("servers", self.worker_id, entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                await self._serve_one(Received(head, await read_body(reader, head.headers)), writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _serve_one(self, received: Received, writer: asyncio.StreamWriter) -> None:
        if received.head.headers.get("expect-instance") != self.worker_id:
            headers = {"Request-Id": received.request_id, "Instance": self.worker_id}
            writer.write(encode_message("HTTP/1.1 421 Misdirected Request", headers, b""))
            await writer.drain()
            return
        self._record.write(f"worker {self.worker_id} runs {received.request_id}")
        self.running += 1
        self.ran.add(received.request_id)
        try:
            await self.respond(received, writer)
            await writer.drain()
        finally:
            self.running -= 1
        self._record.write(f"worker {self.worker_id} ends {received.request_id}")

    def stamped_headers(self, received: Received) -> dict[str, str]:
        """Return the headers of every answer."""
        stamp = f"{self.worker_id}.{received.request_id}"
        return {"Request-Id": received.request_id, "Response-Stamp": stamp}


class PlainWorker(Worker):
    """Answers each request with a body that begins with the request's id."""

    work_seconds = 0.05
    body_bytes = 800

    async def respond(self, received: Received, writer: asyncio.StreamWriter) -> None:
        """Work for a time and send the body."""
        await asyncio.sleep(self.work_seconds)
        body = (received.request_id.encode() + b" ").ljust(self.body_bytes, b".")
        headers = {**self.stamped_headers(received), "Content-Type": "application/octet-stream"}
        writer.write(encode_message("HTTP/1.1 200 OK", headers, body))


class ModelWorker(Worker):
    """Answers each request with a stream of events."""

    events = 25
    interval_seconds = 0.04

    async def respond(self, received: Received, writer: asyncio.StreamWriter) -> None:
        """Send the events one after another, beginning after `Last-Event-Id`."""
        headers = {
            **self.stamped_headers(received),
            "Content-Type": "text/event-stream",
            "Weight-Versions": "1",
        }
        writer.write(encode_head("HTTP/1.1 200 OK", {**headers, "Transfer-Encoding": "chunked"}))
        first = int(received.head.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.interval_seconds)
            event = f"id: {number}\ndata: {self.text(received, number)}\n\n"
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def text(self, received: Received, number: int) -> str:
        """Return the data of an event."""
        return f"{received.request_id}-{number}"
