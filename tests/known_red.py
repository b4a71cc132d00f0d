"""Tests that fail because of a known bug, listed in `KNOWN-RED.txt` at the root, one per line.

A line contains the test id, the command and seed, the observed failure and the issue, separated by
` | `. The listed tests run, and their failures are printed but do not fail the test run.
"""

from pathlib import Path
from typing import NamedTuple

LIST = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
FIELDS = 4
MAX_FAILURE_LINES = 30
"""Number of last lines that are printed of the failure of a listed test."""


class KnownRed(NamedTuple):
    """One entry of the list."""

    test: str
    """Test id; without parameters, it matches all cases of the test."""
    command: str
    seen: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Parse the list; raise ValueError for a line with a missing field."""
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
    """Return the entries of the list, or none if the file does not exist."""
    return parse(LIST.read_text()) if LIST.exists() else []


def entry_for(test_id: str, entries: list[KnownRed]) -> KnownRed | None:
    """Return the entry that matches a test id, exactly or for all cases of the test."""
    for entry in entries:
        if test_id == entry.test or test_id.startswith(f"{entry.test}["):
            return entry
    return None


def describe_failure(test_id: str, failure: str) -> list[str]:
    """Return the lines to print of a listed test that failed in this run."""
    lines = failure.splitlines()[-MAX_FAILURE_LINES:]
    return [f"KNOWN-RED failed now: {test_id}", *(f"  {line}" for line in lines)]
