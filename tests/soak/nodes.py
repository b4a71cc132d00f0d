"""Nodes of the soak: real processes of `foxwinch serve`, each with a proxy to the store."""

import asyncio
import re
import signal
import sys
from pathlib import Path

from foxwinch.bench.fault_proxy import FaultProxy
from soak.promises import Promises

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
"""
START_SECONDS = 30.0


class SoakNode:
    """One node; it may be killed and started again."""

    def __init__(
        self, name: str, zone: str, proxy: FaultProxy, folder: Path, promises: Promises
    ) -> None:
        self.name = name
        self.proxy = proxy
        self.address: str | None = None
        self.stopping = False
        self._promises = promises
        self._folder = folder
        self._zone = zone
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._expected_end = False
        self._started = asyncio.Event()

    async def start(self) -> None:
        """Start the process and wait for its address."""
        path = self._folder / f"{self.name}.toml"
        store = f"{self.proxy.address.host}:{self.proxy.address.port}"
        path.write_text(SETTINGS.format(name=self.name, zone=self._zone, store=store))
        self._expected_end = self.stopping = False
        self._started.clear()
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
                found = re.search(rb"event=started .*callers=(\S+)", line)
                if found:
                    self.address = found[1].decode()
                    self._started.set()
        code = await process.wait()
        self.address = None
        if not self._expected_end:
            self._promises.process_ended(self.name, code)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._expected_end = True
        self.signal(signal.SIGKILL)
        await self.ended()

    async def stop(self) -> None:
        """Stop as planned."""
        self._expected_end = self.stopping = True
        self.signal(signal.SIGTERM)
        await self.ended()

    async def ended(self) -> None:
        """Wait for the end of the process."""
        if self._reading is not None:
            await self._reading
