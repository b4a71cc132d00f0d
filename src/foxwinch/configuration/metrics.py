"""Prometheus metrics of the configuration at one node."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class ConfigurationMetrics:
    """Held and highest known revision, stale refusals and failed table reads."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics with `registry`."""
        self.held = Gauge(
            "foxwinch_configuration_held_revision", "Revision held", registry=registry
        )
        self.heard = Gauge(
            "foxwinch_configuration_heard_revision", "Highest revision heard of", registry=registry
        )
        self.refusals = Counter(
            "foxwinch_configuration_stale_refusals_total",
            "Requests refused because a newer revision is known",
            registry=registry,
        )
        self.table_failures = Counter(
            "foxwinch_configuration_table_failures_total",
            "Reads of the table that failed",
            registry=registry,
        )
