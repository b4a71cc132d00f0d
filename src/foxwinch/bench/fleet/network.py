"""Network model of the fleet: delay by zone and region, packet loss, partitions."""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from foxwinch.bench.simulator import Simulator
from foxwinch.identifiers import PeerAddress, RegionName

if TYPE_CHECKING:
    from foxwinch.bench.fleet.node import SimulatedNode

STREAM_OVERHEAD_BYTES = 40 + 4 + 30 + 40
"""TCP/IP header, length, envelope and acknowledgement of a message on a persistent stream."""
SEGMENT_BYTES = 1_400
SEGMENT_OVERHEAD_BYTES = 60
"""Headers of each additional segment and half an acknowledgement."""
REQUEST_TIMEOUT_SECONDS = 2.0


@dataclass(slots=True)
class NetworkModel:
    """Delay and loss of messages; the fields may change during a simulation."""

    intra_zone_delay_seconds: float = 0.000_25
    inter_zone_delay_seconds: float = 0.001_5
    """One-way delay between zones of a region, as reported by users."""
    inter_region_delay_seconds: float = 0.025
    """One-way delay between regions."""
    jitter: float = 0.5
    """Maximum random addition to each datagram delay, as a fraction of the delay."""
    loss: float = 0.001
    inter_region_loss: float = 0.005
    isolated_regions: set[RegionName] = field(default_factory=set)
    """Regions without connection to other regions."""


@dataclass(frozen=True, slots=True)
class Location:
    """Network address and topology of a node."""

    address: PeerAddress
    zone: str
    region: RegionName
    rack: int


class FleetNetwork:
    """Delivers datagrams and requests between the locations of a fleet."""

    def __init__(self, simulator: Simulator, model: NetworkModel, seed: int) -> None:
        """Create a network on the time of the simulator."""
        self._simulator = simulator
        self._random = random.Random(seed)
        self.model = model
        self.locations: dict[PeerAddress, Location] = {}
        self.nodes: dict[PeerAddress, SimulatedNode] = {}
        self.stream_bytes: dict[PeerAddress, int] = defaultdict(int)
        """Bytes sent and received on streams at each address, including headers."""
        self.receivers: dict[PeerAddress, Callable[[PeerAddress, bytes], None]] = {}

    def send(self, source: Location, target: PeerAddress, payload: bytes) -> None:
        """Deliver a datagram after the modelled delay, unless it is lost."""
        location = self.locations.get(target)
        if location is None or self.is_partitioned(source, location):
            return
        model, draw = self.model, self._random
        between_regions = source.region != location.region
        if draw.random() < (model.inter_region_loss if between_regions else model.loss):
            return
        delay = self.delay_seconds(source, location) * (1 + model.jitter * draw.random())
        self._simulator.after(delay, lambda: self._deliver(source.address, target, payload))

    def request(
        self,
        source: Location,
        target: PeerAddress,
        request_bytes: int,
        serve: Callable[[], bytes | None],
        done: Callable[[bytes | None], None],
    ) -> None:
        """Send a request on a persistent stream; `done` gets the response, or None on timeout."""
        location = self.locations.get(target)
        if location is None or self.is_partitioned(source, location):
            self._simulator.after(REQUEST_TIMEOUT_SECONDS, lambda: done(None))
            return
        delay = self.delay_seconds(source, location)
        self._count_bytes(source, location, request_bytes)

        def serve_request() -> None:
            response = serve()
            if response is None or self.is_partitioned(source, location):
                self._simulator.after(REQUEST_TIMEOUT_SECONDS, lambda: done(None))
                return
            self._count_bytes(source, location, len(response))
            self._simulator.after(delay, lambda: done(response))

        self._simulator.after(delay, serve_request)

    def _count_bytes(self, one: Location, other: Location, payload_bytes: int) -> None:
        total = payload_bytes + STREAM_OVERHEAD_BYTES
        total += payload_bytes // SEGMENT_BYTES * SEGMENT_OVERHEAD_BYTES
        self.stream_bytes[one.address] += total
        self.stream_bytes[other.address] += total

    def is_partitioned(self, source: Location, target: Location) -> bool:
        """Return whether a partition separates the two locations."""
        if source.region == target.region:
            return False
        return not self.model.isolated_regions.isdisjoint((source.region, target.region))

    def delay_seconds(self, source: Location, target: Location) -> float:
        """Return the one-way delay without jitter."""
        if source.zone == target.zone:
            return self.model.intra_zone_delay_seconds
        if source.region == target.region:
            return self.model.inter_zone_delay_seconds
        return self.model.inter_region_delay_seconds

    def _deliver(self, source: PeerAddress, target: PeerAddress, payload: bytes) -> None:
        receiver = self.receivers.get(target)
        if receiver is not None:
            receiver(source, payload)
