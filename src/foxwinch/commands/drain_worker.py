"""Drain a worker, or return it to service: it gets no new work, and running calls finish."""

from dataclasses import dataclass

from foxwinch.configuration.ports import ConfigurationView
from foxwinch.identifiers import WorkerId
from foxwinch.membership.ports import GossipView
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.workers.worker_drains import drain_entry


@dataclass(frozen=True, slots=True)
class DrainWorker:
    """A request to drain a worker, or to return it to service when `draining` is false."""

    worker: WorkerId
    draining: bool = True


@dataclass(frozen=True, slots=True)
class WorkerDrainAccepted:
    """The drain state is published by gossip; the coordinator applies it within seconds."""

    worker: WorkerId
    draining: bool


def drain_worker(
    configuration: ConfigurationView, gossip: GossipView, command: DrainWorker
) -> WorkerDrainAccepted | Refused:
    """Publish the drain state; `NOT_FOUND` for a worker that is not in the configuration."""
    snapshot = configuration.current()
    if isinstance(snapshot, Refused):
        return snapshot
    if all(worker.name != command.worker for worker in snapshot.document.workers):
        return not_run(Reason.NOT_FOUND, f"no worker {command.worker} in the configuration")
    gossip.publish(drain_entry(gossip, command.worker, command.draining))
    return WorkerDrainAccepted(command.worker, command.draining)
