"""Worker status and worker drains for operators."""

from collections.abc import Sequence

from foxwinch._generated.operator_pb2 import WorkerStatus
from foxwinch.commands.drain_worker import DrainWorker, drain_worker
from foxwinch.commands.operator import Accepted
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.identifiers import NodeId, WorkerId
from foxwinch.membership.ports import GossipView
from foxwinch.outcomes import Refused
from foxwinch.workers.coordinator_pools import HeldWorker
from foxwinch.workers.coordinator_service import CoordinatorService


class CoordinatorFacts:
    """Implementation of `foxwinch.queries.facts.WorkerFacts`."""

    def __init__(self, node: NodeId, coordinator: CoordinatorService) -> None:
        self._node = node
        self._coordinator = coordinator

    def workers(self) -> Sequence[WorkerStatus]:
        """Return the status of each worker held by this node."""
        held = self._coordinator.pools.held()
        return [self._status(worker, entry) for worker, entry in held.items()]

    def _status(self, worker: WorkerId, held: HeldWorker) -> WorkerStatus:
        status = WorkerStatus(
            worker=worker,
            pool=held.settings.pool,
            zone=held.settings.zone,
            url=held.settings.url,
            steward=self._node,
            epoch=held.epoch,
            state=_state(held),
        )
        report = held.link.report
        if report is not None:
            status.running, status.waiting = report.running, report.waiting
            status.models.extend(report.models)
        return status


class GossipedDrains:
    """Implementation of `foxwinch.commands.operator.WorkerDrainPort` by gossip."""

    def __init__(self, configuration: ConfigurationView, gossip: GossipView) -> None:
        self._configuration = configuration
        self._gossip = gossip

    async def drain_worker(self, worker: WorkerId) -> Accepted | Refused:
        """Stop all nodes of the region from sending new calls to the worker."""
        outcome = drain_worker(self._configuration, self._gossip, DrainWorker(worker))
        return outcome if isinstance(outcome, Refused) else Accepted()


def _state(held: HeldWorker) -> str:
    if held.link.report is None:
        return "unknown"
    if not held.ready:
        return "down"
    return "leaving" if held.leaving else "ready"
