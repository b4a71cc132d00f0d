"""Simulated node: the production membership and gossip code, driven by the simulator."""

import time
from collections.abc import Callable
from typing import TypeVar

from foxwinch.bench.fleet.network import FleetNetwork, Location
from foxwinch.bench.simulator import Simulator
from foxwinch.core.membership.actions import Action, EntryChanged, MemberChanged, SendDatagram
from foxwinch.core.membership.engine import MembershipEngine
from foxwinch.core.membership.entry import GossipEntry
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.identifiers import NodeId, PeerAddress, ZoneName

Result = TypeVar("Result")


class SimulatedNode:
    """One incarnation of a node."""

    def __init__(
        self,
        simulator: Simulator,
        network: FleetNetwork,
        location: Location,
        node: NodeId,
        seeds: list[PeerAddress],
        parameters: MembershipParameters,
        seed: int,
    ) -> None:
        """Start the node at a location and join the cluster through the seeds."""
        self.location = location
        self.node = node
        self.running = True
        self.paused = False
        self.started_at_seconds = simulator.now
        self.ticking = False
        """Whether the node is in a periodic tick, rather than handling a datagram."""
        self.processor_seconds = 0.0
        """Measured time in the control code, by the wall clock of the host."""
        self.on_member: list[Callable[[Member], None]] = []
        self.on_entry: list[Callable[[GossipEntry], None]] = []
        self.simulator = simulator
        self._network = network
        self.services: dict[str, Callable[[bytes], bytes]] = {}
        """Request handlers by service name."""
        self._timing = False
        self._buffered_datagrams: list[tuple[PeerAddress, bytes]] = []
        this = Member(
            node, location.address, ZoneName(location.zone), location.region, MemberState.ALIVE, 0
        )
        self.engine = MembershipEngine(this, seed, simulator.now, seeds, parameters)
        self._tick_seconds = parameters.tick_seconds
        network.locations[location.address] = location
        network.receivers[location.address] = self.receive
        network.nodes[location.address] = self
        phase = (seed % 1000) / 1000 * parameters.tick_seconds
        simulator.after(phase, self._tick)

    def receive(self, source: PeerAddress, payload: bytes) -> None:
        """Handle a datagram; a paused node buffers it, like a socket."""
        if self.paused:
            self._buffered_datagrams.append((source, payload))
            return
        self.run_step(lambda: self.engine.receive(source, payload, self.simulator.now))

    def publish(self, entry: GossipEntry) -> None:
        """Publish a gossip entry."""
        self.run_step(lambda: self.engine.publish(entry, self.simulator.now))

    def kill(self) -> None:
        """Stop without notifying other nodes."""
        self.running = False
        if self._network.receivers.get(self.location.address) == self.receive:
            del self._network.receivers[self.location.address]

    def leave(self) -> None:
        """Announce a planned stop to the other nodes."""
        self.run_step(lambda: self.engine.leave(self.simulator.now))

    def stop(self) -> None:
        """Complete a planned stop."""
        self.run_step(lambda: self.engine.left(self.simulator.now))
        self.kill()

    def pause(self) -> None:
        """Pause the process."""
        self.paused = True

    def resume(self) -> None:
        """Resume the process and handle the buffered datagrams."""
        self.paused = False
        buffered, self._buffered_datagrams = self._buffered_datagrams, []
        for source, payload in buffered:
            self.receive(source, payload)

    def run_step(self, step: Callable[[], list[Action]]) -> None:
        """Run a step of the control code and execute its actions."""
        for action in self.timed(step):
            match action:
                case SendDatagram(address, payload):
                    self._network.send(self.location, address, payload)
                case MemberChanged(member):
                    for listener in self.on_member:
                        listener(member)
                case EntryChanged(entry):
                    for entry_listener in self.on_entry:
                        entry_listener(entry)

    def timed(self, step: Callable[[], Result]) -> Result:
        """Run a step and add its time to `processor_seconds`; nested steps count once."""
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
        """Send a request on a persistent stream; `done` gets None if the node is unreachable."""

        def serve() -> bytes | None:
            other = self._network.nodes.get(target)
            if other is None or not other.running or other.paused:
                return None
            handler = other.services[service]
            return other.timed(lambda: handler(payload))

        def handle_response(response: bytes | None) -> None:
            if self.running:
                self.timed(lambda: done(response))

        self._network.request(self.location, target, len(payload), serve, handle_response)

    def _tick(self) -> None:
        if not self.running:
            return
        if not self.paused:
            self.ticking = True
            self.run_step(lambda: self.engine.tick(self.simulator.now))
            self.ticking = False
        self.simulator.after(self._tick_seconds, self._tick)
