"""Drain a worker, or take it back: no new work for it, what runs on it ends."""

from dataclasses import dataclass

from foxwinch.configuration.ports import ConfigurationView
from foxwinch.identifiers import WorkerId
from foxwinch.membership.ports import GossipView
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.workers.worker_drains import drain_entry


@dataclass(frozen=True, slots=True)
class DrainWorker:
    """An operator wants a worker empty (`draining`), or working again."""

    worker: WorkerId
    draining: bool = True


@dataclass(frozen=True, slots=True)
class WorkerDrainAccepted:
    """The order spreads by gossip; the worker's coordinator acts on it within seconds."""

    worker: WorkerId
    draining: bool


def drain_worker(
    configuration: ConfigurationView, gossip: GossipView, command: DrainWorker
) -> WorkerDrainAccepted | Refused:
    """Spread the order; `NOT_FOUND` for a worker outside the configuration."""
    snapshot = configuration.current()
    if isinstance(snapshot, Refused):
        return snapshot
    if all(worker.name != command.worker for worker in snapshot.document.workers):
        return not_run(Reason.NOT_FOUND, f"no worker {command.worker} in the configuration")
    gossip.publish(drain_entry(gossip, command.worker, command.draining))
    return WorkerDrainAccepted(command.worker, command.draining)
