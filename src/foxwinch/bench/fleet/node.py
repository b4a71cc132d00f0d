"""A hollow node: the real membership and gossip code, driven by the simulator."""

import time
from collections.abc import Callable

from foxwinch.bench.fleet.network import FleetNetwork, Place
from foxwinch.bench.fleet.simulator import Simulator
from foxwinch.core.membership.actions import Action, EntryChanged, MemberChanged, SendDatagram
from foxwinch.core.membership.engine import MembershipEngine
from foxwinch.core.membership.entry import GossipEntry
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.identifiers import NodeId, PeerAddress, ZoneName


class HollowNode:
    """One life of one node."""

    def __init__(
        self,
        simulator: Simulator,
        network: FleetNetwork,
        place: Place,
        node: NodeId,
        seeds: list[PeerAddress],
        parameters: MembershipParameters,
        seed: int,
    ) -> None:
        """Start at a place and join by seeds."""
        self.place = place
        self.node = node
        self.running = True
        self.paused = False
        self.processor_seconds = 0.0
        """Processor time of the control code, measured."""
        self.on_member: list[Callable[[Member], None]] = []
        self.on_entry: list[Callable[[GossipEntry], None]] = []
        self._simulator = simulator
        self._network = network
        self._waiting: list[tuple[PeerAddress, bytes]] = []
        this = Member(node, place.address, ZoneName(place.zone), place.region, MemberState.ALIVE, 0)
        self.engine = MembershipEngine(this, seed, simulator.now, seeds, parameters)
        self._tick_seconds = parameters.tick_seconds
        network.places[place.address] = place
        network.receivers[place.address] = self.receive
        phase = (seed % 1000) / 1000 * parameters.tick_seconds
        simulator.after(phase, self._tick)

    def receive(self, source: PeerAddress, payload: bytes) -> None:
        """Take a datagram; while paused it waits, as in a socket's buffer."""
        if self.paused:
            self._waiting.append((source, payload))
            return
        self.measured(lambda: self.engine.receive(source, payload, self._simulator.now))

    def publish(self, entry: GossipEntry) -> None:
        """Spread an entry."""
        self.measured(lambda: self.engine.publish(entry, self._simulator.now))

    def kill(self) -> None:
        """Stop without a word."""
        self.running = False
        if self._network.receivers.get(self.place.address) == self.receive:
            del self._network.receivers[self.place.address]

    def leave(self) -> None:
        """Announce a planned stop."""
        self.measured(lambda: self.engine.leave(self._simulator.now))

    def stop(self) -> None:
        """Stop as planned."""
        self.measured(lambda: self.engine.left(self._simulator.now))
        self.kill()

    def pause(self) -> None:
        """Freeze the process."""
        self.paused = True

    def resume(self) -> None:
        """Let the process go on: what waited arrives first."""
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for source, payload in waiting:
            self.receive(source, payload)

    def measured(self, step: Callable[[], list[Action]]) -> None:
        """Run a step of the control code, add up its processor time and carry out its actions."""
        started = time.perf_counter()
        actions = step()
        self.processor_seconds += time.perf_counter() - started
        for action in actions:
            match action:
                case SendDatagram(address, payload):
                    self._network.send(self.place, address, payload)
                case MemberChanged(member):
                    for listener in self.on_member:
                        listener(member)
                case EntryChanged(entry):
                    for entry_listener in self.on_entry:
                        entry_listener(entry)

    def _tick(self) -> None:
        if not self.running:
            return
        if not self.paused:
            self.measured(lambda: self.engine.tick(self._simulator.now))
        self._simulator.after(self._tick_seconds, self._tick)
