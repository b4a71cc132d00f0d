"""Nodes of the soak: real processes of `foxwinch serve`, each with a proxy to the store."""

import asyncio
import re
import signal
import sys
from pathlib import Path

import aiohttp

from foxwinch.bench.fault_proxy import FaultProxy
from soak.promises import Promises
from soak.troubles import STOP, Troubles

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
START_SECONDS = 120.0
"""Many processes start at once in large runs."""
INTERPRETER_SECONDS = 0.3
"""Of a process's life, on a busy machine, in which no code of foxwinch has run yet."""
POLL_SECONDS = 1.0
MAX_MISSES = 2
"""Questions without a good answer until callers open no new connections to a node."""


class SoakNode:
    """One node; its process may be signalled, killed and started again at any time."""

    def __init__(
        self,
        name: str,
        zone: str,
        proxy: FaultProxy,
        folder: Path,
        promises: Promises,
        troubles: Troubles,
    ) -> None:
        self.name = name
        self.proxy = proxy
        self.address: str | None = None
        """Where the process listens to callers; None while there is none."""
        self.taken_in = False
        """Whether callers open new connections to it."""
        self.life = 0
        self._promises = promises
        self._troubles = troubles
        self._folder = folder
        self._zone = zone
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._ready_address = ""
        self._expected_end = False
        self._spawned_at = 0.0
        self._started = asyncio.Event()
        self._starting = asyncio.Lock()

    async def start(self) -> None:
        """Start a process, unless one runs; returns once it has told its address."""
        async with self._starting:
            if self._process is not None and self._process.returncode is None:
                return
            with self._troubles.span(self.name, "start"):
                await self._spawn()

    async def _spawn(self) -> None:
        path = self._folder / f"{self.name}.toml"
        store = f"{self.proxy.address.host}:{self.proxy.address.port}"
        path.write_text(SETTINGS.format(name=self.name, zone=self._zone, store=store))
        self._expected_end = False
        self._started.clear()
        self.life += 1
        self._spawned_at = self._troubles.now()
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "foxwinch", "serve", "--settings", str(path)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._reading = asyncio.ensure_future(self._read(self._process))
        async with asyncio.timeout(START_SECONDS):
            await self._started.wait()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        with (self._folder / f"{self.name}.log").open("ab") as log:
            async for line in process.stdout:
                log.write(line)
                found = re.search(rb"event=started .*callers=(\S+) ready=(\S+)", line)
                if found:
                    self.address, self._ready_address = found[1].decode(), found[2].decode()
                    self._started.set()
        code = await process.wait()
        self.address = None
        self.taken_in = False
        # A process that is killed before it listens never tells its address.
        self._started.set()
        if not self._expected_end:
            self._promises.process_ended(self.name, code)

    async def follow_readiness(self) -> None:
        """Ask the node each second whether callers should open connections to it, for ever."""
        misses = 0
        timeout = aiohttp.ClientTimeout(total=POLL_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                misses = 0 if await self._is_ready(session) else misses + 1
                if misses == 0:
                    self.taken_in = True
                elif misses >= MAX_MISSES:
                    self.taken_in = False
                await asyncio.sleep(POLL_SECONDS)

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        if self.address is None:
            return False
        try:
            async with session.get(f"http://{self._ready_address}/v1/ready") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def reload(self) -> None:
        """Tell the process that its settings have changed.

        Not in its first moments, when the interpreter itself starts and a hangup ends it.
        """
        if self._troubles.now() - self._spawned_at > INTERPRETER_SECONDS:
            self.signal(signal.SIGHUP)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._expected_end = True
        with self._troubles.span(self.name, "kill"):
            self.signal(signal.SIGKILL)
            await self.ended()

    async def stop(self) -> None:
        """Stop as planned and wait for the end."""
        self._expected_end = True
        with self._troubles.span(self.name, STOP):
            self.signal(signal.SIGTERM)
            await self.ended()

    async def ended(self) -> None:
        """Wait for the end of the process."""
        if self._reading is not None:
            await asyncio.shield(self._reading)
