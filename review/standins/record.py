"""The record of a run: what was sent, answered and run, with the time of each."""

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty record at `path`."""
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the record."""
        self._file.close()
