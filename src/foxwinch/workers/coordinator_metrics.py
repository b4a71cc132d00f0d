"""Metrics of the coordinator of a node."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge

from foxwinch.core.coordinator.grant_ledger import GrantLedger
from foxwinch.identifiers import Epoch
from foxwinch.workers.coordinator_pools import CoordinatorPools


class CoordinatorMetrics:
    """Counts of one node; label values come from the configuration only."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self._held = Gauge(
            "foxwinch_steward_held_resources",
            "Workers and other resources that this node holds",
            registry=registry,
        )
        self._granted = Gauge(
            "foxwinch_steward_grants", "Grants given and not yet over", registry=registry
        )
        self._expired = Counter(
            "foxwinch_steward_grants_expired_total",
            "Grants ended without their owner: dead, or silent beyond the lease",
            registry=registry,
        )
        self._queued = Gauge(
            "foxwinch_steward_queued_calls",
            "Calls waiting for a place",
            ["pool"],
            registry=registry,
        )
        self._leaving = Gauge(
            "foxwinch_steward_leaving_workers",
            "Held workers that get no new work",
            registry=registry,
        )

    def expired(self, count: int) -> None:
        """Count grants that have just expired."""
        self._expired.inc(count)

    def observe(
        self, held: Mapping[str, Epoch], ledger: GrantLedger, pools: CoordinatorPools
    ) -> None:
        """Set the gauges."""
        self._held.set(len(held))
        self._granted.set(len(ledger))
        self._leaving.set(sum(worker.leaving for worker in pools.held().values()))
        for name, pool in pools.pools():
            self._queued.labels(name).set(pool.scheduler.waiting_calls)
