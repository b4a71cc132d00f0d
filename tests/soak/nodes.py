"""Nodes of the soak: `foxwinch serve` processes, each behind a fault proxy to the store."""

import asyncio
import os
import re
import signal
import sys
from contextlib import suppress
from pathlib import Path

import aiohttp

from foxwinch.bench.fault_proxy import FaultProxy
from soak.disruptions import STOP, DisruptionLog
from soak.invariants import InvariantChecker

SETTINGS = """
name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
grace_seconds = 8

[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
peers = "127.0.0.1:0"

[store]
address = "{store}"
notice_ms = 3000
"""
START_TIMEOUT_SECONDS = 120.0
"""Generous because many processes start at once in large runs."""
INTERPRETER_START_SECONDS = 0.3
"""Time that the interpreter may need on a busy machine before it runs code of foxwinch."""
POLL_SECONDS = 1.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_MISSES = 2
"""Failed readiness checks in a row before a node is taken out of rotation."""


class SoakNode:
    """A node whose process may be signalled, killed and restarted at any time."""

    def __init__(
        self,
        name: str,
        zone: str,
        proxy: FaultProxy,
        folder: Path,
        checker: InvariantChecker,
        disruptions: DisruptionLog,
    ) -> None:
        self.name = name
        self.proxy = proxy
        self.address: str | None = None
        """Public API address of the process; None while no process listens."""
        self.in_rotation = False
        """Whether callers open new connections to the node."""
        self.incarnation = 0
        self._checker = checker
        self._disruptions = disruptions
        self._folder = folder
        self._zone = zone
        self._process: asyncio.subprocess.Process | None = None
        self._output_task: asyncio.Task[None] | None = None
        self._ready_address = ""
        self._exit_expected = False
        self._spawned_at = 0.0
        self._started_event = asyncio.Event()
        self._start_lock = asyncio.Lock()

    async def start(self) -> None:
        """Start the process unless one runs, and wait until it listens or has exited."""
        async with self._start_lock:
            if self._process is not None and self._process.returncode is None:
                return
            with self._disruptions.span(self.name, "start"):
                await self._spawn()

    async def _spawn(self) -> None:
        path = self._folder / f"{self.name}.toml"
        store = f"{self.proxy.address.host}:{self.proxy.address.port}"
        path.write_text(SETTINGS.format(name=self.name, zone=self._zone, store=store))
        self._exit_expected = False
        self._started_event.clear()
        self.incarnation += 1
        self._spawned_at = self._disruptions.now()
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "foxwinch", "serve", "--settings", str(path)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._output_task = asyncio.ensure_future(self._read_output(self._process))
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            await self._started_event.wait()

    async def _read_output(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        with (self._folder / f"{self.name}.log").open("ab") as log:
            async for line in process.stdout:
                log.write(line)
                match = re.search(rb"event=started .*callers=(\S+) ready=(\S+)", line)
                if match:
                    self.address, self._ready_address = match[1].decode(), match[2].decode()
                    self._started_event.set()
        code = await process.wait()
        self.address = None
        self.in_rotation = False
        # A process that is killed before it listens never logs its addresses.
        self._started_event.set()
        if not self._exit_expected:
            self._checker.report_process_exit(self.name, code)

    async def readiness_loop(self) -> None:
        """Check the readiness of the node each second and update `in_rotation`."""
        misses = 0
        timeout = aiohttp.ClientTimeout(total=POLL_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                misses = 0 if await self._is_ready(session) else misses + 1
                self._check_memory()
                if misses == 0:
                    self.in_rotation = True
                elif misses >= MAX_MISSES:
                    self.in_rotation = False
                await asyncio.sleep(POLL_SECONDS)

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        if self.address is None:
            return False
        try:
            async with session.get(f"http://{self._ready_address}/v1/ready") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def _check_memory(self) -> None:
        if self._process is None or self._process.returncode is not None:
            return
        with suppress(OSError):
            statistics = Path(f"/proc/{self._process.pid}/statm").read_text().split()
            self._checker.check_memory(self.name, int(statistics[1]) * PAGE_BYTES)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def reload(self) -> None:
        """Make the process reload its settings with SIGHUP.

        Does nothing while the interpreter may still be starting, when SIGHUP would end it.
        """
        if self._disruptions.now() - self._spawned_at > INTERPRETER_START_SECONDS:
            self.signal(signal.SIGHUP)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self._exit_expected = True
        with self._disruptions.span(self.name, "kill"):
            self.signal(signal.SIGKILL)
            await self.wait_until_exited()

    async def stop(self) -> None:
        """Stop the process gracefully and wait until it has exited."""
        self._exit_expected = True
        with self._disruptions.span(self.name, STOP):
            self.signal(signal.SIGTERM)
            await self.wait_until_exited()

    async def wait_until_exited(self) -> None:
        """Wait until the process has exited."""
        if self._output_task is not None:
            await asyncio.shield(self._output_task)
