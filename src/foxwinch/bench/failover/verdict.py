"""Evaluation of a scenario: the callers' records against the counts of the emulated services."""

import statistics
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any

from foxwinch.bench.failover.calls import LogicalCall, Outcome
from foxwinch.bench.failover.programs import ProgramRecord

READ_KINDS = frozenset({"history"})


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """Beginning and end of a fault, in seconds of the monotonic clock."""

    begins_at: float
    ends_at: float


@dataclass(slots=True)
class ScenarioResult:
    """Figures of one scenario; the field names are keys of the report."""

    calls: int = 0
    lost_histories: int = 0
    mixed_histories: int = 0
    double_runs: int = 0
    untrue_not_run: int = 0
    cut_requests: int = 0
    cuts_by_reason: dict[str, int] = field(default_factory=dict)
    """Number of interrupted requests by "kind of call: reason"."""
    unknown: int = 0
    """Unknown outcomes of calls that were in flight during a fault."""
    unknown_outside_fault: int = 0
    """Unknown outcomes of calls outside any fault; must be 0."""
    recovery_seconds_p50: float | None = None
    recovery_seconds_max: float | None = None
    config_seconds_max: float | None = None
    planned: bool = False
    unanswered: int = 0
    """Calls that had no final outcome after a minute of retries."""
    not_read_back: int = 0
    """Created programs whose history could not be read at the end."""
    exit_codes: list[int] = field(default_factory=list)
    """Exit codes of the drained nodes."""
    details: list[str] = field(default_factory=list)
    """One line for each violation."""

    def document(self) -> dict[str, Any]:
        """Return the figures as plain values for the report."""
        return asdict(self)

    def violations(self) -> int:
        """Return the number of violations."""
        counts = self.lost_histories + self.mixed_histories + self.double_runs
        counts += self.untrue_not_run + self.unknown_outside_fault
        return counts + (self.cut_requests if self.planned else 0)


def judge(
    records: list[ProgramRecord],
    state: dict[str, Any],
    windows: list[FaultWindow],
    planned: bool,
) -> ScenarioResult:
    """Compare every record with the tool executions that the emulator counted."""
    result = ScenarioResult(planned=planned)
    runs = Counter((run["program"], run["tool"]) for run in state["tool_executions"])
    for record in records:
        _judge_program(record, runs, result)
        for call in record.calls:
            _judge_call(call, windows, result)
    return result


def _judge_program(
    record: ProgramRecord, runs: Counter[tuple[str, str]], result: ScenarioResult
) -> None:
    result.lost_histories += bool(record.lost)
    result.mixed_histories += bool(record.mixed)
    result.untrue_not_run += len(record.untrue_not_run)
    created = any(c.kind == "create" and c.outcome is Outcome.DONE for c in record.calls)
    result.not_read_back += created and not record.read_back
    for what, lines in (
        ("lost", record.lost),
        ("mixed", record.mixed),
        ("untrue not run", record.untrue_not_run),
    ):
        result.details += [f"{what}: {record.name}: {line}" for line in lines]
    for tool, call in record.tools.items():
        _judge_tool(record, tool, call, runs[(record.program_id, tool)], result)


def _judge_tool(
    record: ProgramRecord, tool: str, call: LogicalCall, runs: int, result: ScenarioResult
) -> None:
    """Check that a non-repeatable call ran at most once, and exactly once if it succeeded."""
    if runs > 1:
        result.double_runs += runs - 1
        result.details.append(f"double run: {record.name}: {tool} ran {runs} times")
    if call.outcome is Outcome.NOT_RUN and runs:
        result.untrue_not_run += 1
        result.details.append(f"untrue not run: {record.name}: {tool}: {call.reason}")
    if call.outcome is Outcome.DONE and not runs:
        result.lost_histories += 1
        result.details.append(f"done without a run: {record.name}: {tool}")


def _judge_call(call: LogicalCall, windows: list[FaultWindow], result: ScenarioResult) -> None:
    result.calls += 1
    result.cut_requests += len(call.cuts)
    for cut in call.cuts:
        name = f"{call.kind}: {cut}"
        result.cuts_by_reason[name] = result.cuts_by_reason.get(name, 0) + 1
    if result.planned:
        result.details += [f"cut: {call.program}: {call.kind}: {cut}" for cut in call.cuts]
    if call.kind in READ_KINDS:
        return
    if call.outcome in (Outcome.UNREACHED, Outcome.CUT):
        result.unanswered += 1
        result.details.append(f"unanswered: {call.program}: {call.kind}: {call.reason}")
    if call.outcome is not Outcome.UNKNOWN:
        return
    in_flight = any(w.begins_at <= call.ended_at and call.started_at <= w.ends_at for w in windows)
    if in_flight:
        result.unknown += 1
    else:
        result.unknown_outside_fault += 1
        result.details.append(f"unknown outside the fault: {call.program}: {call.kind}")


def recovery_seconds(
    records: list[ProgramRecord], affected: set[str], fault_at: float
) -> list[float]:
    """Return the seconds from the fault to the next completed call of each affected program."""
    found: list[float] = []
    for record in records:
        if record.program_id not in affected:
            continue
        ends = [c.ended_at for c in record.calls if c.outcome is Outcome.DONE]
        after = [end - fault_at for end in ends if end >= fault_at]
        if after:
            found.append(min(after))
    return found


def running_programs(records: list[ProgramRecord], at: float) -> set[str]:
    """Return the programs that had started, but not begun to finish, at the given time."""
    found: set[str] = set()
    for record in records:
        begun = bool(record.calls) and record.calls[0].started_at < at
        ended = [c for c in record.calls if c.kind == "finish" and c.started_at < at]
        if begun and not ended:
            found.add(record.program_id)
    return found


def record_recovery(result: ScenarioResult, seconds: list[float]) -> None:
    """Record the median and the maximum recovery time in the result."""
    if seconds:
        result.recovery_seconds_p50 = round(statistics.median(seconds), 3)
        result.recovery_seconds_max = round(max(seconds), 3)
