"""Program state on a coordinator between and after calls: pauses and cache releases."""

from cachetools import LRUCache

from foxwinch._generated.steward_pb2 import FinishedProgram, PausedProgram
from foxwinch.core.coordinator.events import ProgramEnded, ProgramPaused
from foxwinch.identifiers import NodeId, ProgramId, ToolName, WorkerId
from foxwinch.workers.coordinator_grants import CoordinatorGrants
from foxwinch.workers.coordinator_pools import CoordinatorPools

MAX_CACHED_PROGRAMS = 8_192
"""Capacity of the LRU maps of programs and of completed releases. After an eviction a pause is
accepted without a check for newer requests, and a release is repeated."""


class CoordinatorPrograms:
    """Programs that use the workers held by this node."""

    def __init__(self, pools: CoordinatorPools, grants: CoordinatorGrants) -> None:
        self._pools = pools
        self._grants = grants
        self._last_request: LRUCache[ProgramId, tuple[NodeId, int]] = LRUCache(MAX_CACHED_PROGRAMS)
        self._last_worker: LRUCache[ProgramId, WorkerId] = LRUCache(MAX_CACHED_PROGRAMS)
        self._released: LRUCache[tuple[ProgramId, WorkerId], None] = LRUCache(MAX_CACHED_PROGRAMS)

    def requested(self, owner: NodeId, program_id: ProgramId, sequence: int) -> None:
        """Record the latest request of a program."""
        self._last_request[program_id] = (owner, sequence)

    def granted(self, program_id: ProgramId, worker: WorkerId) -> None:
        """Record the worker of the program's latest grant."""
        self._last_worker[program_id] = worker

    def recent_programs(self, worker: WorkerId) -> list[ProgramId]:
        """Return the programs whose last worker is `worker`, most recent first."""
        found = [program for program, last in self._last_worker.items() if last == worker]
        return found[::-1]

    def pause(self, owner: NodeId, paused: PausedProgram) -> None:
        """Pause a program for a tool call, unless it has made a newer request."""
        program_id = ProgramId(paused.program_id)
        last_owner, sequence = self._last_request.get(program_id, (owner, 0))
        if last_owner != owner or sequence > paused.sequence:
            return
        for _, pool in self._pools.pools():
            pool.handle(ProgramPaused(program_id, ToolName(paused.tool)))

    def finish(self, finished: FinishedProgram) -> bool:
        """Release a program's cache, and return True once all named workers have done so."""
        program_id = ProgramId(finished.program_id)
        self._last_worker.pop(program_id, None)
        self._last_request.pop(program_id, None)
        for _, pool in self._pools.pools():  # Some pools know only sub-agents of the program.
            pool.handle(ProgramEnded(program_id))
        released = [self._release(WorkerId(w), program_id) for w in finished.workers]
        return all(released)

    def _release(self, worker: WorkerId, program_id: ProgramId) -> bool:
        """Request a release after the program's calls have ended; return True if it is complete."""
        key = (program_id, worker)
        pool = self._pools.pool(worker)
        if pool is None:
            return False
        if key in self._released:
            return True
        if not self._grants.is_running(worker, program_id):
            pool.release(worker, program_id, lambda: self._mark_released(key))
        return False

    def _mark_released(self, key: tuple[ProgramId, WorkerId]) -> None:
        self._released[key] = None
