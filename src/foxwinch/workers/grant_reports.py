"""Pending reports from an owner to coordinators about its grants and programs.

Each item is kept until the current coordinator of its worker has acknowledged it, or until the
worker no longer exists. Items are idempotent, so a report whose response was lost is resent. If a
coordinator fails before it responds, the items go to the next coordinator of the worker.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cachetools import LRUCache

from foxwinch._generated.steward_pb2 import (
    FinishedProgram,
    GrantReport,
    GrantReportAnswer,
    HeldCall,
    PausedProgram,
    WithdrawnAsk,
)
from foxwinch.identifiers import CallId, NodeId, ProgramId, WorkerId
from foxwinch.workers.coordinator_messages import settled_message
from foxwinch.workers.ports import Grant, GrantUsage

MAX_REPORT_ITEMS = 256
"""Maximum number of items in a message; the remaining items are sent in the next one."""
MAX_CACHED_PROGRAMS = 20_000
"""Capacity of the LRU map from programs to workers; evicted programs are released everywhere."""
CoordinatorLookup = Callable[[WorkerId], NodeId | None]


@dataclass(frozen=True, slots=True)
class _ActiveGrant:
    grant: Grant
    sequence: int
    """Sequence number of the request, because a call may be requested more than once."""


@dataclass(slots=True)
class _Pause:
    worker: WorkerId
    message: PausedProgram


@dataclass(slots=True)
class Report:
    """A message to one coordinator and the items that its response acknowledges."""

    coordinator: NodeId
    message: GrantReport = field(default_factory=GrantReport)
    settled: list[int] = field(default_factory=list)
    """Sequence numbers of the requests whose grants have ended."""
    withdrawn: list[int] = field(default_factory=list)
    finished: dict[ProgramId, set[WorkerId]] = field(default_factory=dict)

    def is_full(self) -> bool:
        """Return whether the message has reached its maximum number of items."""
        message = self.message
        items = len(message.settled) + len(message.paused) + len(message.finished)
        return items + len(message.withdrawn) >= MAX_REPORT_ITEMS


class GrantReports:
    """Pending reports of one owner, without tasks and I/O."""

    def __init__(self) -> None:
        self._sequence = 0
        self._held: dict[CallId, _ActiveGrant] = {}
        self._settled: dict[int, tuple[Grant, GrantUsage]] = {}
        self._withdrawn: dict[int, tuple[CallId, NodeId]] = {}
        self._paused: dict[ProgramId, _Pause] = {}
        self._finished: dict[ProgramId, set[WorkerId]] = {}
        self._taken_over: set[ProgramId] = set()
        self._workers: LRUCache[ProgramId, set[WorkerId]] = LRUCache(MAX_CACHED_PROGRAMS)
        self._last_worker: LRUCache[ProgramId, WorkerId] = LRUCache(MAX_CACHED_PROGRAMS)

    def next_sequence(self) -> int:
        """Return the next sequence number, which is greater than all previous ones."""
        self._sequence += 1
        return self._sequence

    def last_worker(self, program_id: ProgramId) -> WorkerId | None:
        """Return the last worker of the program, which most likely has its prefix, if known."""
        return self._last_worker.get(program_id)

    def held(self) -> tuple[Grant, ...]:
        """Return the active grants."""
        return tuple(granted.grant for granted in self._held.values())

    def pending(self) -> int:
        """Return the number of unacknowledged items, excluding active grants."""
        items = (self._settled, self._withdrawn, self._paused, self._finished)
        return sum(len(item) for item in items)

    def has_pending(self) -> bool:
        """Return whether there are unacknowledged items besides active grants."""
        return self.pending() > 0

    def drop_pause(self, program_id: ProgramId) -> None:
        """Drop an unsent pause of a program that requests its next call."""
        self._paused.pop(program_id, None)

    def granted(self, program_id: ProgramId, grant: Grant, sequence: int) -> None:
        """Record the grant for the request with this sequence number."""
        self._held[grant.call_id] = _ActiveGrant(grant, sequence)
        self._workers.setdefault(program_id, set()).add(grant.worker)
        self._last_worker[program_id] = grant.worker

    def withdraw(self, call_id: CallId, sequence: int, coordinator: NodeId) -> None:
        """Record a withdrawn request whose grant may be in flight."""
        self._withdrawn[sequence] = (call_id, coordinator)

    def settle(self, grant: Grant, usage: GrantUsage) -> None:
        """End a grant; repeated calls have no effect."""
        granted = self._held.get(grant.call_id)
        if granted is not None and granted.grant is grant:
            del self._held[grant.call_id]
            self._settled[granted.sequence] = (grant, usage)

    def pause(self, program_id: ProgramId, tool: str) -> None:
        """Record that the program has started a tool call."""
        worker = self._last_worker.get(program_id)
        if worker is not None:
            message = PausedProgram(program_id=program_id, tool=tool, sequence=self.next_sequence())
            self._paused[program_id] = _Pause(worker, message)

    def mark_taken_over(self, program_id: ProgramId) -> None:
        """Record that the program ran under an earlier owner, on workers unknown to this node."""
        self._taken_over.add(program_id)

    def finish(self, program_id: ProgramId, all_workers: Iterable[WorkerId]) -> None:
        """Request the release of a finished program's cache on every worker that may hold it.

        All of `all_workers` are included if this node never had a grant for the program or if an
        earlier owner may have had one.
        """
        self._paused.pop(program_id, None)
        self._last_worker.pop(program_id, None)
        workers = self._workers.pop(program_id, set())
        if not workers or program_id in self._taken_over:
            workers = workers | set(all_workers)
        self._taken_over.discard(program_id)
        if workers:
            self._finished.setdefault(program_id, set()).update(workers)

    def drop_unknown(self, workers: set[WorkerId], members: set[NodeId]) -> None:
        """Drop items about workers that are not configured and coordinators that have left."""
        for sequence, (grant, _) in list(self._settled.items()):
            if grant.worker not in workers:
                del self._settled[sequence]
        for sequence, (_, node) in list(self._withdrawn.items()):
            if node not in members:
                del self._withdrawn[sequence]
        for program_id, pause in list(self._paused.items()):
            if pause.worker not in workers:
                del self._paused[program_id]
        for program_id, served in list(self._finished.items()):
            served &= workers
            if not served:
                del self._finished[program_id]

    def build(self, coordinator_of: CoordinatorLookup) -> list[Report]:
        """Return one report for each coordinator with pending items or active grants."""
        reports = _ReportBuilder(coordinator_of)
        self._build_calls(reports)
        self._build_paused(reports)
        self._build_finished(reports)
        return reports.all()

    def acknowledge(self, report: Report, response: GrantReportAnswer) -> list[CallId]:
        """Drop the acknowledged items, and return the held calls whose grant is invalid."""
        for sequence in report.settled:
            self._settled.pop(sequence, None)
        for sequence in report.withdrawn:
            self._withdrawn.pop(sequence, None)
        for message in report.message.paused:
            pause = self._paused.get(ProgramId(message.program_id))
            if pause is not None and pause.message.sequence == message.sequence:
                del self._paused[ProgramId(message.program_id)]
        for name in response.released:
            self._acknowledge_released(ProgramId(name), report)
        invalid = [CallId(call_id) for call_id in response.void_calls]
        return [call_id for call_id in invalid if call_id in self._held]

    def _build_calls(self, reports: "_ReportBuilder") -> None:
        for granted in self._held.values():
            if (report := reports.for_worker(granted.grant.worker)) is not None:
                report.message.held.append(_held_message(granted))
        for sequence, (grant, usage) in self._settled.items():
            if (report := reports.unless_full(reports.for_worker(grant.worker))) is not None:
                report.message.settled.append(settled_message(grant, usage, sequence))
                report.settled.append(sequence)
        for sequence, (call_id, node) in self._withdrawn.items():
            if (report := reports.unless_full(reports.for_node(node))) is not None:
                item = WithdrawnAsk(call_id=call_id, sequence=sequence)
                report.message.withdrawn.append(item)
                report.withdrawn.append(sequence)

    def _build_paused(self, reports: "_ReportBuilder") -> None:
        for pause in self._paused.values():
            if (report := reports.unless_full(reports.for_worker(pause.worker))) is not None:
                report.message.paused.append(pause.message)

    def _build_finished(self, reports: "_ReportBuilder") -> None:
        for program_id, workers in self._finished.items():
            for node, served in reports.by_coordinator(workers).items():
                if (report := reports.unless_full(reports.for_node(node))) is not None:
                    item = FinishedProgram(program_id=program_id, workers=sorted(served))
                    report.message.finished.append(item)
                    report.finished[program_id] = served

    def _acknowledge_released(self, program_id: ProgramId, report: Report) -> None:
        workers = self._finished.get(program_id)
        if workers is not None:
            workers -= report.finished.get(program_id, set())
            if not workers:
                del self._finished[program_id]


def _held_message(granted: _ActiveGrant) -> HeldCall:
    grant = granted.grant
    return HeldCall(call_id=grant.call_id, worker=grant.worker, sequence=granted.sequence)


class _ReportBuilder:
    """Reports under construction, one per coordinator."""

    def __init__(self, coordinator_of: CoordinatorLookup) -> None:
        self._coordinator_of = coordinator_of
        self._reports: dict[NodeId, Report] = {}

    def all(self) -> list[Report]:
        """Return the reports."""
        return list(self._reports.values())

    def for_node(self, node: NodeId) -> Report:
        """Return the report to a coordinator, creating it if necessary."""
        return self._reports.setdefault(node, Report(node))

    def for_worker(self, worker: WorkerId) -> Report | None:
        """Return the report to the coordinator of a worker, or None if it has no coordinator."""
        node = self._coordinator_of(worker)
        return None if node is None else self.for_node(node)

    def unless_full(self, report: Report | None) -> Report | None:
        """Return the report, or None if it is full."""
        return None if report is None or report.is_full() else report

    def by_coordinator(self, workers: Iterable[WorkerId]) -> dict[NodeId, set[WorkerId]]:
        """Return the workers that have a coordinator, grouped by coordinator."""
        found: dict[NodeId, set[WorkerId]] = {}
        for worker in workers:
            if (node := self._coordinator_of(worker)) is not None:
                found.setdefault(node, set()).add(worker)
        return found
