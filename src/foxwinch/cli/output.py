"""Output of commands: results on standard output, errors and warnings on standard error."""

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
    """Print a protobuf message as one JSON document that includes unset fields."""
    print(json.dumps(_to_plain(message), indent=2))


def _to_plain(value: Any) -> Any:
    """Convert a message to plain values; unlike protobuf's JSON, 64-bit integers stay numbers."""
    if isinstance(value, Message):
        fields = value.DESCRIPTOR.fields
        return {field.name: _to_plain(getattr(value, field.name)) for field in fields}
    if isinstance(value, (str, int, float)):
        return value
    return [_to_plain(item) for item in value]


def write_report(path: Path, report: Any) -> None:
    """Write a benchmark report to a file as JSON and print it on one line."""
    path.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    print(json.dumps(report))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table, as tab-separated text if standard output is not a terminal."""
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


def warn_of_unresponsive_nodes(nodes: Sequence[str]) -> None:
    """Print a warning that names the nodes missing from a response."""
    if nodes:
        print(
            f"warning: no response from {', '.join(nodes)}; the list may be incomplete",
            file=sys.stderr,
        )


def fail(code: ExitCode, detail: str) -> NoReturn:
    """Exit with an error and a suggested next step on standard error."""
    print(f"error: {detail}", file=sys.stderr)
    if code in NEXT_STEP:
        print(f"next: {NEXT_STEP[code]}", file=sys.stderr)
    raise cappa.Exit(code=code)


def fail_refused(refused: Refused) -> NoReturn:
    """Exit with the error and exit code of a refusal."""
    wait = refused.retry_after_seconds
    after = f"; retry after {wait:g} s" if wait is not None else ""
    detail = f"{refused.reason.value} ({refused.run_state.value}): {refused.detail}{after}"
    fail(exit_code_of(refused), detail)


def fail_settings(error: SettingsError) -> NoReturn:
    """Exit with the problems found in the settings."""
    fail(ExitCode.INVALID, str(error))
