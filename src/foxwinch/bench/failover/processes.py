"""A foxwinch process under test: started, killed, paused and stopped by its own identifier."""

import asyncio
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path

READY_SECONDS = 30.0
"""For a process to print its addresses on a busy machine."""
STOP_SECONDS = 90.0
"""For a planned stop; above the drain limit of the nodes under test."""


class TestedProcess:
    """`python -m foxwinch ARGUMENTS`; its log goes to a file."""

    __test__ = False

    def __init__(self, arguments: Iterable[str], expected: Iterable[str], log: Path) -> None:
        """Wait for the `expected` names to be printed when started."""
        self._arguments = tuple(arguments)
        self._expected = frozenset(expected)
        self._log = log
        self._process: asyncio.subprocess.Process | None = None
        self._draining: asyncio.Task[None] | None = None
        self.printed: dict[str, str] = {}

    @property
    def is_running(self) -> bool:
        """True until the process has ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start and wait until it is ready; raises `RuntimeError` when it ends before."""
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
        async with asyncio.timeout(READY_SECONDS):
            await self._read_addresses(self._process)
        self._draining = asyncio.create_task(self._discard_output(self._process))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end; returns the exit code."""
        assert self._process is not None
        async with asyncio.timeout(STOP_SECONDS):
            return await self._process.wait()

    async def kill(self) -> None:
        """End it at once, also when it is paused."""
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
                raise RuntimeError(f"{self._arguments[0]} ended with {code}; log: {self._log}")
            name, _, value = line.decode().strip().partition("=")
            self.printed[name] = value

    async def _discard_output(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while await process.stdout.readline():
            continue
