"""A hollow node: the real membership and gossip code, driven by the simulator."""

import time
from collections.abc import Callable
from typing import TypeVar

from foxwinch.bench.fleet.network import FleetNetwork, Place
from foxwinch.bench.simulator import Simulator
from foxwinch.core.membership.actions import Action, EntryChanged, MemberChanged, SendDatagram
from foxwinch.core.membership.engine import MembershipEngine
from foxwinch.core.membership.entry import GossipEntry
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.identifiers import NodeId, PeerAddress, ZoneName

Result = TypeVar("Result")


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
        self.started_at_seconds = simulator.now
        self.ticking = False
        """True while this node decides by itself, not on a datagram."""
        self.processor_seconds = 0.0
        """Processor time of the control code, measured."""
        self.on_member: list[Callable[[Member], None]] = []
        self.on_entry: list[Callable[[GossipEntry], None]] = []
        self.simulator = simulator
        self._network = network
        self.services: dict[str, Callable[[bytes], bytes]] = {}
        """Requests that the node answers, by name."""
        self._timing = False
        self._waiting: list[tuple[PeerAddress, bytes]] = []
        this = Member(node, place.address, ZoneName(place.zone), place.region, MemberState.ALIVE, 0)
        self.engine = MembershipEngine(this, seed, simulator.now, seeds, parameters)
        self._tick_seconds = parameters.tick_seconds
        network.places[place.address] = place
        network.receivers[place.address] = self.receive
        network.nodes[place.address] = self
        phase = (seed % 1000) / 1000 * parameters.tick_seconds
        simulator.after(phase, self._tick)

    def receive(self, source: PeerAddress, payload: bytes) -> None:
        """Take a datagram; while paused it waits, as in a socket's buffer."""
        if self.paused:
            self._waiting.append((source, payload))
            return
        self.measured(lambda: self.engine.receive(source, payload, self.simulator.now))

    def publish(self, entry: GossipEntry) -> None:
        """Spread an entry."""
        self.measured(lambda: self.engine.publish(entry, self.simulator.now))

    def kill(self) -> None:
        """Stop without a word."""
        self.running = False
        if self._network.receivers.get(self.place.address) == self.receive:
            del self._network.receivers[self.place.address]

    def leave(self) -> None:
        """Announce a planned stop."""
        self.measured(lambda: self.engine.leave(self.simulator.now))

    def stop(self) -> None:
        """Stop as planned."""
        self.measured(lambda: self.engine.left(self.simulator.now))
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
        """Run a step of the control code and carry out its actions."""
        for action in self.timed(step):
            match action:
                case SendDatagram(address, payload):
                    self._network.send(self.place, address, payload)
                case MemberChanged(member):
                    for listener in self.on_member:
                        listener(member)
                case EntryChanged(entry):
                    for entry_listener in self.on_entry:
                        entry_listener(entry)

    def timed(self, step: Callable[[], Result]) -> Result:
        """Run a step and add up its processor time, once where steps are nested."""
        if self._timing:
            return step()
        self._timing = True
        started = time.perf_counter()
        try:
            return step()
        finally:
            self._timing = False
            self.processor_seconds += time.perf_counter() - started

    def request(
        self,
        target: PeerAddress,
        service: str,
        payload: bytes,
        done: Callable[[bytes | None], None],
    ) -> None:
        """Ask another node over a kept stream; `done` gets None when it cannot be reached."""

        def serve() -> bytes | None:
            other = self._network.nodes.get(target)
            if other is None or not other.running or other.paused:
                return None
            handler = other.services[service]
            return other.timed(lambda: handler(payload))

        def answered(answer: bytes | None) -> None:
            if self.running:
                self.timed(lambda: done(answer))

        self._network.request(self.place, target, len(payload), serve, answered)

    def _tick(self) -> None:
        if not self.running:
            return
        if not self.paused:
            self.ticking = True
            self.measured(lambda: self.engine.tick(self.simulator.now))
            self.ticking = False
        self.simulator.after(self._tick_seconds, self._tick)
