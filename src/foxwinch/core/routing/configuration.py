"""The routing configuration in force: routes, services, limits of callers.

A configuration is immutable and numbered. Versions rise in uneven steps; a node never goes back to
a lower one.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """How often a request of a route may run, and the shape of its answer."""

    SAFE = "safe"
    """May run more than once; one whole answer."""
    UNSAFE = "unsafe"
    """Runs at most once; one whole answer."""
    STREAM = "stream"
    """Runs at most once unless the route is resumable; the answer is a series of events."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go, and under which bounds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    """The longest that a request may be held."""
    target_seconds: float
    """Within which an answer (of a stream: its first event) is worth its full value."""
    attempts: int
    """Workers that one request may run on."""
    priority: int
    """0 is the most urgent."""
    backends: tuple[WeightedService, ...]
    resumable: bool = False
    retained: bool = False
    """Whether foxwinch keeps the turns; a turn then brings only its new input."""
    retain_seconds: float = 0.0
    event_gap_seconds: float = 0.0
    """The longest pause between events that keeps an answer in time; 0 when not told."""

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of workers that do the same work."""

    name: str
    health_path: str = "/"
    connections_maximum: int = 0
    """Connections that one worker accepts over all callers; 0 when not told."""
    tokens_per_event: int = 1
    """Tokens that each event of a stream stands for."""
    slots: int = 1
    """Requests that one worker runs at once, where the configuration tells it."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    bounds: RequestLimits = RequestLimits()
    _by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the routes by host, the longest prefix first."""
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            by_host[route.host].append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "_by_host", ordered)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`; None when none fits."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
