"""Non-blocking logging to standard output with a bounded buffer and a count of dropped lines.

Lines are buffered in memory until standard output accepts them. A slow reader causes lines to be
dropped but never blocks the node. The rate is limited as well, so that a loaded node spends its CPU
time on requests.
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
FLUSH_INTERVAL_SECONDS = 0.25
"""Interval between writes; batching reduces the number of system calls."""


class NonBlockingHandler(logging.Handler):
    """Logging handler that buffers formatted lines and writes them without blocking."""

    def __init__(self, descriptor: int, now: float) -> None:
        """Write to the file descriptor, which becomes non-blocking; `now` is the loop's time."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._bucket = TokenBucket.full(LINES_PER_SECOND, LINES_BURST, now)
        self._is_flush_scheduled = False
        self.dropped = 0
        """Number of lines dropped since the last report."""

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line or count it as dropped; never blocks."""
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
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            loop.call_later(FLUSH_INTERVAL_SECONDS, self._flush_and_reschedule)

    def _flush_and_reschedule(self) -> None:
        self._is_flush_scheduled = False
        self.flush()
        loop = _running_loop()
        if (self._lines or self._unwritten) and loop is not None and not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            loop.call_later(FLUSH_INTERVAL_SECONDS, self._flush_and_reschedule)

    def flush(self) -> None:
        """Write as many bytes as the descriptor accepts."""
        data = self._unwritten + b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(data)
        self._unwritten = data[written:]


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None


def log_to_standard_output(level: str) -> NonBlockingHandler:
    """Write foxwinch's log lines to standard output in logfmt, from the given `logging` level."""
    sink = NonBlockingHandler(sys.stdout.fileno(), 0.0)
    sink.setFormatter(Logfmter(keys=["at", "when"], mapping={"at": "levelname", "when": "created"}))
    root = logging.getLogger()
    root.handlers[:] = [sink]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level)
    return sink
