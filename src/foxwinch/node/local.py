"""Single-process implementations of the node's interfaces, for one node without fellow nodes."""

import asyncio
from collections.abc import Callable, Sequence

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.identifiers import (
    ClassName,
    Epoch,
    ProgramId,
    Revision,
    ShardNumber,
    TenantName,
    WorkerId,
)
from foxwinch.node.interfaces import (
    Admitted,
    Appended,
    Clock,
    ConfigurationSnapshot,
    ConfigurationView,
    Grant,
    GrantRequest,
    GrantUsage,
    OwnedHere,
)
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.settings.cluster import ClusterConfiguration, WorkerSettings

LOCAL_EPOCH = Epoch(1)
RUNNING_PER_WORKER = 8
"""Calls dispatched to one worker at a time; more would only wait inside the engine."""


class LocalConfiguration:
    """A configuration that never changes."""

    REVISION = Revision(1)

    def __init__(self, document: ClusterConfiguration) -> None:
        """Hold `document` as revision 1."""
        self._snapshot = ConfigurationSnapshot(self.REVISION, document)

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the snapshot."""
        return self._snapshot

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Accept a listener that will never be called."""


class LocalOwnership:
    """This node owns everything."""

    def locate(self, program_id: ProgramId) -> OwnedHere | Refused:
        """Return the one shard."""
        return OwnedHere(ShardNumber(0), LOCAL_EPOCH)


class LocalJournal:
    """Records in this process's memory; nothing survives its end."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[JournalRecord] = []

    async def append(
        self, shard: ShardNumber, epoch: Epoch, records: Sequence[JournalRecord]
    ) -> Appended | Refused:
        """Keep the records."""
        self.records.extend(records)
        return Appended(len(self.records) - 1)


class LocalLimits:
    """Admits everything."""

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Admit."""
        return Admitted(tenant, estimated_tokens)

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Nothing to correct."""


class LocalGrants:
    """Grants the worker with the fewest running calls, first come first served."""

    def __init__(self, configuration: ConfigurationView, clock: Clock) -> None:
        """Take the workers from the configuration in force."""
        self._configuration = configuration
        self._clock = clock
        self._running: dict[str, int] = {}
        self._changed = asyncio.Condition()

    async def acquire(self, request: GrantRequest) -> Grant | Refused:
        """Wait until a worker that serves the model has room."""
        asked_at = self._clock.monotonic()
        async with self._changed:
            while True:
                snapshot = self._configuration.current()
                if isinstance(snapshot, Refused):
                    return snapshot
                workers = _workers_of(snapshot.document, request.model)
                if not workers:
                    return not_run(
                        Reason.BACKEND_UNAVAILABLE, f"no worker serves model {request.model}", 5.0
                    )
                worker = min(workers, key=lambda w: self._running.get(w.name, 0))
                running = self._running.get(worker.name, 0)
                if running < RUNNING_PER_WORKER:
                    self._running[worker.name] = running + 1
                    waited = self._clock.monotonic() - asked_at
                    return _grant(request, worker, waited, running)
                await self._changed.wait()

    def settle(self, grant: Grant, usage: GrantUsage) -> None:
        """Free the place and wake a waiting request."""
        self._running[grant.worker] -= 1
        asyncio.get_running_loop().create_task(self._wake())

    def pause(self, program_id: ProgramId, tool: str) -> None:
        """Nothing is decided about cache here."""

    def adopt(self, program_id: ProgramId) -> None:
        """Nothing is kept about programs."""

    def finish(self, program_id: ProgramId) -> None:
        """Nothing is held here."""

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()


def _workers_of(document: ClusterConfiguration, model: str) -> list[WorkerSettings]:
    pools = {p.name for p in document.pools if p.kind == "engine" and model in p.models}
    return [worker for worker in document.workers if worker.pool in pools]


def _grant(request: GrantRequest, worker: WorkerSettings, waited: float, running: int) -> Grant:
    return Grant(
        call_id=request.call_id,
        worker=WorkerId(worker.name),
        worker_url=worker.url,
        epoch=LOCAL_EPOCH,
        priority=0,
        expected_cached_tokens=0,
        waited_seconds=waited,
        reason=f"least loaded: {running} running",
    )
