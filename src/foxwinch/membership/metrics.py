"""Prometheus metrics of membership and gossip."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from foxwinch.core.membership.member import MemberState
from foxwinch.membership.service import MembershipService


class MembershipCollector(Collector):
    """Collects the counters of a membership service on each scrape."""

    def __init__(self, membership: MembershipService, registry: CollectorRegistry) -> None:
        self._membership = membership
        registry.register(self)

    def describe(self) -> Iterable[Metric]:
        """Return no metrics, so that registration does not access an unstarted service."""
        return ()

    def collect(self) -> Iterable[Metric]:
        """Yield all membership metrics."""
        counters = self._membership.engine.counters
        totals = {
            "datagrams_sent": counters.datagrams_sent,
            "sent_bytes": counters.bytes_sent,
            "datagrams_received": counters.datagrams_received,
            "received_bytes": counters.bytes_received,
            "malformed_datagrams": counters.malformed,
            "suspicions": counters.suspicions,
            "condemnations": counters.condemnations,
            "refutations": counters.refutations,
            "datagrams_over_budget": counters.over_budget,
        }
        for name, value in totals.items():
            yield CounterMetricFamily(
                f"foxwinch_membership_{name}", f"Membership: {name.replace('_', ' ')}.", value
            )
        gauge = GaugeMetricFamily(
            "foxwinch_membership_members", "Known members of the region.", labels=["state"]
        )
        states = [member.state for member in self._membership.members()]
        for state in MemberState:
            gauge.add_metric([state.value], states.count(state))
        yield gauge
        silent = GaugeMetricFamily(
            "foxwinch_membership_region_silent_seconds",
            "Time since the region's summary last changed here.",
            labels=["region"],
        )
        for region in self._membership.regions():
            silent.add_metric([region.region], region.silent_seconds)
        yield silent
