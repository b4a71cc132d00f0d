"""The routing configuration: routes, services and caller limits.

A configuration is immutable and versioned. Versions increase, not necessarily by one, and a node
never returns to a lower version.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Execution guarantee of a route's requests and the form of their responses."""

    SAFE = "safe"
    """Idempotent requests with a single response body."""
    UNSAFE = "unsafe"
    """Requests that run at most once, with a single response body."""
    STREAM = "stream"
    """Requests with a streamed response; they run at most once unless the route is resumable."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Target services and limits of the requests for a host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    """Maximum total time of a request."""
    latency_target_seconds: float
    """Latency target of a response, or of the first event of a stream."""
    max_workers: int
    """Maximum number of workers that one request may run on."""
    priority: int
    """0 is the most urgent."""
    backends: tuple[WeightedService, ...]
    resumable: bool = False
    retained: bool = False
    """Whether foxwinch stores the turns, so that a turn carries only its new input."""
    retention_seconds: float = 0.0
    event_gap_seconds: float = 0.0
    """Maximum pause between events for a response to count as on time; 0 when not specified."""

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable workers."""

    name: str
    health_path: str = "/"
    max_connections: int = 0
    """Connections that one worker accepts from all callers together; 0 when not specified."""
    tokens_per_event: int = 1
    """Tokens counted for each stream event."""
    slots: int = 1
    """Requests that one worker runs concurrently, if the configuration specifies it."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size limits and timeouts for callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the complete routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    request_limits: RequestLimits = RequestLimits()
    _by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the routes by host, longest path prefix first."""
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            by_host[route.host].append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "_by_host", ordered)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest matching prefix of `path`, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
