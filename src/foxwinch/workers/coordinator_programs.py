"""What a coordinator does for programs between and after their calls: pauses and releases."""

from cachetools import LRUCache

from foxwinch._generated.steward_pb2 import FinishedProgram, PausedProgram
from foxwinch.core.coordinator.events import ProgramEnded, ProgramPaused
from foxwinch.identifiers import NodeId, ProgramId, ToolName, WorkerId
from foxwinch.workers.coordinator_grants import CoordinatorGrants
from foxwinch.workers.coordinator_pools import CoordinatorPools

MAX_CACHED_PROGRAMS = 8_192
"""Programs whose last ask is known, and releases whose end is known. An older pause is taken as
it comes; an older release is simply done again."""


class CoordinatorPrograms:
    """Programs as seen from the workers that this node holds."""

    def __init__(self, pools: CoordinatorPools, grants: CoordinatorGrants) -> None:
        """Start knowing no program."""
        self._pools = pools
        self._grants = grants
        self._last_ask: LRUCache[ProgramId, tuple[NodeId, int]] = LRUCache(MAX_CACHED_PROGRAMS)
        self._last_worker: LRUCache[ProgramId, WorkerId] = LRUCache(MAX_CACHED_PROGRAMS)
        self._released: LRUCache[tuple[ProgramId, WorkerId], None] = LRUCache(MAX_CACHED_PROGRAMS)

    def asked(self, owner: NodeId, program_id: ProgramId, sequence: int) -> None:
        """Take in that the program has a new call."""
        self._last_ask[program_id] = (owner, sequence)

    def granted(self, program_id: ProgramId, worker: WorkerId) -> None:
        """Take in where the program runs."""
        self._last_worker[program_id] = worker

    def latest_on(self, worker: WorkerId) -> list[ProgramId]:
        """Return the programs that ran on a worker last, the most recent first."""
        found = [program for program, last in self._last_worker.items() if last == worker]
        return found[::-1]

    def pause(self, owner: NodeId, paused: PausedProgram) -> None:
        """Take in a tool call, unless the program has gone on since."""
        program_id = ProgramId(paused.program_id)
        asker, sequence = self._last_ask.get(program_id, (owner, 0))
        if asker != owner or sequence > paused.sequence:
            return
        for _, pool in self._pools.pools():
            pool.handle(ProgramPaused(program_id, ToolName(paused.tool)))

    def finish(self, finished: FinishedProgram) -> bool:
        """Release a program's memory; True once none is held at the named workers."""
        program_id = ProgramId(finished.program_id)
        self._last_worker.pop(program_id, None)
        self._last_ask.pop(program_id, None)
        for _, pool in self._pools.pools():  # also one that has seen only its sub-agents
            pool.handle(ProgramEnded(program_id))
        released = [self._release(WorkerId(w), program_id) for w in finished.workers]
        return all(released)

    def _release(self, worker: WorkerId, program_id: ProgramId) -> bool:
        """Have the worker release the program, once its calls are over; True when it has."""
        key = (program_id, worker)
        pool = self._pools.pool(worker)
        if pool is None:
            return False
        if key in self._released:
            return True
        if not self._grants.is_running(worker, program_id):
            pool.release(worker, program_id, lambda: self._note_released(key))
        return False

    def _note_released(self, key: tuple[ProgramId, WorkerId]) -> None:
        self._released[key] = None
