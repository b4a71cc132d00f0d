"""Workers to which no new calls are sent, by operators, the machine list or refusals."""

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

LIST_INTERVAL_SECONDS = 1.0
"""Polling period of the machine list; a leaving worker gets no new calls within 3 s."""
REFUSAL_THRESHOLD = 2
"""Consecutive refusals of different programs that pause a worker, because a single one may be
specific to the call."""
REFUSAL_PAUSE_SECONDS = 3.0
"""Time for which a worker that refuses calls gets no new ones, in which its load reports may state
that it is leaving."""

log = EventLog("worker")


class WorkerDrains:
    """Tracks the workers that get no new calls, and the reasons."""

    def __init__(
        self,
        gossip: GossipView,
        machines: MachinePort | None,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        """Create the tracker.

        `on_change` is called after a change in any source. `machines` is None without a machine
        list.
        """
        self._gossip = gossip
        self._machines = machines
        self._clock = clock
        self._on_change = on_change
        self._listed: frozenset[str] = frozenset()
        self._refusing: dict[WorkerId, set[ProgramId]] = {}
        self._paused_until: dict[WorkerId, float] = {}
        self._tasks = ServiceTasks("worker_drains")

    def start(self) -> None:
        """Start polling the machine list."""
        self._gossip.subscribe(GossipKind.LEAVING, lambda entry: self._on_change())
        if self._machines is not None:
            loop = self._machine_list_loop(self._machines)
            self._tasks.start(loop)

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.stop()

    def reason(self, worker: WorkerId) -> str | None:
        """Return why a worker gets no new calls, or None; load reports are not considered."""
        if self._is_drained_by_operator(worker):
            return "operator"
        if worker in self._listed:
            return "machine_list"
        if self._clock.monotonic() < self._paused_until.get(worker, float("-inf")):
            return "refusals"
        return None

    def record_refusal(self, worker: WorkerId, program_id: ProgramId) -> None:
        """Record that the worker refused a program's call without running it."""
        programs = self._refusing.setdefault(worker, set())
        programs.add(program_id)
        if len(programs) >= REFUSAL_THRESHOLD:
            programs.clear()
            self._paused_until[worker] = self._clock.monotonic() + REFUSAL_PAUSE_SECONDS
            log.info("worker_paused", worker=worker, cause="refusals")
            self._on_change()

    def record_run(self, worker: WorkerId) -> None:
        """Record that the worker has run a call."""
        self._refusing.pop(worker, None)

    def _is_drained_by_operator(self, worker: WorkerId) -> bool:
        entry = self._gossip.entries(GossipKind.LEAVING).get(worker_resource(worker))
        return entry is not None and _is_draining(entry)

    async def _machine_list_loop(self, machines: MachinePort) -> None:
        while True:
            listed = await machines.machines()
            if not isinstance(listed, Refused):
                leaving = frozenset(m.name for m in listed if m.kind == "worker" and m.leaving)
                if leaving != self._listed:
                    log.info("workers_leaving", workers=",".join(sorted(leaving)))
                    self._listed = leaving
                    self._on_change()
            await self._clock.sleep(LIST_INTERVAL_SECONDS)


def _is_draining(entry: GossipEntry) -> bool:
    drain = WorkerDrain()
    try:
        drain.ParseFromString(entry.payload)
    except DecodeError:
        return False
    return drain.draining


def drain_entry(gossip: GossipView, worker: WorkerId, draining: bool) -> GossipEntry:
    """Return an entry that starts or ends a worker drain, with a version above the known one."""
    key = worker_resource(worker)
    known = gossip.entries(GossipKind.LEAVING).get(key)
    version = 1 if known is None else known.version + 1
    payload = WorkerDrain(draining=draining).SerializeToString()
    return GossipEntry(GossipKind.LEAVING, key, version, payload)
