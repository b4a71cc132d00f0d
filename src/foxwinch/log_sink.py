"""Log lines to standard output without ever blocking: bounded, and what is dropped is counted.

Lines wait in memory until the loop finds standard output writable. A reader that does not read
costs lines, never time. The rate is bounded as well, so that a loaded node spends its processor on
requests.
"""

import asyncio
import logging
import os
import sys
from collections import deque

from logfmter import Logfmter

from foxwinch.core.limits.token_bucket import TokenBucket
from foxwinch.log import LOGGER_NAME

MAX_LINES_WAITING = 2_000
LINES_PER_SECOND = 300.0
LINES_BURST = 600.0
FLUSH_SECONDS = 0.25
"""Lines are written in batches: each system call costs."""


class BoundedSink(logging.Handler):
    """Keeps formatted lines and writes them when standard output takes them."""

    def __init__(self, descriptor: int, now: float) -> None:
        """Write to `descriptor`, which is made non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._bucket = TokenBucket.full(LINES_PER_SECOND, LINES_BURST, now)
        self._flushing = False
        self.dropped = 0
        """Lines that were not written."""

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line, or count it as dropped; never waits."""
        loop = _running_loop()
        now = loop.time() if loop is not None else 0.0
        urgent = record.levelno >= logging.WARNING
        if len(self._lines) >= MAX_LINES_WAITING:
            self.dropped += 1
            return
        if loop is not None and not self._bucket.try_take(1.0, now) and not urgent:
            self.dropped += 1
            return
        if self.dropped and loop is not None:
            self._lines.append(
                f"at=WARNING event=log_lines_dropped count={self.dropped}\n".encode()
            )
            self.dropped = 0
        self._lines.append((self.format(record) + "\n").encode())
        if loop is None:
            self.flush()
        elif not self._flushing:
            self._flushing = True
            loop.call_later(FLUSH_SECONDS, self._flush_later)

    def _flush_later(self) -> None:
        self._flushing = False
        self.flush()
        loop = _running_loop()
        if (self._lines or self._rest) and loop is not None and not self._flushing:
            self._flushing = True
            loop.call_later(FLUSH_SECONDS, self._flush_later)

    def flush(self) -> None:
        """Write what standard output takes now."""
        data = self._rest + b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(data)
        self._rest = data[written:]


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None


def log_to_standard_output(level: str) -> BoundedSink:
    """Send the project's log lines to standard output in logfmt; `level` as `logging` names it."""
    sink = BoundedSink(sys.stdout.fileno(), 0.0)
    sink.setFormatter(Logfmter(keys=["at", "when"], mapping={"at": "levelname", "when": "created"}))
    root = logging.getLogger()
    root.handlers[:] = [sink]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level)
    return sink
