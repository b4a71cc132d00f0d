"""Building a fleet: nodes spread over zones and regions."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from foxwinch.bench.fleet.network import FleetNetwork, NetworkModel, Place
from foxwinch.bench.fleet.node import HollowNode
from foxwinch.bench.simulator import Simulator
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.identifiers import NodeId, PeerAddress, RegionName

NODES_PER_RACK = 10
SEEDS = 3
"""Addresses that every node is told in its settings."""
PEER_PORT = 7_000


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size of a fleet."""

    nodes: int
    regions: int
    zones: int

    def places(self) -> list[Place]:
        """Spread the nodes evenly over the zones, the zones over the regions."""
        found = []
        for index in range(self.nodes):
            zone = index % self.zones
            region = RegionName(f"region-{zone % self.regions}")
            rack = index // self.zones // NODES_PER_RACK * self.zones + zone
            host = f"10.{index // 62_500}.{index // 250 % 250}.{index % 250 + 1}"
            found.append(Place(PeerAddress(host, PEER_PORT), f"zone-{zone}", region, rack))
        return found


class Fleet:
    """Places with the node that runs at each, if one does."""

    def __init__(
        self,
        shape: FleetShape,
        seed: int,
        model: NetworkModel | None = None,
        parameters: MembershipParameters | None = None,
    ) -> None:
        """Lay out the places; `start_all` starts the nodes."""
        self.shape = shape
        self.simulator = Simulator()
        self.network = FleetNetwork(self.simulator, model or NetworkModel(), seed)
        self.parameters = parameters or MembershipParameters()
        self.places = shape.places()
        self.nodes: dict[PeerAddress, HollowNode] = {}
        self.started = 0
        self.on_start: list[Callable[[HollowNode], None]] = []
        self._seed = seed

    def start_all(self, over_seconds: float = 0.0) -> None:
        """Start a node at every place, spread over a time."""
        for index, place in enumerate(self.places):
            delay = over_seconds * index / len(self.places)
            self.simulator.after(delay, partial(self.start, place))

    def start(self, place: Place) -> HollowNode:
        """Start a new node at a place."""
        self.started += 1
        seeds = [other.address for other in self.places[:SEEDS]]
        node = HollowNode(
            self.simulator,
            self.network,
            place,
            NodeId(f"{self._seed:08x}{self.started:024x}"),
            seeds,
            self.parameters,
            self._seed * 1_000_003 + self.started,
        )
        self.nodes[place.address] = node
        for listener in self.on_start:
            listener(node)
        return node

    def run(self, seconds: float) -> None:
        """Let so much virtual time pass."""
        self.simulator.run_until(self.simulator.now + seconds)

    def running(self) -> list[HollowNode]:
        """Return the nodes that run."""
        return [node for node in self.nodes.values() if node.running]

    def converged(self) -> bool:
        """Tell whether every running node knows exactly the running nodes of its region."""
        running: dict[RegionName, set[NodeId]] = {}
        for node in self.running():
            running.setdefault(node.place.region, set()).add(node.node)
        return len(self.nodes) == len(self.places) and all(
            {m.node for m in node.engine.members() if m.is_present} == running[node.place.region]
            for node in self.running()
        )
