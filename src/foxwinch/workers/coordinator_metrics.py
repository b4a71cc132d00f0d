"""Metrics of the coordinator of a node."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge

from foxwinch.core.coordinator.grant_ledger import GrantLedger
from foxwinch.identifiers import Epoch
from foxwinch.workers.coordinator_pools import CoordinatorPools


class CoordinatorMetrics:
    """Metrics of one node, whose label values come from the configuration only."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._held = Gauge(
            "foxwinch_steward_held_resources",
            "Workers and other resources held by this node",
            registry=registry,
        )
        self._granted = Gauge(
            "foxwinch_steward_grants", "Active grants issued by this node", registry=registry
        )
        self._expired = Counter(
            "foxwinch_steward_grants_expired_total",
            "Grants that expired because their owner was dead or did not confirm them",
            registry=registry,
        )
        self._queued = Gauge(
            "foxwinch_steward_queued_calls",
            "Calls waiting for a slot",
            ["pool"],
            registry=registry,
        )
        self._leaving = Gauge(
            "foxwinch_steward_leaving_workers",
            "Held workers that get no new calls",
            registry=registry,
        )

    def expired(self, count: int) -> None:
        """Count expired grants."""
        self._expired.inc(count)

    def observe(
        self, held: Mapping[str, Epoch], ledger: GrantLedger, pools: CoordinatorPools
    ) -> None:
        """Update the gauges."""
        self._held.set(len(held))
        self._granted.set(len(ledger))
        self._leaving.set(sum(worker.leaving for worker in pools.held().values()))
        for name, pool in pools.pools():
            self._queued.labels(name).set(pool.scheduler.waiting_calls)
