"""Processes that a benchmark starts; each prints `name=value` lines when it is ready."""

import os
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType
from typing import Self

STOP_TIMEOUT_SECONDS = 10.0


class BenchProcess:
    """A Python module run as a process; a context manager that stops it on exit."""

    def __init__(self, *arguments: str, expected: Iterable[str], log: Path) -> None:
        """Start `python -m ARGUMENTS` and wait for its `expected` lines; stderr goes to `log`.

        Raises RuntimeError if the process exits before that.
        """
        self._log = log.open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            text=True,
        )
        self.printed: dict[str, str] = {}
        assert self.process.stdout is not None
        while not set(expected) <= self.printed.keys():
            line = self.process.stdout.readline()
            if not line:
                code = self.process.wait(STOP_TIMEOUT_SECONDS)
                raise RuntimeError(
                    f"{arguments[0]} exited with status {code} before it was ready; see {log}"
                )
            name, _, value = line.strip().partition("=")
            self.printed[name] = value

    def processor_seconds(self) -> float:
        """Return the user and system CPU time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def __enter__(self) -> Self:
        """Return the running process."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Terminate the process, or kill it if it does not exit within the timeout."""
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(STOP_TIMEOUT_SECONDS)
        self._log.close()
