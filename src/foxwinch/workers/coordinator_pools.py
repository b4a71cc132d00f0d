"""The workers that a coordinator holds: their links, their pools' schedulers and their epochs."""

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
"""Calls dispatched to one engine at a time: the batch of the engines in use. More would wait
inside the engine, where their order cannot be changed any more."""


@dataclass(slots=True)
class HeldWorker:
    """One worker under this node's epoch."""

    settings: WorkerSettings
    epoch: Epoch
    link: WorkerLink
    on_ready: Callable[[], None]
    releasing: bool = False
    leaving: bool = False
    """By any source; kept to tell when it begins."""
    ready: bool = False


class CoordinatorPools:
    """Holds workers; told by the coordinator service which."""

    def __init__(
        self,
        engine: EnginePort,
        clock: Clock,
        ledger: GrantLedger,
        retries: EngineRetries,
        drains: WorkerDrains,
        on_leaving: Callable[[WorkerId], None],
    ) -> None:
        """`on_leaving` is called when a held worker begins to leave."""
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
        """Take the engine workers and the policy of a configuration."""
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
        """Return the workers under this node's epochs."""
        return self._held

    def pool(self, worker: WorkerId) -> PoolDriver | None:
        """Return the pool of a held worker."""
        held = self._held.get(worker)
        return None if held is None else self._pools.get(held.settings.pool)

    def pool_named(self, name: str) -> PoolDriver | None:
        """Return a pool that has had a worker here."""
        return self._pools.get(name)

    def pools(self) -> Iterator[tuple[str, PoolDriver]]:
        """Yield every pool by name."""
        yield from self._pools.items()

    def serving(self, model: ModelName, class_rank: int) -> tuple[str, PoolDriver] | None:
        """Return the pool with the shortest wait that serves a model here."""
        fitting = [(name, pool) for name, pool in self._pools.items() if pool.serves(model)]
        return min(
            fitting, key=lambda item: item[1].predicted_wait_seconds(class_rank), default=None
        )

    def models(self) -> set[ModelName]:
        """Return the models that ready workers here have loaded."""
        reports = (held.link.report for held in self._held.values() if held.ready)
        return {model for report in reports if report is not None for model in report.models}

    def hold(self, worker: WorkerId, epoch: Epoch, on_ready: Callable[[], None]) -> None:
        """Begin to read a worker under a new epoch; `on_ready` follows its first report."""
        self.let_go(worker)
        settings = self._settings.get(worker)
        if settings is None:
            return
        if settings.pool not in self._pools:
            self._pools[settings.pool] = PoolDriver(
                self._policy, self._engine, self._retries, self._clock, self._resync
            )
        events = WorkerLinkEvents(self._reported, self._cache_changed, self._gone)
        link = WorkerLink(worker, self._engine, self._clock, events)
        self._held[worker] = HeldWorker(settings, epoch, link, on_ready)
        link.start()

    def release(self, worker: WorkerId) -> None:
        """Give no new grants of a worker that is handed over."""
        held = self._held.get(worker)
        if held is not None:
            held.releasing = True
            self.refresh(worker)

    def let_go(self, worker: WorkerId) -> None:
        """Forget a worker: it is another coordinator's, or nobody's."""
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
        """Look at every worker again: a source of leaving or the foreign calls have changed."""
        for worker in list(self._held):
            self.refresh(worker)

    def refresh(self, worker: WorkerId) -> None:
        """Tell the pool what is now known of a worker."""
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
        """Let the pools see that time has passed."""
        for pool in self._pools.values():
            pool.handle(Tick())

    async def stop(self) -> None:
        """Let go of everything."""
        for worker in list(self._held):
            self.let_go(worker)
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

    def _reported(self, worker: WorkerId, report: LoadReport) -> None:
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

    def _gone(self, worker: WorkerId) -> None:
        """The worker cannot be reached: its places are void until it reports again."""
        held = self._held.get(worker)
        if held is not None:
            held.ready = False
            self._pools[held.settings.pool].remove_worker(worker)
            self._ledger.drop_worker(worker)

    def _resync(self, worker: WorkerId) -> None:
        held = self._held.get(worker)
        if held is not None:
            held.link.resync_cache()
