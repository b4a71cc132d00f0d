"""What an owner still has to tell the coordinators about its grants and programs.

Every item stays until the coordinator that now serves its worker has answered, or until no such
worker exists any more. Items are idempotent, so that a report whose answer was lost is sent
again. A coordinator that dies with a report loses nothing: the next one of the worker is told.
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

ITEMS_PER_REPORT = 256
"""Bounds one message; the rest goes with the next."""
MAX_CACHED_PROGRAMS = 20_000
"""Programs whose workers are known; of an older one every worker is asked to release."""
CoordinatorOf = Callable[[WorkerId], NodeId | None]


@dataclass(frozen=True, slots=True)
class _Granted:
    grant: Grant
    sequence: int
    """Names the ask; the call may be asked for again."""


@dataclass(slots=True)
class _Pause:
    worker: WorkerId
    message: PausedProgram


@dataclass(slots=True)
class Report:
    """One message to one coordinator, and what it settles when answered."""

    coordinator: NodeId
    message: GrantReport = field(default_factory=GrantReport)
    settled: list[int] = field(default_factory=list)
    """Sequences of the asks whose grants are given back."""
    withdrawn: list[int] = field(default_factory=list)
    finished: dict[ProgramId, set[WorkerId]] = field(default_factory=dict)

    def is_full(self) -> bool:
        """Tell whether further items must go with the next report."""
        message = self.message
        items = len(message.settled) + len(message.paused) + len(message.finished)
        return items + len(message.withdrawn) >= ITEMS_PER_REPORT


class GrantReports:
    """Outstanding reports of one owner; holds no task and does no I/O."""

    def __init__(self) -> None:
        """Start with nothing to tell."""
        self._sequence = 0
        self._held: dict[CallId, _Granted] = {}
        self._settled: dict[int, tuple[Grant, GrantUsage]] = {}
        self._withdrawn: dict[int, tuple[CallId, NodeId]] = {}
        self._paused: dict[ProgramId, _Pause] = {}
        self._finished: dict[ProgramId, set[WorkerId]] = {}
        self._adopted: set[ProgramId] = set()
        self._workers: LRUCache[ProgramId, set[WorkerId]] = LRUCache(MAX_CACHED_PROGRAMS)
        self._last_worker: LRUCache[ProgramId, WorkerId] = LRUCache(MAX_CACHED_PROGRAMS)

    def next_sequence(self) -> int:
        """Return a number greater than every one before."""
        self._sequence += 1
        return self._sequence

    def last_worker(self, program_id: ProgramId) -> WorkerId | None:
        """Return the worker that most likely has the program's prefix."""
        return self._last_worker.get(program_id)

    def held(self) -> tuple[Grant, ...]:
        """Return the grants in use."""
        return tuple(granted.grant for granted in self._held.values())

    def pending(self) -> int:
        """Count the items that have not been answered, grants in use not among them."""
        items = (self._settled, self._withdrawn, self._paused, self._finished)
        return sum(len(item) for item in items)

    def has_news(self) -> bool:
        """Tell whether there is more to say than that grants are still held."""
        return self.pending() > 0

    def asked(self, program_id: ProgramId) -> None:
        """The program goes on: a pause that has not been told yet is out of date."""
        self._paused.pop(program_id, None)

    def granted(self, program_id: ProgramId, grant: Grant, sequence: int) -> None:
        """Hold the grant that the ask of this sequence was given."""
        self._held[grant.call_id] = _Granted(grant, sequence)
        self._workers.setdefault(program_id, set()).add(grant.worker)
        self._last_worker[program_id] = grant.worker

    def withdrew(self, call_id: CallId, sequence: int, coordinator: NodeId) -> None:
        """A request was given up; its grant may be under way."""
        self._withdrawn[sequence] = (call_id, coordinator)

    def settle(self, grant: Grant, usage: GrantUsage) -> None:
        """Give a grant back; a second time has no effect."""
        granted = self._held.get(grant.call_id)
        if granted is not None and granted.grant is grant:
            del self._held[grant.call_id]
            self._settled[granted.sequence] = (grant, usage)

    def pause(self, program_id: ProgramId, tool: str) -> None:
        """The program is in a tool call."""
        worker = self._last_worker.get(program_id)
        if worker is not None:
            message = PausedProgram(program_id=program_id, tool=tool, sequence=self.next_sequence())
            self._paused[program_id] = _Pause(worker, message)

    def adopt(self, program_id: ProgramId) -> None:
        """Take note that the program ran under an earlier owner, at workers not known here."""
        self._adopted.add(program_id)

    def finish(self, program_id: ProgramId, all_workers: Iterable[WorkerId]) -> None:
        """The program is over; its memory at every worker is to be released.

        `all_workers` stands in when this node never had a grant for the program, and is added
        when an earlier owner may have had some.
        """
        self._paused.pop(program_id, None)
        self._last_worker.pop(program_id, None)
        workers = self._workers.pop(program_id, set())
        if not workers or program_id in self._adopted:
            workers = workers | set(all_workers)
        self._adopted.discard(program_id)
        if workers:
            self._finished.setdefault(program_id, set()).update(workers)

    def forget_gone(self, workers: set[WorkerId], members: set[NodeId]) -> None:
        """Drop items about workers out of the configuration and coordinators that are gone."""
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

    def build(self, coordinator_of: CoordinatorOf) -> list[Report]:
        """Return a report for each coordinator that there is something to tell."""
        reports = _ReportSet(coordinator_of)
        self._build_calls(reports)
        self._build_paused(reports)
        self._build_finished(reports)
        return reports.all()

    def answered(self, report: Report, answer: GrantReportAnswer) -> list[CallId]:
        """Drop what a coordinator has taken in; returns held calls whose grant is void there."""
        for sequence in report.settled:
            self._settled.pop(sequence, None)
        for sequence in report.withdrawn:
            self._withdrawn.pop(sequence, None)
        for message in report.message.paused:
            pause = self._paused.get(ProgramId(message.program_id))
            if pause is not None and pause.message.sequence == message.sequence:
                del self._paused[ProgramId(message.program_id)]
        for name in answer.released:
            self._released(ProgramId(name), report)
        void = [CallId(call_id) for call_id in answer.void_calls]
        return [call_id for call_id in void if call_id in self._held]

    def _build_calls(self, reports: "_ReportSet") -> None:
        for granted in self._held.values():
            if (report := reports.of_worker(granted.grant.worker)) is not None:
                report.message.held.append(_held_message(granted))
        for sequence, (grant, usage) in self._settled.items():
            if (report := reports.with_room(reports.of_worker(grant.worker))) is not None:
                report.message.settled.append(settled_message(grant, usage, sequence))
                report.settled.append(sequence)
        for sequence, (call_id, node) in self._withdrawn.items():
            if (report := reports.with_room(reports.of_node(node))) is not None:
                item = WithdrawnAsk(call_id=call_id, sequence=sequence)
                report.message.withdrawn.append(item)
                report.withdrawn.append(sequence)

    def _build_paused(self, reports: "_ReportSet") -> None:
        for pause in self._paused.values():
            if (report := reports.with_room(reports.of_worker(pause.worker))) is not None:
                report.message.paused.append(pause.message)

    def _build_finished(self, reports: "_ReportSet") -> None:
        for program_id, workers in self._finished.items():
            for node, served in reports.by_coordinator(workers).items():
                if (report := reports.with_room(reports.of_node(node))) is not None:
                    item = FinishedProgram(program_id=program_id, workers=sorted(served))
                    report.message.finished.append(item)
                    report.finished[program_id] = served

    def _released(self, program_id: ProgramId, report: Report) -> None:
        workers = self._finished.get(program_id)
        if workers is not None:
            workers -= report.finished.get(program_id, set())
            if not workers:
                del self._finished[program_id]


def _held_message(granted: _Granted) -> HeldCall:
    grant = granted.grant
    return HeldCall(call_id=grant.call_id, worker=grant.worker, sequence=granted.sequence)


class _ReportSet:
    """Reports under construction, one for each coordinator."""

    def __init__(self, coordinator_of: CoordinatorOf) -> None:
        self._coordinator_of = coordinator_of
        self._reports: dict[NodeId, Report] = {}

    def all(self) -> list[Report]:
        """Return the reports."""
        return list(self._reports.values())

    def of_node(self, node: NodeId) -> Report:
        """Return the report to a coordinator."""
        return self._reports.setdefault(node, Report(node))

    def of_worker(self, worker: WorkerId) -> Report | None:
        """Return the report to the coordinator of a worker, if it has one now."""
        node = self._coordinator_of(worker)
        return None if node is None else self.of_node(node)

    def with_room(self, report: Report | None) -> Report | None:
        """Return the report unless it is full."""
        return None if report is None or report.is_full() else report

    def by_coordinator(self, workers: Iterable[WorkerId]) -> dict[NodeId, set[WorkerId]]:
        """Return the workers that have a coordinator now, grouped by it."""
        found: dict[NodeId, set[WorkerId]] = {}
        for worker in workers:
            if (node := self._coordinator_of(worker)) is not None:
                found.setdefault(node, set()).add(worker)
        return found
