"""Structured logging: one logfmt line per event on standard error."""

import logging
import math
import sys

from logfmter import Logfmter

LOGGER_NAME = "foxwinch"


def configure_logging(level: str = "INFO") -> None:
    """Write foxwinch's log lines to standard error in logfmt.

    `level` is a level name of `logging`, such as "INFO".
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        Logfmter(keys=["at", "when", "name"], mapping={"at": "levelname", "when": "asctime"})
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level)


def age_ms(seconds: float) -> int | None:
    """Return an age in whole milliseconds for a log line; None if `seconds` is not finite."""
    return int(1e3 * seconds) if math.isfinite(seconds) else None


class EventLog:
    """Logger of one subsystem; an event is a name with key=value pairs."""

    def __init__(self, subsystem: str) -> None:
        """Log under `foxwinch.<subsystem>`."""
        self._logger = logging.getLogger(f"{LOGGER_NAME}.{subsystem}")

    def debug(self, event: str, **pairs: object) -> None:
        """Log an event for developers."""
        self._write(logging.DEBUG, event, pairs)

    def info(self, event: str, **pairs: object) -> None:
        """Log a normal event."""
        self._write(logging.INFO, event, pairs)

    def warning(self, event: str, **pairs: object) -> None:
        """Log an event that operators should notice."""
        self._write(logging.WARNING, event, pairs)

    def error(self, event: str, **pairs: object) -> None:
        """Log an event that requires action by operators."""
        self._write(logging.ERROR, event, pairs)

    def _write(self, level: int, event: str, pairs: dict[str, object]) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, {"event": event, **pairs})
