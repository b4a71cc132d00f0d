"""The modelled network of the fleet: delay by zone and region, loss, cuts."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from foxwinch.bench.fleet.simulator import Simulator
from foxwinch.identifiers import PeerAddress, RegionName


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
