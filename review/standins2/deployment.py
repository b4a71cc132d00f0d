"""A small deployment on loopback: nodes as the deploy file starts them, with stand-ins around them.

The nodes are separate processes. The store is the project's emulated one; workers and callers are
small ones that follow the users' pages. All of them run in the process of the case.
"""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from record import Record
from worker import Worker

from foxwinch.clock import SystemClock
from foxwinch.emulator.http_record_store import RecordStoreHandlers
from foxwinch.emulator.record_store import RecordStoreModel

ROOT = Path(__file__).resolve().parents[2]
HOST = "seats.example"
READY_SECONDS = 20.0
CONTACT_SECONDS = 3.0
RECOVER_SECONDS = 12.0
GRACE_SECONDS = 8
PORTS = (12_000, 32_000)
START_TRIES = 3
RESTART_SECONDS = 1.0
"""Time from the end of a process to its next start by the platform."""
SETTINGS = """
name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "cymru"
grace_seconds = {grace}

[listen]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
peers = "127.0.0.1:{peers}"
metrics = "127.0.0.1:{metrics}"

[store]
address = "{store}"
row_bytes = 65536
notice_ms = 3000
heartbeat_ms = 1200
"""


def configuration(version: int = 1, **changes: object) -> bytes:
    """Return the operator's configuration, with a route of each kind that the cases use."""
    stream = {
        "host": HOST,
        "service": "llm",
        "type": "stream",
        "timeout_ms": 3000,
        "target_ms": 200,
        "attempts": 1,
        "priority": 0,
        "resumable": True,
        "gap_aim_ms": 300,
        "sticky": True,
    }
    call = {"host": HOST, "service": "app", "target_ms": 200, "attempts": 1, "priority": 2}
    document = {
        "version": version,
        "routes": [
            {
                **stream,
                "name": "journey-plan",
                "path_prefix": "/kept/",
                "resumable": False,
                "attempts": 2,
                "retain": True,
                "retain_s": 60,
            },
            {**stream, "name": "itinerary-ask", "path_prefix": "/stream/"},
            {
                **call,
                "name": "seat-confirm",
                "path_prefix": "/confirm/",
                "type": "unsafe",
                "timeout_ms": 2000,
            },
            {
                **call,
                "name": "seat-hold",
                "path_prefix": "/hold/",
                "type": "safe",
                "timeout_ms": 1200,
                "attempts": 3,
            },
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/health",
                "max_conns": 160,
                "engine": {"chunk_tokens": 25, "slots": 12},
            },
            {"name": "app", "health_path": "/health", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 60000,
        },
    }
    return json.dumps({**document, **changes}).encode()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free for TCP and UDP.

    They are below those that the system gives to outgoing connections, so that a node that is
    started again finds them free.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Node:
    """A process of the system, started as the deploy file says."""

    def __init__(self, name: str, zone: str, store: str, folder: Path, record: Record) -> None:
        """Choose ports, which stay the same over restarts."""
        self.name = name
        self._zone = zone
        self._store = store
        self._folder = folder
        self._record = record
        self._ports: dict[str, int] = {}
        self.choose_ports()
        self.process: asyncio.subprocess.Process | None = None

    def choose_ports(self) -> None:
        """Choose free ports, before the first start."""
        names = ("callers", "ready", "peers", "metrics")
        self._ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.address = f"127.0.0.1:{self._ports['callers']}"
        self.ready_address = f"127.0.0.1:{self._ports['ready']}"

    @property
    def has_ended(self) -> bool:
        """Whether the process was started and has ended."""
        return self.process is not None and self.process.returncode is not None

    async def start(self) -> None:
        """Start the process."""
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self._zone,
                store=self._store,
                grace=GRACE_SECONDS,
                **self._ports,
            )
        )
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "deploy/start.py"),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "FOXWINCH_CONFIG": str(settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.add("node_started", node=self.name, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._record.add("signal", node=self.name, signal=number.name)

    async def wait(self) -> None:
        """Wait for the end of the process."""
        if self.process is not None:
            code = await self.process.wait()
            self._record.add("node_ended", node=self.name, code=code)

    async def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> bool:
        """Wait until the node says that it is ready; return False if it does not."""
        give_up_at = time.monotonic() + READY_SECONDS
        while time.monotonic() < give_up_at and not self.has_ended:
            try:
                async with session.get(f"http://{self.ready_address}/v1/ready") as response:
                    if response.status == 200:
                        self._record.add("node_ready", node=self.name)
                        return True
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.05)
        return False

    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Answer:
    """What a caller received for one request."""

    def __init__(self, request_id: str) -> None:
        """Start without an answer."""
        self.request_id = request_id
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.error = ""

    @property
    def events(self) -> list[int]:
        """Return the ids of the complete events."""
        blocks = self.body.split(b"\n\n")[:-1]
        return [int(block.split(b"\n")[0].split(b":")[1]) for block in blocks if block]


class Deployment:
    """Nodes, store, workers and callers of a case."""

    def __init__(self, record: Record, zones: list[str]) -> None:
        """Have one node in each of `zones`."""
        self.record = record
        self.model = RecordStoreModel(SystemClock())
        self.handlers = RecordStoreHandlers(self.model)
        self.nodes: list[Node] = []
        self.workers: list[Worker] = []
        self._zones = zones
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._store: web.AppRunner | None = None
        self.session: aiohttp.ClientSession
        self._request_count = 0
        self._prefix = os.urandom(5).hex()

    async def __aenter__(self) -> "Deployment":
        """Start the store."""
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        self._store = web.AppRunner(
            self.handlers.application(), access_log=None, shutdown_timeout=0.1
        )
        await self._store.setup()
        await web.TCPSite(self._store, "127.0.0.1", 0).start()
        host, port = self._store.addresses[0][:2]
        self.store_address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for worker in self.workers:
            await worker.stop()
        await self.session.close()
        if self._store is not None:
            await self._store.cleanup()
        self._temporary.cleanup()

    async def add_worker(self, worker_id: str, service: str, zone: str, **changes: Any) -> Worker:
        """Start a worker."""
        worker = Worker(worker_id, service, zone, self.record, self.model.put, self.model.remove)
        for name, value in changes.items():
            setattr(worker, name, value)
        await worker.start()
        self.workers.append(worker)
        return worker

    def configure(self, document: bytes) -> None:
        """Write a configuration, which the store acknowledges."""
        self.model.put("op", "config", document)
        self.record.add("configured", version=json.loads(document)["version"])

    async def start_nodes(self, store: str | None = None) -> bool:
        """Start one node in each zone at once and wait until all are ready."""
        for number, zone in enumerate(self._zones):
            address = store or self.store_address
            self.nodes.append(
                Node(f"front-{zone}-{number}", zone, address, self.folder, self.record)
            )
        for node in self.nodes:
            await node.start()
        ready = [await self._wait_for_first_start(node) for node in self.nodes]
        return all(ready)

    async def _wait_for_first_start(self, node: Node) -> bool:
        """Wait until a node is ready; choose other ports if another program has taken one."""
        for _ in range(START_TRIES):
            if await node.wait_until_ready(self.session) or not node.has_ended:
                break
            node.choose_ports()
            await node.start()
        return await node.wait_until_ready(self.session)

    async def restart(self, nodes: list[Node], down_seconds: float = RESTART_SECONDS) -> bool:
        """Start killed processes again after a short delay, and wait until they are ready."""
        await asyncio.sleep(down_seconds)
        for node in nodes:
            await node.start()
        ready = [await self._wait_for_next_start(node) for node in nodes]
        return all(ready)

    async def _wait_for_next_start(self, node: Node) -> bool:
        """Wait until a node is ready; one that ends by itself is started again."""
        for _ in range(START_TRIES):
            if await node.wait_until_ready(self.session) or not node.has_ended:
                break
            self.record.add("node_ended_by_itself", node=node.name, log=node.log()[-2000:])
            await asyncio.sleep(RESTART_SECONDS)
            await node.start()
        return await node.wait_until_ready(self.session)

    def new_id(self) -> str:
        """Return a new request id."""
        self._request_count += 1
        return f"{self._prefix}{self._request_count:06x}"

    async def send(
        self,
        node: Node,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        deadline_seconds: float = 3.0,
        on_event: Any = None,
        **headers: object,
    ) -> Answer:
        """Send one request on a new connection and return its answer."""
        answer = Answer(self.new_id())
        sent = {name.replace("_", "-"): str(value) for name, value in headers.items()}
        sent["Request-Id"] = answer.request_id
        sent["Host"] = HOST
        sent["Deadline-Ms"] = str(int(1e3 * deadline_seconds))
        self.record.add(
            "sent", request=answer.request_id, node=node.name, method=method, path=path, **headers
        )
        try:
            async with (
                asyncio.timeout(deadline_seconds + 0.5),
                self.session.request(
                    method, f"http://{node.address}{path}", data=body or None, headers=sent
                ) as response,
            ):
                answer.status = response.status
                answer.headers = {name.lower(): value for name, value in response.headers.items()}
                async for chunk in response.content.iter_any():
                    answer.body += chunk
                    if on_event is not None:
                        on_event(answer)
                answer.is_whole = True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            answer.error = type(error).__name__
        self.record.add(
            "answered",
            request=answer.request_id,
            node=node.name,
            status=answer.status,
            whole=answer.is_whole,
            error=answer.error,
            retry_after=answer.headers.get("retry-after"),
            events=len(answer.events) if "/kept/" in path or "/stream/" in path else None,
            body=answer.body.decode(errors="replace") if answer.status != 200 else None,
        )
        return answer
