"""A fleet with its configuration, and what is recorded of it."""

import random

from foxwinch.bench.fleet.configuration import HollowConfiguration
from foxwinch.bench.fleet.document import fleet_document, tenant_change
from foxwinch.bench.fleet.fleet import Fleet, FleetShape
from foxwinch.bench.fleet.node import HollowNode
from foxwinch.bench.fleet.ownership import HollowOwnership, ShardBook
from foxwinch.bench.fleet.table import TableModel
from foxwinch.core.configuration.change import Change
from foxwinch.core.configuration.document import Delta, DocumentState
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.shard.placement import SHARDS_PER_REGION
from foxwinch.identifiers import NodeId, Revision

CHANGES_PER_DAY = 11_000
DAY_SECONDS = 86_400
DRAIN_LIMIT_SECONDS = 60.0
DRAIN_POLL_SECONDS = 0.25


class FleetWorld:
    """Builds the fleet and watches it."""

    def __init__(self, shape: FleetShape, seed: int) -> None:
        """Lay the fleet out; `fleet.start_all` starts it."""
        self.fleet = Fleet(shape, seed)
        self.simulator = self.fleet.simulator
        self.table = TableModel(self.simulator)
        self.configurations: dict[NodeId, HollowConfiguration] = {}
        self.ownerships: dict[NodeId, HollowOwnership] = {}
        self.book = ShardBook()
        self.ended_at_seconds: dict[NodeId, float] = {}
        """When each node that was killed ended."""
        self.detection_seconds: list[float] = []
        """From a node's end to its death in the view of each member that outlived it."""
        self.ending: set[NodeId] = set()
        """Nodes whose replacement has begun."""
        self.false_suspicions = 0
        self.false_deaths = 0
        self.accepted_at_seconds: dict[int, float] = {}
        self._random = random.Random(seed)
        self._state: DocumentState = fleet_document()
        self.fleet.on_start.append(self._attach)
        whole = Delta(self._state.entries)
        self._record(Change(Revision(1), Revision(0), "t1", self._state.digest, whole))

    def all_shards_served(self) -> bool:
        """Tell whether every shard of every region has an owner."""
        regions = {place.region for place in self.fleet.places}
        return len(self.book.owners) == len(regions) * SHARDS_PER_REGION

    def change_configuration(self) -> None:
        """Let an operator change one tenant at a random node."""
        delta = tenant_change(self._random)
        running = [node for node in self.fleet.running() if not node.paused]
        node = self._random.choice(running)

        def write() -> Change:
            state = self._state.apply(delta)
            assert isinstance(state, DocumentState), state
            self._state = state
            base = Revision(self.table.revision)
            change = Change(Revision(base + 1), base, f"t{base + 1}", state.digest, delta)
            self._record(change)
            return change

        def written(change: Change | None) -> None:
            if change is not None and node.running:
                node.timed(lambda: self.configurations[node.node].accept(change))

        self.table.operate(write, written)

    def change_regularly(self, seconds: float) -> None:
        """Let operators change things at the rate of the design size for so long."""
        period = DAY_SECONDS / CHANGES_PER_DAY
        for index in range(int(seconds / period)):
            self.simulator.after(
                period * (index + self._random.random()), self.change_configuration
            )

    def kill(self, node: HollowNode) -> None:
        """End a node without a word."""
        self.ended_at_seconds[node.node] = self.simulator.now
        self.book.ended(node.node, self.simulator.now)
        node.kill()

    def restart(self, node: HollowNode, planned: bool, down_seconds: float) -> None:
        """End a node and start a new one at its place."""
        if node.node in self.ending:
            return
        self.ending.add(node.node)
        if planned:
            node.leave()
            limit = self.simulator.now + DRAIN_LIMIT_SECONDS
            self.simulator.after(1.0, lambda: self._stop_when_drained(node, limit, down_seconds))
            return
        self.kill(node)
        self.simulator.after(down_seconds, lambda: self.fleet.start(node.place))

    def _stop_when_drained(self, node: HollowNode, limit: float, down_seconds: float) -> None:
        """Stop a leaving node once it serves nothing, or its time is over."""
        if not node.running:
            return
        if self.ownerships[node.node].served and self.simulator.now < limit:
            again = DRAIN_POLL_SECONDS
            self.simulator.after(again, lambda: self._stop_when_drained(node, limit, down_seconds))
            return
        self.book.ended(node.node, self.simulator.now)
        node.stop()
        self.simulator.after(down_seconds, lambda: self.fleet.start(node.place))

    def config_seconds(self, since_revision: int) -> list[float]:
        """Return, for each revision after that one and each node, how long it took to be held.

        Nodes that were not running when it was accepted are left out, and those that ended.
        """
        found = []
        for revision, accepted in self.accepted_at_seconds.items():
            if revision <= since_revision:
                continue
            for node in self.fleet.running():
                if node.started_at_seconds > accepted:
                    continue
                held = self.configurations[node.node].held_at_seconds.get(revision)
                found.append((held if held is not None else self.simulator.now) - accepted)
        return found

    def _record(self, change: Change) -> None:
        self.table.changes.append(change)
        self.accepted_at_seconds[change.revision] = self.simulator.now

    def _attach(self, node: HollowNode) -> None:
        configuration = HollowConfiguration(node, self.table, self._random.getrandbits(32))
        self.configurations[node.node] = configuration
        node.services["configuration"] = configuration.serve
        node.on_member.append(lambda member: self._changed(node, member))
        self.ownerships[node.node] = HollowOwnership(node, self.table, self.book)

    def _changed(self, observer: HollowNode, member: Member) -> None:
        if member.state not in (MemberState.SUSPECT, MemberState.DEAD):
            return
        if member.node == observer.node:
            return
        ended = self.ended_at_seconds.get(member.node)
        if ended is not None:
            if member.state is MemberState.DEAD and observer.started_at_seconds < ended:
                self.detection_seconds.append(self.simulator.now - ended)
            return
        subject = self.fleet.nodes.get(member.address)
        alive = subject is not None and subject.node == member.node and subject.running
        if not alive or not observer.ticking:
            return
        if member.state is MemberState.SUSPECT:
            self.false_suspicions += 1
        else:
            self.false_deaths += 1
