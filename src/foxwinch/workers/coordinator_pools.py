"""Workers held by a coordinator, with their links, epochs and pool schedulers."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from foxwinch.backends.ports import EnginePort, LoadReport
from foxwinch.clock import Clock
from foxwinch.core.coordinator.calls import WorkerDescription
from foxwinch.core.coordinator.events import CacheChanged, LoadReported, PolicyChanged, Tick
from foxwinch.core.coordinator.grant_ledger import GrantLedger
from foxwinch.core.coordinator.policy import PolicySettings, policy_for
from foxwinch.core.prompt import BLOCK_TOKENS
from foxwinch.identifiers import Epoch, ModelName, WorkerId
from foxwinch.settings.cluster import ClusterConfiguration, WorkerSettings
from foxwinch.workers.engine_retries import EngineRetries
from foxwinch.workers.pool_driver import PoolDriver
from foxwinch.workers.worker_drains import WorkerDrains
from foxwinch.workers.worker_link import WorkerLink, WorkerLinkEvents

SLOTS_PER_WORKER = 16
"""Maximum number of concurrent calls per engine, which is the batch size of the engines in use.
Further calls would queue inside the engine, where they cannot be reordered."""


@dataclass(slots=True)
class HeldWorker:
    """A worker held under an epoch of this node."""

    settings: WorkerSettings
    epoch: Epoch
    link: WorkerLink
    on_ready: Callable[[], None]
    releasing: bool = False
    leaving: bool = False
    """Whether any source reports the worker as leaving; stored to detect the transition."""
    ready: bool = False


class CoordinatorPools:
    """Workers held by this node, as directed by the coordinator service, and their pools."""

    def __init__(
        self,
        engine: EnginePort,
        clock: Clock,
        ledger: GrantLedger,
        retries: EngineRetries,
        drains: WorkerDrains,
        on_leaving: Callable[[WorkerId], None],
    ) -> None:
        """Create the pools; `on_leaving` is called when a held worker starts leaving."""
        self._engine = engine
        self._clock = clock
        self._ledger = ledger
        self._retries = retries
        self._on_leaving = on_leaving
        self._drains = drains
        self._policy: PolicySettings = policy_for("latency")
        self._pools: dict[str, PoolDriver] = {}
        self._held: dict[WorkerId, HeldWorker] = {}
        self._settings: dict[WorkerId, WorkerSettings] = {}
        self._stopping: set[asyncio.Task[None]] = set()

    def configure(self, document: ClusterConfiguration) -> None:
        """Apply the engine workers and the policy of a configuration."""
        engines = {pool.name for pool in document.pools if pool.kind == "engine"}
        self._settings = {WorkerId(w.name): w for w in document.workers if w.pool in engines}
        policy = policy_for(document.objective)
        if policy != self._policy:
            self._policy = policy
            for pool in self._pools.values():
                pool.handle(PolicyChanged(policy))
        for worker, held in self._held.items():
            held.settings = self._settings.get(worker, held.settings)

    def workers(self) -> dict[WorkerId, WorkerSettings]:
        """Return the configured engine workers."""
        return self._settings

    def held(self) -> dict[WorkerId, HeldWorker]:
        """Return the workers held under epochs of this node."""
        return self._held

    def pool(self, worker: WorkerId) -> PoolDriver | None:
        """Return the pool of a held worker, or None if the worker is not held."""
        held = self._held.get(worker)
        return None if held is None else self._pools.get(held.settings.pool)

    def pool_named(self, name: str) -> PoolDriver | None:
        """Return a pool that has had a worker on this node, or None."""
        return self._pools.get(name)

    def pools(self) -> Iterator[tuple[str, PoolDriver]]:
        """Yield the name and driver of every pool."""
        yield from self._pools.items()

    def serving(self, model: ModelName, class_rank: int) -> tuple[str, PoolDriver] | None:
        """Return the pool with the shortest predicted wait for a model, or None without a pool."""
        candidates = [(name, pool) for name, pool in self._pools.items() if pool.serves(model)]
        return min(
            candidates, key=lambda item: item[1].predicted_wait_seconds(class_rank), default=None
        )

    def models(self) -> set[ModelName]:
        """Return the models loaded on ready workers of this node."""
        reports = (held.link.report for held in self._held.values() if held.ready)
        return {model for report in reports if report is not None for model in report.models}

    def add_worker(self, worker: WorkerId, epoch: Epoch, on_ready: Callable[[], None]) -> None:
        """Start polling a worker under a new epoch; `on_ready` is called on its first report."""
        self.drop_worker(worker)
        settings = self._settings.get(worker)
        if settings is None:
            return
        if settings.pool not in self._pools:
            self._pools[settings.pool] = PoolDriver(
                self._policy, self._engine, self._retries, self._clock, self._resync
            )
        events = WorkerLinkEvents(self._on_report, self._cache_changed, self._on_unreachable)
        link = WorkerLink(worker, self._engine, self._clock, events)
        self._held[worker] = HeldWorker(settings, epoch, link, on_ready)
        link.start()

    def release(self, worker: WorkerId) -> None:
        """Stop issuing grants on a worker that is being handed over."""
        held = self._held.get(worker)
        if held is not None:
            held.releasing = True
            self.refresh(worker)

    def drop_worker(self, worker: WorkerId) -> None:
        """Drop a worker that is no longer held by this node."""
        held = self._held.pop(worker, None)
        if held is None:
            return
        pool = self._pools[held.settings.pool]
        pool.remove_worker(worker)
        self._ledger.drop_worker(worker)
        self._retries.drop_worker(worker)
        task = asyncio.get_running_loop().create_task(held.link.stop())
        self._stopping.add(task)
        task.add_done_callback(self._stopping.discard)

    def refresh_all(self) -> None:
        """Refresh every worker after a possible change of its drains or foreign calls."""
        for worker in list(self._held):
            self.refresh(worker)

    def refresh(self, worker: WorkerId) -> None:
        """Update the pool with the current state of a worker."""
        held = self._held.get(worker)
        if held is None or held.link.report is None or not held.ready:
            return
        was_leaving, held.leaving = held.leaving, self._is_leaving(held, held.link.report)
        description = self._describe(worker, held.link.report)
        pool = self._pools[held.settings.pool]
        pool.set_worker(description, held.leaving or held.releasing)
        if held.leaving and not was_leaving:
            self._on_leaving(worker)

    def tick(self) -> None:
        """Send a timer tick to all pools."""
        for pool in self._pools.values():
            pool.handle(Tick())

    async def stop(self) -> None:
        """Drop all workers and stop the pools."""
        for worker in list(self._held):
            self.drop_worker(worker)
        for pool in self._pools.values():
            await pool.stop()
        await asyncio.gather(*self._stopping, return_exceptions=True)

    def _is_leaving(self, held: HeldWorker, report: LoadReport) -> bool:
        return report.leaving or self._drains.reason(held.link.worker) is not None

    def _describe(self, worker: WorkerId, report: LoadReport) -> WorkerDescription:
        foreign = self._ledger.foreign_calls(worker)
        return WorkerDescription(
            worker=worker,
            models=report.models,
            slots=max(0, SLOTS_PER_WORKER - foreign),
            cache_blocks=report.cache_blocks_total,
            block_tokens=BLOCK_TOKENS,
        )

    def _on_report(self, worker: WorkerId, report: LoadReport) -> None:
        held = self._held.get(worker)
        if held is None:
            return
        if not held.ready:
            held.ready = True
            held.on_ready()
        self.refresh(worker)
        self._pools[held.settings.pool].handle(LoadReported(worker, report.running, report.waiting))

    def _cache_changed(self, event: CacheChanged) -> None:
        pool = self.pool(event.worker)
        if pool is not None:
            pool.handle(event)

    def _on_unreachable(self, worker: WorkerId) -> None:
        """Remove an unreachable worker and its grants from the pool until it reports again."""
        held = self._held.get(worker)
        if held is not None:
            held.ready = False
            self._pools[held.settings.pool].remove_worker(worker)
            self._ledger.drop_worker(worker)

    def _resync(self, worker: WorkerId) -> None:
        held = self._held.get(worker)
        if held is not None:
            held.link.resync_cache()
