"""Tests that fail for a known fault: `KNOWN-RED.txt` at the root lists them, one a line.

A line holds a test's id, command and seed, what was seen, and the issue, split by ` | `. The listed
tests run; their failures are passed over and printed. Every other failure counts.
"""

from pathlib import Path
from typing import NamedTuple

LIST = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
FIELDS = 4


class KnownRed(NamedTuple):
    """One entry of the list."""

    test: str
    """Start of the ids of the tests that it stands for."""
    command: str
    seen: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Read the list; raises ValueError for a line that lacks a field."""
    entries = []
    for line in text.splitlines():
        fields = [field.strip() for field in line.split(" | ")]
        if not any(fields):
            continue
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(
                f"KNOWN-RED.txt: {line!r} needs test | command | what was seen | issue"
            )
        entries.append(KnownRed(*fields))
    return entries


def listed() -> list[KnownRed]:
    """Return the entries of the list; none where there is no file."""
    return parse(LIST.read_text()) if LIST.exists() else []


def entry_for(test_id: str, entries: list[KnownRed]) -> KnownRed | None:
    """Return the entry that stands for a test: its whole id, or all its cases."""
    for entry in entries:
        if test_id == entry.test or test_id.startswith(f"{entry.test}["):
            return entry
    return None
