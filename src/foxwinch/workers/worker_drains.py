"""Workers that are leaving, from every source: operators, the machine list, reports, refusals."""

from collections.abc import Callable

from google.protobuf.message import DecodeError

from foxwinch._generated.steward_pb2 import WorkerDrain
from foxwinch.clock import Clock
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.identifiers import ProgramId, WorkerId
from foxwinch.log import EventLog
from foxwinch.membership.ports import GossipView
from foxwinch.outcomes import Refused
from foxwinch.service_tasks import ServiceTasks
from foxwinch.storage.ports import MachinePort
from foxwinch.workers.coordinator_directory import worker_resource

LIST_SECONDS = 1.0
"""Period of reading the machine list: a leaving worker gets no new work within 3 s of it."""
REFUSALS_NEEDED = 2
"""Refusals of different programs without a run in between; one alone may be about the call."""
REFUSAL_PAUSE_SECONDS = 3.0
"""A worker that refuses gets nothing for so long, unless its reports say more meanwhile."""

log = EventLog("worker")


class WorkerDrains:
    """Knows which workers get no new work, and why."""

    def __init__(
        self,
        gossip: GossipView,
        machines: MachinePort | None,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        """`on_change` is called when a source has changed; `machines` is None without a list."""
        self._gossip = gossip
        self._machines = machines
        self._clock = clock
        self._on_change = on_change
        self._listed: frozenset[str] = frozenset()
        self._refusing: dict[WorkerId, set[ProgramId]] = {}
        self._paused_until: dict[WorkerId, float] = {}
        self._tasks = ServiceTasks("worker_drains")

    def start(self) -> None:
        """Start reading the machine list."""
        self._gossip.subscribe(GossipKind.LEAVING, lambda entry: self._on_change())
        if self._machines is not None:
            reading = self._read_for_ever(self._machines)
            self._tasks.start(reading)

    async def stop(self) -> None:
        """Stop reading."""
        await self._tasks.stop()

    def reason(self, worker: WorkerId) -> str | None:
        """Return why a worker gets no new work, or None; its own report is not among these."""
        if self._ordered(worker):
            return "operator"
        if worker in self._listed:
            return "machine_list"
        if self._clock.monotonic() < self._paused_until.get(worker, float("-inf")):
            return "refusals"
        return None

    def refused(self, worker: WorkerId, program_id: ProgramId) -> None:
        """Take in that the worker refused a program's call without running it."""
        programs = self._refusing.setdefault(worker, set())
        programs.add(program_id)
        if len(programs) >= REFUSALS_NEEDED:
            programs.clear()
            self._paused_until[worker] = self._clock.monotonic() + REFUSAL_PAUSE_SECONDS
            log.info("worker_paused", worker=worker, cause="refusals")
            self._on_change()

    def ran(self, worker: WorkerId) -> None:
        """Take in that the worker ran a call."""
        self._refusing.pop(worker, None)

    def _ordered(self, worker: WorkerId) -> bool:
        entry = self._gossip.entries(GossipKind.LEAVING).get(worker_resource(worker))
        return entry is not None and _is_draining(entry)

    async def _read_for_ever(self, machines: MachinePort) -> None:
        while True:
            listed = await machines.machines()
            if not isinstance(listed, Refused):
                leaving = frozenset(m.name for m in listed if m.kind == "worker" and m.leaving)
                if leaving != self._listed:
                    log.info("workers_leaving", workers=",".join(sorted(leaving)))
                    self._listed = leaving
                    self._on_change()
            await self._clock.sleep(LIST_SECONDS)


def _is_draining(entry: GossipEntry) -> bool:
    drain = WorkerDrain()
    try:
        drain.ParseFromString(entry.payload)
    except DecodeError:
        return False
    return drain.draining


def drain_entry(gossip: GossipView, worker: WorkerId, draining: bool) -> GossipEntry:
    """Return the entry that drains a worker or takes it back, above every version heard of."""
    key = worker_resource(worker)
    known = gossip.entries(GossipKind.LEAVING).get(key)
    version = 1 if known is None else known.version + 1
    payload = WorkerDrain(draining=draining).SerializeToString()
    return GossipEntry(GossipKind.LEAVING, key, version, payload)
