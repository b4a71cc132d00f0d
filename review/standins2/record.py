"""The record of a case: one line for each thing that was sent, answered, run or disrupted."""

import json
import time
from pathlib import Path


class Record:
    """Collects lines and writes them to a file at the end."""

    def __init__(self, path: Path) -> None:
        """Write to `path`."""
        self._path = path
        self._started_at = time.monotonic()
        self.lines: list[dict] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return round(time.monotonic() - self._started_at, 3)

    def add(self, event: str, **fields: object) -> dict:
        """Add a line with the time of its event."""
        line = {"at": self.now(), "event": event, **fields}
        self.lines.append(line)
        return line

    def of(self, event: str, **fields: object) -> list[dict]:
        """Return the lines of an event whose fields have the given values."""
        return [
            line
            for line in self.lines
            if line["event"] == event
            and all(line.get(name) == value for name, value in fields.items())
        ]

    def write(self) -> None:
        """Write all lines."""
        text = "".join(json.dumps(line, ensure_ascii=True) + "\n" for line in self.lines)
        self._path.write_text(text)
