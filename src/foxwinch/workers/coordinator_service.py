"""Coordinator of a node, which claims and polls workers, issues grants and hands workers over."""

import asyncio
from dataclasses import dataclass
from typing import cast

from prometheus_client import CollectorRegistry

from foxwinch._generated.steward_pb2 import HeldResource, ModelQueue, StewardDigest
from foxwinch.backends.ports import EnginePort
from foxwinch.clock import Clock
from foxwinch.configuration.ports import ConfigurationSnapshot, ConfigurationView
from foxwinch.core.coordinator.assignment import (
    AssignmentAction,
    Claim,
    CoordinatorAssignment,
    CoordinatorState,
    Lost,
    Release,
    Resource,
    Resync,
)
from foxwinch.core.coordinator.grant_ledger import GrantLedger
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.identifiers import Epoch, ModelName, NodeId, WorkerId, ZoneName
from foxwinch.log import EventLog
from foxwinch.membership.ports import GossipView, MembershipView
from foxwinch.outcomes import Refused
from foxwinch.peer.ports import PeerPort
from foxwinch.service_tasks import ServiceTasks
from foxwinch.storage.ports import MachinePort
from foxwinch.workers.cache_evacuation import CacheEvacuation
from foxwinch.workers.coordinator_directory import (
    CoordinatorDirectory,
    resource_worker,
    worker_resource,
)
from foxwinch.workers.coordinator_grants import LOWEST_RANK, CoordinatorGrants
from foxwinch.workers.coordinator_handlers import CoordinatorHandlers
from foxwinch.workers.coordinator_metrics import CoordinatorMetrics
from foxwinch.workers.coordinator_pools import CoordinatorPools
from foxwinch.workers.engine_retries import EngineRetries
from foxwinch.workers.event_wait import wait_for_event
from foxwinch.workers.ports import EpochView
from foxwinch.workers.worker_drains import WorkerDrains

TICK_SECONDS = 0.25
"""Maximum interval between checks of members, leases and waiting calls."""
HANDOVER_TIMEOUT_SECONDS = 5.0
"""Time to wait for the claim of the next coordinator, which arrives by gossip and may be queued."""
DIGEST_INTERVAL_SECONDS = 2.0
DIGEST_INTERVAL_SECONDS_PER_MEMBER = 0.3
"""Minimum interval between digests per member.

If only queue lengths change, the interval is at least `DIGEST_INTERVAL_SECONDS` and this time
multiplied by the number of members. More frequent digests would use up the gossip budget."""

log = EventLog("steward")


@dataclass(frozen=True, slots=True)
class CoordinatorPorts:
    """Dependencies of a coordinator on its node."""

    node: NodeId
    clock: Clock
    engine: EnginePort
    configuration: ConfigurationView
    membership: MembershipView
    gossip: GossipView
    epochs: EpochView
    peers: PeerPort | None
    machines: MachinePort | None
    registry: CollectorRegistry


class CoordinatorService:
    """Service that runs the worker assignment of this node; `handlers` serves owner requests."""

    def __init__(self, ports: CoordinatorPorts, directory: CoordinatorDirectory) -> None:
        self._ports = ports
        self._directory = directory
        self._ledger = GrantLedger()
        self._retries = EngineRetries(ports.clock)
        self._evacuation = CacheEvacuation(ports.engine)
        self._wake_event = asyncio.Event()
        self._drains = WorkerDrains(ports.gossip, ports.machines, ports.clock, self._wake_event.set)
        self.pools = CoordinatorPools(
            ports.engine, ports.clock, self._ledger, self._retries, self._drains, self._evacuate
        )
        self._grants = CoordinatorGrants(
            ports.engine,
            ports.clock,
            ports.configuration,
            self.pools,
            self._ledger,
            self._retries,
            self._drains,
            self._fenced,
        )
        self.handlers = CoordinatorHandlers(
            ports.engine,
            ports.clock,
            self.pools,
            self._ledger,
            self._retries,
            self._grants,
            self.state_of,
        )
        self._metrics = CoordinatorMetrics(ports.registry)
        self._assignment: CoordinatorAssignment | None = None
        self._tasks = ServiceTasks("steward")
        self._extra_resources: tuple[Resource, ...] = ()
        self._draining = False
        self._digest = b""
        self._digest_held = b""
        self._digest_version = 0
        self._digest_at = float("-inf")

    def state_of(self, worker: WorkerId) -> CoordinatorState:
        """Return the state of a worker on this node."""
        if self._assignment is None:
            return CoordinatorState.UNASSIGNED
        return self._assignment.state(worker_resource(worker))

    def add_resource(self, resource: Resource) -> None:
        """Add a resource other than a worker to the assignment."""
        self._extra_resources = (*self._extra_resources, resource)

    def epoch_of(self, resource: str) -> Epoch | None:
        """Return the epoch of a resource, or None if this node is not serving it."""
        if self._assignment is None or self._draining:
            return None
        if self._assignment.state(resource) is not CoordinatorState.SERVING:
            return None
        return self._assignment.held().get(resource)

    async def start(self) -> None:
        """Start handling requests and claiming workers."""
        member = self._ports.membership.this_member()
        self._assignment = CoordinatorAssignment(
            self._ports.node, member.region, self._started_at()
        )
        self._ports.configuration.subscribe(self._on_configuration)
        snapshot = self._ports.configuration.current()
        if not isinstance(snapshot, Refused):
            self._on_configuration(snapshot)
        if self._ports.peers is not None:
            self.handlers.serve(self._ports.peers)
        self._directory.subscribe(self._wake_event.set)
        self._drains.start()
        self._tasks.start(self._run())

    async def stop(self) -> None:
        """Stop all parts; the epochs stay valid until another node raises them."""
        await self._tasks.stop()
        await self._drains.stop()
        await self._evacuation.stop()
        await self.pools.stop()
        await self._retries.stop()

    async def drain(self) -> None:
        """Release every worker and wait for other nodes to claim them, with a timeout.

        A worker without a known claim at the timeout is claimed after this node has left. This node
        issues no more grants for it, and calls running on the worker continue.
        """
        assert self._assignment is not None
        self._draining = True
        self._assignment.drain()
        deadline_at = self._ports.clock.monotonic() + HANDOVER_TIMEOUT_SECONDS
        while self._assignment.held() and self._ports.clock.monotonic() < deadline_at:
            self._wake_event.set()
            await self._ports.clock.sleep(TICK_SECONDS)

    def _started_at(self) -> float:
        """Return the start time for the claim delay, which a single-node deployment skips."""
        if self._ports.peers is None:
            return float("-inf")
        return self._ports.clock.monotonic()

    # --- main loop ---------------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            self._wake_event.clear()
            self._tick()
            await wait_for_event(self._ports.clock, self._wake_event, TICK_SECONDS)

    def _tick(self) -> None:
        assignment = cast(CoordinatorAssignment, self._assignment)
        now = self._ports.clock.monotonic()
        assignment.update_candidates(self._directory.candidates())
        assignment.update_holders(self._directory.holders())
        assignment.update_missing_digests(self._directory.has_missing_digests())
        assignment.update_epochs(self._directory.epochs())
        for action in assignment.advance(now):
            self._execute(action)
        self._finish_handovers(assignment)
        self._metrics.expired(self._grants.expire(self._is_present))
        self.pools.refresh_all()
        self.pools.tick()
        self._publish(assignment, now)
        self._metrics.observe(assignment.held(), self._ledger, self.pools)

    def _is_present(self, node: NodeId) -> bool:
        return self._directory.member(node) is not None

    def _on_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        self.pools.configure(snapshot.document)
        assert self._assignment is not None
        workers = [
            Resource(worker_resource(worker), ZoneName(settings.zone))
            for worker, settings in self.pools.workers().items()
        ]
        self._assignment.update_resources([*workers, *self._extra_resources])
        self._wake_event.set()

    # --- assignment --------------------------------------------------------------------------

    def _execute(self, action: AssignmentAction) -> None:
        log.info(type(action).__name__.lower(), node=self._ports.node, resource=action.resource)
        worker = resource_worker(action.resource)
        match action:
            case Claim():
                self._tasks.start(self._claim(action.resource))
            case Resync():
                self._resync(action, worker)
            case Release() if worker is not None:
                self.pools.release(worker)
            case Lost() if worker is not None:
                self._drop_worker(worker)

    async def _claim(self, resource: str) -> None:
        assignment = cast(CoordinatorAssignment, self._assignment)
        claim = await self._ports.epochs.raise_epoch(resource)
        if isinstance(claim, Refused):
            log.info("claim_refused", resource=resource, reason=claim.reason)
            assignment.refused(resource, self._ports.clock.monotonic())
        else:
            for action in assignment.claimed(resource, claim.epoch):
                self._execute(action)
        self._wake_event.set()

    def _resync(self, action: Resync, worker: WorkerId | None) -> None:
        assignment = cast(CoordinatorAssignment, self._assignment)
        if worker is None:
            assignment.resynced(action.resource, action.epoch)
            return

        def ready() -> None:
            assignment.resynced(action.resource, action.epoch)
            self._wake_event.set()

        self.pools.add_worker(worker, action.epoch, ready)

    def _fenced(self, worker: WorkerId, epoch: Epoch) -> None:
        """Drop a worker that refused an epoch of this node because a higher one exists."""
        assignment = cast(CoordinatorAssignment, self._assignment)
        for action in assignment.fenced(worker_resource(worker), Epoch(epoch + 1)):
            self._execute(action)
        self._wake_event.set()

    def _finish_handovers(self, assignment: CoordinatorAssignment) -> None:
        """Complete handovers without a possible successor after their grants have ended."""
        is_alone = not any(c.node != self._ports.node for c in self._directory.candidates())
        for resource, epoch in assignment.held().items():
            if assignment.state(resource) is not CoordinatorState.RELEASING:
                continue
            worker = resource_worker(resource)
            if worker is None:
                assignment.released(resource, epoch)
            elif (
                is_alone or worker not in self.pools.workers()
            ) and not self._ledger.worker_grants(worker):
                self._drop_worker(worker)
                assignment.released(resource, epoch)

    def _drop_worker(self, worker: WorkerId) -> None:
        self._evacuation.cancel(worker)
        self.pools.drop_worker(worker)

    def _evacuate(self, worker: WorkerId) -> None:
        """Copy useful cache from a leaving worker to the other workers of its pool."""
        held = self.pools.held()
        pool_name = held[worker].settings.pool
        targets = [
            name
            for name, other in held.items()
            if name != worker
            and other.settings.pool == pool_name
            and other.ready
            and not other.leaving
        ]
        log.info("worker_leaving", worker=worker, targets=len(targets))
        self._evacuation.start(worker, targets, self.handlers.programs.recent_programs(worker))

    # --- digest ------------------------------------------------------------------------------

    def _publish(self, assignment: CoordinatorAssignment, now: float) -> None:
        """Publish a changed digest, immediately for held resources and rate-limited otherwise."""
        digest = StewardDigest(draining=self._draining, held=self._held_resources(assignment))
        held_part = digest.SerializeToString(deterministic=True)
        digest.queues.extend(self._queues())
        digest.hot_prefixes.extend(self._grants.hot_prefixes())
        payload = digest.SerializeToString(deterministic=True)
        due = (
            held_part != self._digest_held
            or now - self._digest_at >= self._digest_interval_seconds()
        )
        if self._digest_version and (payload == self._digest or not due):
            return
        self._digest, self._digest_held, self._digest_at = payload, held_part, now
        self._digest_version += 1
        entry = GossipEntry(
            GossipKind.COORDINATOR, str(self._ports.node), self._digest_version, payload
        )
        self._ports.gossip.publish(entry)

    def _digest_interval_seconds(self) -> float:
        members = len(self._ports.membership.members())
        return max(DIGEST_INTERVAL_SECONDS, DIGEST_INTERVAL_SECONDS_PER_MEMBER * members)

    def _held_resources(self, assignment: CoordinatorAssignment) -> list[HeldResource]:
        found: list[HeldResource] = []
        for resource, epoch in sorted(assignment.held().items()):
            worker = resource_worker(resource)
            held = self.pools.held().get(worker) if worker else None
            releasing = assignment.state(resource) is CoordinatorState.RELEASING
            item = HeldResource(name=resource, epoch=epoch, releasing=releasing)
            if held is not None and held.ready and held.link.report is not None:
                item.leaving = held.leaving
                item.models.extend(held.link.report.models)
            found.append(item)
        return found

    def _queues(self) -> list[ModelQueue]:
        found: list[ModelQueue] = []
        for model in sorted(self.pools.models()):
            served = self.pools.serving(ModelName(model), LOWEST_RANK)
            if served is not None:
                pool = served[1]
                wait = round(pool.predicted_wait_seconds(LOWEST_RANK), 1)
                found.append(
                    ModelQueue(model=model, queued=pool.queued(model), predicted_wait_seconds=wait)
                )
        return found
