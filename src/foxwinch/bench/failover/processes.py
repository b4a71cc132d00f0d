"""A foxwinch process under test, signalled only by its own process identifier."""

import asyncio
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path

READY_TIMEOUT_SECONDS = 30.0
"""Timeout for a process to print its addresses, sufficient on a busy machine."""
STOP_TIMEOUT_SECONDS = 90.0
"""Timeout for a process to stop; above the drain timeout of the nodes under test."""


class TestedProcess:
    """A process `python -m foxwinch ARGUMENTS`, whose log is written to a file."""

    __test__ = False

    def __init__(self, arguments: Iterable[str], expected: Iterable[str], log: Path) -> None:
        """Prepare the process; it is ready once it has printed every name in `expected`."""
        self._arguments = tuple(arguments)
        self._expected = frozenset(expected)
        self._log = log
        self._process: asyncio.subprocess.Process | None = None
        self._draining: asyncio.Task[None] | None = None
        self.printed: dict[str, str] = {}

    @property
    def is_running(self) -> bool:
        """True while the process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process and wait until it is ready; raise `RuntimeError` if it exits before."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "foxwinch",
                *self._arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=dict(os.environ),
            )
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            await self._read_addresses(self._process)
        self._draining = asyncio.create_task(self._discard_output(self._process))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process exits; return its exit code."""
        assert self._process is not None
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            return await self._process.wait()

    async def kill(self) -> None:
        """Kill the process, even if it is paused."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.wait()
        if self._draining is not None:
            self._draining.cancel()

    async def _read_addresses(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while not self._expected <= self.printed.keys():
            line = await process.stdout.readline()
            if not line:
                code = await process.wait()
                raise RuntimeError(
                    f"{self._arguments[0]} exited with code {code} before ready; log: {self._log}"
                )
            name, _, value = line.decode().strip().partition("=")
            self.printed[name] = value

    async def _discard_output(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while await process.stdout.readline():
            continue
