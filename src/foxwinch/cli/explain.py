"""`foxwinch explain`: the log lines of one request, from the logs of all nodes."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.output import fail

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
"""A key and its value, as the log writes them."""
DEPENDENCY_EVENTS = frozenset({"store_lost", "store_regained", "worker_gone", "history_lost"})
DEPENDENCY_SECONDS = 5.0
"""So long before and after the request, lost and regained dependencies of its nodes are shown."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log."""

    source: str
    """The log's file name."""
    at: float
    """Seconds since the Unix epoch; clocks of nodes differ a little."""
    event: str
    pairs: dict[str, str]
    text: str


def parse(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that name an event and a time; others are passed over."""
    for line in lines:
        pairs = {key: value.strip('"') for key, value in PAIR.findall(line)}
        try:
            yield LogLine(source, float(pairs["when"]), pairs["event"], pairs, line.rstrip("\n"))
        except (KeyError, ValueError):
            continue


def lines_of(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Return what concerns a request: its own lines, and its nodes' dependencies at the time."""
    own = [line for line in lines if line.pairs.get("request") == request_id]
    if not own:
        return []
    sources = {line.source for line in own}
    first = min(line.at for line in own) - DEPENDENCY_SECONDS
    last = max(line.at for line in own) + DEPENDENCY_SECONDS
    near = [
        line
        for line in lines
        if line.event in DEPENDENCY_EVENTS and line.source in sources and first <= line.at <= last
    ]
    return sorted(own + near, key=lambda line: line.at)


@cappa.command(
    name="explain",
    help="Show what nodes' logs say of one request: each decision with its inputs.",
    description=examples("foxwinch explain 39021143ec59a220 front-1.log front-2.log"),
)
@dataclass(kw_only=True)
class ExplainCommand:
    """Show what nodes' logs say of one request."""

    request_id: Annotated[str, cappa.Arg(help="The request's id")]
    logs: Annotated[list[Path], cappa.Arg(num_args=-1, help="Log files, one for each node")]

    def __call__(self) -> None:
        """Print the lines in the order of their times."""
        lines: list[LogLine] = []
        for path in self.logs:
            try:
                with path.open(encoding="utf-8", errors="replace") as log:
                    lines += parse(path.name, log)
            except OSError as error:
                fail(ExitCode.INVALID, f"{path}: cannot be read: {error.strerror}")
        found = lines_of(self.request_id, lines)
        if not found:
            fail(ExitCode.NOT_FOUND, f"no line names the request {self.request_id}")
        for line in found:
            print(f"{line.source}: {line.text}")
