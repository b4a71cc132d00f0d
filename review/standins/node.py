"""Processes of foxwinch, started with the command of the deploy file."""

import asyncio
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from standins.record import Record
from standins.wire import encode_head, read_head

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 30.0
READY_TIMEOUT_SECONDS = 1.0
SETTINGS = """\
name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "region-1"
grace_seconds = 8

[listen]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
peers = "127.0.0.1:{peers}"

[store]
address = "{store}"
row_bytes = 65536
notice_ms = 3000
heartbeat_ms = 1200
"""


class Node:
    """One process; it can be killed, stopped, continued and started again."""

    def __init__(self, name: str, zone: str, store: str, folder: Path, record: Record) -> None:
        """Write the settings of a node; `store` is the address of the store."""
        self.name = name
        callers, self._ready_port, peers = free_ports(3)
        self.port = callers
        self._record = record
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                store=store,
                callers=callers,
                ready=self._ready_port,
                peers=peers,
            )
        )
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["front"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FOXWINCH_CONFIG": str(self._settings),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self._record.write(f"node {self.name} started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)
        self._record.write(f"node {self.name} gets {number.name}")

    async def wait_ready(self) -> bool:
        """Wait until the process is ready; False if it does not become ready in time."""
        for _ in range(int(START_SECONDS / 0.1)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        """Ask the node whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                return await self._ask_ready()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def _ask_ready(self) -> bool:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._ready_port)
        try:
            headers = {"Host": "ready", "Connection": "close"}
            writer.write(encode_head("GET /v1/ready HTTP/1.1", headers))
            head = await read_head(reader)
            return head is not None and head.status == 200
        finally:
            writer.close()

    def end(self) -> None:
        """Kill the process if it still runs, and reap it."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind(("127.0.0.1", 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports
