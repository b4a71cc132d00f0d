"""The `foxwinch explain` command, which collects the log lines of one request from all nodes."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.output import fail

KEY_VALUE_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
"""A `key=value` field of a log line; the value may be quoted."""
DEPENDENCY_EVENTS = frozenset({"store_lost", "store_regained", "worker_gone", "history_lost"})
DEPENDENCY_MARGIN_SECONDS = 5.0
"""Time before and after the request in which dependency events of its nodes are included."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed line of a node's log."""

    source: str
    """Name of the log file."""
    epoch_seconds: float
    """Seconds since the Unix epoch by the node's clock; clocks of nodes differ slightly."""
    event: str
    fields: dict[str, str]
    text: str


def parse_log(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that have an event and a timestamp, skipping all others."""
    for line in lines:
        fields = {key: value.strip('"') for key, value in KEY_VALUE_PATTERN.findall(line)}
        try:
            yield LogLine(source, float(fields["when"]), fields["event"], fields, line.rstrip("\n"))
        except (KeyError, ValueError):
            continue


def lines_for_request(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Return the lines of a request and the dependency events of its nodes near it, by time."""
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    sources = {line.source for line in request_lines}
    first = min(line.epoch_seconds for line in request_lines) - DEPENDENCY_MARGIN_SECONDS
    last = max(line.epoch_seconds for line in request_lines) + DEPENDENCY_MARGIN_SECONDS
    dependency_lines = [
        line
        for line in lines
        if line.event in DEPENDENCY_EVENTS
        and line.source in sources
        and first <= line.epoch_seconds <= last
    ]
    return sorted(request_lines + dependency_lines, key=lambda line: line.epoch_seconds)


@cappa.command(
    name="explain",
    help="Show the log lines of one request from all nodes: each decision with its inputs.",
    description=examples("foxwinch explain 39021143ec59a220 front-1.log front-2.log"),
)
@dataclass(kw_only=True)
class ExplainCommand:
    """Show the log lines of one request from all nodes."""

    request_id: Annotated[str, cappa.Arg(help="Request id")]
    logs: Annotated[list[Path], cappa.Arg(num_args=-1, help="Log files, one for each node")]

    def __call__(self) -> None:
        """Print the lines ordered by time."""
        lines: list[LogLine] = []
        for path in self.logs:
            try:
                with path.open(encoding="utf-8", errors="replace") as log:
                    lines += parse_log(path.name, log)
            except OSError as error:
                fail(ExitCode.INVALID, f"{path}: cannot read the log: {error.strerror}")
        matching = lines_for_request(self.request_id, lines)
        if not matching:
            fail(ExitCode.NOT_FOUND, f"no log line has the request id {self.request_id}")
        for line in matching:
            print(f"{line.source}: {line.text}")
