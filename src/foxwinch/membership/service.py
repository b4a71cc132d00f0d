"""Runs the membership engine over the peer port."""

from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from foxwinch.clock import Clock
from foxwinch.core.membership.actions import (
    Action,
    EntryChanged,
    MemberChanged,
    RegionState,
    SendDatagram,
)
from foxwinch.core.membership.engine import MembershipEngine
from foxwinch.core.membership.entry import GossipEntry
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.identifiers import PeerAddress
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.peer.ports import PeerPort, parse_address
from foxwinch.service_tasks import ServiceTasks
from foxwinch.storage.ports import MachinePort

NODE_KIND = "node"
Value = TypeVar("Value")
LIST_INTERVAL_ALONE_SECONDS = 5.0
"""Interval between reads of the platform's machine list while no other member is known."""
LIST_INTERVAL_SECONDS = 60.0
"""Interval between reads otherwise, when only the few bridges of a region read the list."""


class MembershipService:
    """Implements `foxwinch.membership.ports.MembershipView` between `start` and `stop`."""

    def __init__(
        self,
        this: Member,
        peers: PeerPort,
        clock: Clock,
        seeds: Iterable[PeerAddress] = (),
        machines: MachinePort | None = None,
        parameters: MembershipParameters | None = None,
    ) -> None:
        """Create a service that finds other nodes through `seeds` and the list of `machines`."""
        self._parameters = parameters or MembershipParameters()
        self._this = this
        self._peers = peers
        self._clock = clock
        self._seeds = tuple(seeds)
        self._machines = machines
        self._engine: MembershipEngine | None = None
        self._member_listeners: list[Callable[[Member], None]] = []
        self._entry_listeners: list[Callable[[GossipEntry], None]] = []
        self._tasks = ServiceTasks("membership")
        self._started = False
        self._log = EventLog("membership")
        peers.handle_datagrams(self._receive)

    async def start(self) -> None:
        """Start probing and joining other nodes."""
        engine = self.engine
        self._started = True
        self._tasks.start(self._tick_loop())
        if self._machines is not None:
            self._tasks.start(self._machine_list_loop(self._machines))
        this = engine.this_member()
        self._log.info("membership_started", node=this.node, zone=this.zone, region=this.region)

    async def stop(self) -> None:
        """Announce that this node has left, then stop."""
        if self._started:
            self._started = False
            self.apply(self.engine.left(self._clock.monotonic()))
        await self._tasks.stop()

    def leave(self) -> None:
        """Announce that this node is draining; it continues to respond."""
        self.apply(self.engine.leave(self._clock.monotonic()))

    @property
    def engine(self) -> MembershipEngine:
        """The membership engine, created on first use because it needs the running event loop."""
        if self._engine is None:
            seed = int(self._clock.uniform() * 2**53)
            self._engine = MembershipEngine(
                self._this, seed, self._clock.monotonic(), self._seeds, self._parameters
            )
        return self._engine

    def this_member(self) -> Member:
        """Return this node's own record."""
        return self._engine.this_member() if self._engine is not None else self._this

    def members(self) -> Sequence[Member]:
        """Return every known member of the region, including this node."""
        return self._engine.members() if self._engine is not None else [self._this]

    def regions(self) -> list[RegionState]:
        """Return the state of every known region, this one first."""
        return self.engine.regions(self._clock.monotonic())

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with every changed member record."""
        self._member_listeners.append(listener)

    def subscribe_entries(self, listener: Callable[[GossipEntry], None]) -> None:
        """Call `listener` with every new or newer gossip entry."""
        self._entry_listeners.append(listener)

    def publish(self, entry: GossipEntry) -> None:
        """Gossip an entry; raise `ValueError` if it does not fit into a datagram."""
        self.apply(self.engine.publish(entry, self._clock.monotonic()))

    def apply(self, actions: Iterable[Action]) -> None:
        """Execute the actions returned by the engine."""
        for action in actions:
            match action:
                case SendDatagram(address, payload):
                    self._peers.send_datagram(address, payload)
                case MemberChanged(member):
                    self._member_changed(member)
                case EntryChanged(entry):
                    self._notify(self._entry_listeners, entry)

    def _receive(self, source: PeerAddress, payload: bytes) -> None:
        if self._tasks:
            self.apply(self.engine.receive(source, payload, self._clock.monotonic()))

    async def _tick_loop(self) -> None:
        while True:
            try:
                self.apply(self.engine.tick(self._clock.monotonic()))
            except Exception as error:
                self._log.error("membership_tick_failed", cause=repr(error))
            await self._clock.sleep(self._parameters.tick_seconds)

    async def _machine_list_loop(self, machines: MachinePort) -> None:
        while True:
            alone = self.engine.is_alone()
            if alone or self.engine.is_bridge():
                found = await machines.machines()
                if isinstance(found, Refused):
                    self._log.info("machine_list_unavailable", cause=found.detail)
                else:
                    nodes = (m.address for m in found if m.kind == NODE_KIND)
                    self.engine.set_listed_addresses(filter(None, map(parse_address, nodes)))
            pause_seconds = LIST_INTERVAL_ALONE_SECONDS if alone else LIST_INTERVAL_SECONDS
            await self._clock.sleep(pause_seconds * (0.5 + self._clock.uniform()))

    def _member_changed(self, member: Member) -> None:
        level = self._log.warning if member.state is MemberState.DEAD else self._log.info
        level(
            "member_changed",
            node=member.node,
            address=member.address,
            zone=member.zone,
            state=member.state,
            incarnation=member.incarnation,
        )
        self._notify(self._member_listeners, member)

    def _notify(self, listeners: list[Callable[[Value], None]], value: Value) -> None:
        for listener in listeners:
            try:
                listener(value)
            except Exception as error:
                self._log.error("membership_listener_failed", cause=repr(error))
