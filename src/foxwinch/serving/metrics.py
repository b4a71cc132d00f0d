"""Prometheus metrics of one node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
CALLS_BUCKETS = (0, 1, 2, 3, 4, 6, 10)


class ServingMetrics:
    """The metrics of one node."""

    def __init__(self) -> None:
        """Create the metrics in a separate registry."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "foxwinch_requests_total",
            "Requests by outcome.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.first_response_seconds = Histogram(
            "foxwinch_first_answer_seconds",
            "From the whole request to the first byte of its answer.",
            ["kind"],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "foxwinch_request_seconds",
            "From the whole request to the end of its answer.",
            ["kind"],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.worker_failures = Counter(
            "foxwinch_worker_failures_total",
            "Calls that a worker refused, lost or spoiled, by failure.",
            ["failure"],
            registry=self.registry,
        )
        self.worker_probes = Counter(
            "foxwinch_worker_probes_total",
            "Checks whether a worker still runs after it lost a call, by result.",
            ["result"],
            registry=self.registry,
        )
        self.crash_decisions = Counter(
            "foxwinch_crash_decisions_total",
            "Crashes under requests, and sends that they affected, by decision.",
            ["decision"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "foxwinch_store_calls_total",
            "Calls to the shared store by operation and outcome.",
            ["operation", "outcome"],
            registry=self.registry,
        )
        self.store_seconds = Histogram(
            "foxwinch_store_call_seconds",
            "Time of calls to the shared store.",
            ["operation"],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.budget_wait_seconds = Histogram(
            "foxwinch_budget_wait_seconds",
            "Time that turns waited for their reservation.",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.stream_origins = Counter(
            "foxwinch_stream_origins_total",
            "Origins of streams by outcome of their storage or resolution.",
            ["outcome"],
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "foxwinch_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.watch_age_seconds = Gauge(
            "foxwinch_watch_age_seconds",
            "Since a watched table of the shared store was last known to be up to date.",
            ["table"],
            registry=self.registry,
        )
        self.running = Gauge(
            "foxwinch_requests_running", "Requests under way.", registry=self.registry
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
