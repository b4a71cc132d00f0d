"""What commands print: tables, JSON or reports on standard output, errors on standard error."""

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NoReturn

import cappa
from google.protobuf.message import Message
from rich.console import Console
from rich.table import Table

from foxwinch.cli.exit_codes import NEXT_STEP, ExitCode, exit_code_of
from foxwinch.outcomes import Refused
from foxwinch.settings.base import SettingsError


def print_message(message: Message) -> None:
    """Print a message as one JSON document, absent fields included."""
    print(json.dumps(_plain(message), indent=2))


def _plain(value: Any) -> Any:
    """Return a message as plain values; unlike protobuf's own JSON, long integers stay numbers."""
    if isinstance(value, Message):
        fields = value.DESCRIPTOR.fields
        return {field.name: _plain(getattr(value, field.name)) for field in fields}
    if isinstance(value, (str, int, float)):
        return value
    return [_plain(item) for item in value]


def write_report(path: Path, report: Any) -> None:
    """Write a bench's report to a file, and print it in one line."""
    path.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    print(json.dumps(report))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under headings; plain tabulated text when the output is no terminal."""
    if not sys.stdout.isatty():
        for row in (headings, *rows):
            print("\t".join(str(cell) for cell in row))
        return
    table = Table(box=None, pad_edge=False)
    for heading in headings:
        table.add_column(heading)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)


def warn_of_silent_nodes(nodes: Sequence[str]) -> None:
    """Say on standard error which nodes the answer lacks."""
    if nodes:
        print(
            f"warning: no answer from {', '.join(nodes)}; the list may lack theirs", file=sys.stderr
        )


def fail(code: ExitCode, detail: str) -> NoReturn:
    """End the command with an error and the next step on standard error."""
    print(f"error: {detail}", file=sys.stderr)
    if code in NEXT_STEP:
        print(f"next: {NEXT_STEP[code]}", file=sys.stderr)
    raise cappa.Exit(code=code)


def fail_refused(refused: Refused) -> NoReturn:
    """End the command with a refusal."""
    wait = refused.retry_after_seconds
    after = f"; try again after {wait:g} s" if wait is not None else ""
    detail = f"{refused.reason.value} ({refused.run_state.value}): {refused.detail}{after}"
    fail(exit_code_of(refused), detail)


def fail_settings(error: SettingsError) -> NoReturn:
    """End the command with what is wrong with settings."""
    fail(ExitCode.INVALID, str(error))
