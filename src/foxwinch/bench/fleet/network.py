"""The modelled network of the fleet: delay by zone and region, loss, cuts."""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from foxwinch.bench.simulator import Simulator
from foxwinch.identifiers import PeerAddress, RegionName

if TYPE_CHECKING:
    from foxwinch.bench.fleet.node import HollowNode

STREAM_OVERHEAD_BYTES = 40 + 4 + 30 + 40
"""TCP/IP header, length, envelope, and the acknowledgement of one message on a kept stream."""
SEGMENT_BYTES = 1_400
SEGMENT_OVERHEAD_BYTES = 60
"""Headers of each further segment, and half an acknowledgement."""
REQUEST_TIMEOUT_SECONDS = 2.0


@dataclass(slots=True)
class NetworkModel:
    """How messages travel; change the fields while it runs."""

    zone_delay_seconds: float = 0.000_25
    region_delay_seconds: float = 0.001_5
    """One way between zones of a region, as the users give it."""
    world_delay_seconds: float = 0.025
    """One way between regions."""
    jitter: float = 0.5
    """Up to this fraction is added to each delay."""
    loss: float = 0.001
    world_loss: float = 0.005
    cut_regions: set[RegionName] = field(default_factory=set)
    """Regions that nothing leaves or enters."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where a node is."""

    address: PeerAddress
    zone: str
    region: RegionName
    rack: int


class FleetNetwork:
    """Carries datagrams between the places of a fleet."""

    def __init__(self, simulator: Simulator, model: NetworkModel, seed: int) -> None:
        """Deliver on the simulator's time."""
        self._simulator = simulator
        self._random = random.Random(seed)
        self.model = model
        self.places: dict[PeerAddress, Place] = {}
        self.nodes: dict[PeerAddress, HollowNode] = {}
        self.stream_bytes: dict[PeerAddress, int] = defaultdict(int)
        """Sent and received on streams at each address, with headers."""
        self.receivers: dict[PeerAddress, Callable[[PeerAddress, bytes], None]] = {}

    def send(self, source: Place, target: PeerAddress, payload: bytes) -> None:
        """Deliver a datagram later, perhaps."""
        place = self.places.get(target)
        if place is None or self.is_cut(source, place):
            return
        model, draw = self.model, self._random
        between_regions = source.region != place.region
        if draw.random() < (model.world_loss if between_regions else model.loss):
            return
        delay = self.delay_seconds(source, place) * (1 + model.jitter * draw.random())
        self._simulator.after(delay, lambda: self._deliver(source.address, target, payload))

    def request(
        self,
        source: Place,
        target: PeerAddress,
        request_bytes: int,
        serve: Callable[[], bytes | None],
        done: Callable[[bytes | None], None],
    ) -> None:
        """Carry a request and its answer on a kept stream; None after a timeout."""
        place = self.places.get(target)
        if place is None or self.is_cut(source, place):
            self._simulator.after(REQUEST_TIMEOUT_SECONDS, lambda: done(None))
            return
        delay = self.delay_seconds(source, place)
        self._count(source, place, request_bytes)

        def arrive() -> None:
            answer = serve()
            if answer is None or self.is_cut(source, place):
                self._simulator.after(REQUEST_TIMEOUT_SECONDS, lambda: done(None))
                return
            self._count(source, place, len(answer))
            self._simulator.after(delay, lambda: done(answer))

        self._simulator.after(delay, arrive)

    def _count(self, one: Place, other: Place, payload_bytes: int) -> None:
        total = payload_bytes + STREAM_OVERHEAD_BYTES
        total += payload_bytes // SEGMENT_BYTES * SEGMENT_OVERHEAD_BYTES
        self.stream_bytes[one.address] += total
        self.stream_bytes[other.address] += total

    def is_cut(self, source: Place, target: Place) -> bool:
        """Tell whether the regions of the two cannot reach each other."""
        if source.region == target.region:
            return False
        return not self.model.cut_regions.isdisjoint((source.region, target.region))

    def delay_seconds(self, source: Place, target: Place) -> float:
        """Return the one-way delay without jitter."""
        if source.zone == target.zone:
            return self.model.zone_delay_seconds
        if source.region == target.region:
            return self.model.region_delay_seconds
        return self.model.world_delay_seconds

    def _deliver(self, source: PeerAddress, target: PeerAddress, payload: bytes) -> None:
        receiver = self.receivers.get(target)
        if receiver is not None:
            receiver(source, payload)
