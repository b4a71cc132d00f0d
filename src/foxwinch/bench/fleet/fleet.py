"""Build a fleet of simulated nodes spread over zones and regions."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from foxwinch.bench.fleet.network import FleetNetwork, Location, NetworkModel
from foxwinch.bench.fleet.node import SimulatedNode
from foxwinch.bench.simulator import Simulator
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.identifiers import NodeId, PeerAddress, RegionName

NODES_PER_RACK = 10
SEED_COUNT = 3
"""Number of seed addresses in the settings of every node."""
PEER_PORT = 7_000


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size of a fleet."""

    nodes: int
    regions: int
    zones: int

    def locations(self) -> list[Location]:
        """Return one location per node: nodes spread evenly over zones, zones over regions."""
        result = []
        for index in range(self.nodes):
            zone = index % self.zones
            region = RegionName(f"region-{zone % self.regions}")
            rack = index // self.zones // NODES_PER_RACK * self.zones + zone
            host = f"10.{index // 62_500}.{index // 250 % 250}.{index % 250 + 1}"
            result.append(Location(PeerAddress(host, PEER_PORT), f"zone-{zone}", region, rack))
        return result


class Fleet:
    """A set of locations, with the latest node started at each."""

    def __init__(
        self,
        shape: FleetShape,
        seed: int,
        model: NetworkModel | None = None,
        parameters: MembershipParameters | None = None,
    ) -> None:
        """Create the locations; `start_all` starts the nodes."""
        self.shape = shape
        self.simulator = Simulator()
        self.network = FleetNetwork(self.simulator, model or NetworkModel(), seed)
        self.parameters = parameters or MembershipParameters()
        self.locations = shape.locations()
        self.nodes: dict[PeerAddress, SimulatedNode] = {}
        self.started = 0
        self.on_start: list[Callable[[SimulatedNode], None]] = []
        self._seed = seed

    def start_all(self, over_seconds: float = 0.0) -> None:
        """Start a node at every location, spread over the given time."""
        for index, location in enumerate(self.locations):
            delay = over_seconds * index / len(self.locations)
            self.simulator.after(delay, partial(self.start, location))

    def start(self, location: Location) -> SimulatedNode:
        """Start a new node at a location."""
        self.started += 1
        seeds = [other.address for other in self.locations[:SEED_COUNT]]
        node = SimulatedNode(
            self.simulator,
            self.network,
            location,
            NodeId(f"{self._seed:08x}{self.started:024x}"),
            seeds,
            self.parameters,
            self._seed * 1_000_003 + self.started,
        )
        self.nodes[location.address] = node
        for listener in self.on_start:
            listener(node)
        return node

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.simulator.run_until(self.simulator.now + seconds)

    def running(self) -> list[SimulatedNode]:
        """Return the running nodes."""
        return [node for node in self.nodes.values() if node.running]

    def is_converged(self) -> bool:
        """Return whether every running node knows exactly the running nodes of its region."""
        running: dict[RegionName, set[NodeId]] = {}
        for node in self.running():
            running.setdefault(node.location.region, set()).add(node.node)
        return len(self.nodes) == len(self.locations) and all(
            {m.node for m in node.engine.members() if m.is_present} == running[node.location.region]
            for node in self.running()
        )
