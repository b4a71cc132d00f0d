"""Ownership of shards at a hollow node: the real decisions, with modelled takeovers.

The order of steps is that of `foxwinch.node.ownership_service` and `takeover_service`. A takeover
costs a read, a raise and an activation in the table, and one seal of each other replica; while the
table is down the replicas alone must answer.
"""

from collections.abc import Callable

import xxhash

from foxwinch._generated.replication_pb2 import ShardNotice
from foxwinch.bench.fleet.node import HollowNode
from foxwinch.bench.fleet.table import TableModel
from foxwinch.core.journal.configuration import CommitPlace, Configuration, GroupMember
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.shard.epochs import NO_EPOCH, next_step, next_term
from foxwinch.core.shard.events import (
    AttemptFailed,
    Claim,
    ClaimDeclined,
    HandOver,
    MemberFact,
    MembersChanged,
    OwnerHeard,
    OwnershipEvent,
    Presence,
    Repair,
    Serving,
    ShardLost,
    TimePassed,
)
from foxwinch.core.shard.ownership import OwnershipDecisions
from foxwinch.core.shard.placement import SHARDS_PER_REGION
from foxwinch.identifiers import Epoch, NodeId, PeerAddress, ShardNumber
from foxwinch.node.handover_client import HANDOVER_ANSWER_SECONDS
from foxwinch.node.ownership_service import TICK_SECONDS
from foxwinch.node.replication_codec import (
    core_member,
    decode_configuration,
    encode_configuration,
)
from foxwinch.node.takeover_service import choose_group

SEAL_BYTES = 200
SEAL_ANSWER = bytes(200)
"""The promise without the records of the log, which are callers' data and no control traffic."""
_PRESENCE = {
    MemberState.ALIVE: Presence.LIVE,
    MemberState.SUSPECT: Presence.LIVE,
    MemberState.LEAVING: Presence.LEAVING,
}


class ShardBook:
    """Who serves each shard of each region in truth, as an observer sees it."""

    def __init__(self) -> None:
        """Start with nobody serving anything."""
        self.owners: dict[str, NodeId] = {}
        self.moves = 0
        self.unowned_seconds = 0.0
        self.takeover_seconds: list[float] = []
        self.configurations: dict[str, Configuration] = {}
        """Rows of the table."""
        self._lost_at_seconds: dict[str, float] = {}

    def served(self, key: str, node: NodeId, now: float) -> None:
        """A node serves a shard now."""
        self.moves += key in self._lost_at_seconds or self.owners.get(key, node) != node
        lost = self._lost_at_seconds.pop(key, None)
        if lost is not None:
            self.unowned_seconds += now - lost
            self.takeover_seconds.append(now - lost)
        self.owners[key] = node

    def ended(self, node: NodeId, now: float) -> None:
        """A node has ended: whatever it served is served by nobody."""
        for key in [key for key, owner in self.owners.items() if owner == node]:
            del self.owners[key]
            self._lost_at_seconds[key] = now


class HollowOwnership:
    """Looks after one node's shards."""

    def __init__(self, node: HollowNode, table: TableModel, book: ShardBook) -> None:
        """Own nothing."""
        this = node.engine.this_member()
        self.node = node
        self.served: dict[ShardNumber, Configuration] = {}
        self._table = table
        self._book = book
        self._region = this.region
        self._decisions = OwnershipDecisions(
            this.node, this.zone, SHARDS_PER_REGION, node.simulator.now
        )
        node.on_member.append(lambda member: self._timed(self._on_members))
        node.on_entry.append(self._gossiped)
        node.services["seal"] = lambda payload: SEAL_ANSWER
        node.services["handover"] = self._asked_to_take
        node.simulator.after(
            TICK_SECONDS * (xxhash.xxh32_intdigest(this.node.encode()) / 2**32), self._tick
        )
        self._on_members()

    def _timed(self, step: Callable[[], None]) -> None:
        self.node.timed(step)

    def _tick(self) -> None:
        if not self.node.running:
            return
        self.node.simulator.after(TICK_SECONDS, self._tick)
        if not self.node.paused:
            self._timed(lambda: self._handle(TimePassed()))

    def _handle(self, event: OwnershipEvent) -> None:
        if not self.node.running:
            return
        for action in self._decisions.handle(event, self.node.simulator.now):
            match action:
                case Claim(shard) | Repair(shard):
                    self._take(shard)
                case HandOver(shard, successor):
                    self._hand_over(shard, successor)

    def _on_members(self) -> None:
        members = [m for m in self.node.engine.members() if m.state in _PRESENCE]
        facts = tuple(MemberFact(m.node, m.zone, _PRESENCE[m.state]) for m in members)
        self._handle(MembersChanged(facts))

    def _gossiped(self, entry: GossipEntry) -> None:
        if entry.kind is GossipKind.SHARD:
            self._timed(lambda: self._heard(entry))

    def _heard(self, entry: GossipEntry) -> None:
        notice = ShardNotice.FromString(entry.payload)
        shard = ShardNumber(notice.shard)
        configuration = decode_configuration(notice.configuration)
        held = self.served.get(shard)
        self._handle(OwnerHeard(shard, configuration))
        if held is not None and configuration.epoch > held.epoch:
            self.served.pop(shard, None)
            self._handle(ShardLost(shard))

    def _key(self, shard: ShardNumber) -> str:
        return f"{self._region}/{shard}"

    def _take(self, shard: ShardNumber, former: NodeId | None = None) -> None:
        key = self._key(shard)

        def read(row: "tuple[Configuration | None] | None") -> None:
            self._timed(lambda: self._raise(shard, former, row))

        self._table.operate(lambda: (self._book.configurations.get(key),), read)

    def _raise(
        self,
        shard: ShardNumber,
        former: NodeId | None,
        row: "tuple[Configuration | None] | None",
    ) -> None:
        """Raise the epoch: in the table, or with the replicas while it is down."""
        if row is None:
            known = self._decisions.configuration(shard)
            if known is None:
                self._handle(AttemptFailed(shard))
                return
            self._seal(shard, self._configuration(shard, next_step(known.epoch)), known)
            return
        found = row[0]
        owner = found.owner.node if found is not None else None
        displaced = owner is None or owner in (former, self.node.node)
        if not displaced and self._decisions.is_present(owner):  # type: ignore[arg-type]
            assert found is not None
            self._handle(ClaimDeclined(shard, found))
            return
        before = found.epoch if found is not None else NO_EPOCH
        mine = self._configuration(shard, next_term(before))
        key = self._key(shard)

        def write() -> bool:
            if self._book.configurations.get(key) is not found:
                return False
            self._book.configurations[key] = mine
            return True

        def written(won: bool | None) -> None:
            if won:
                self._timed(lambda: self._seal(shard, mine, found))
            else:
                self._timed(lambda: self._handle(AttemptFailed(shard)))

        self._table.operate(write, written)

    def _configuration(self, shard: ShardNumber, epoch: Epoch) -> Configuration:
        this = self.node.engine.this_member()
        live = [m for m in self.node.engine.members() if m.state is MemberState.ALIVE]
        group = choose_group(shard, this, live)
        return Configuration(epoch, core_member(this), group, CommitPlace.REPLICAS)

    def _seal(self, shard: ShardNumber, mine: Configuration, former: Configuration | None) -> None:
        """Read the tail of the log from one of the former replicas."""
        replicas = [
            member
            for member in (former.group if former is not None else ())
            if member.node != self.node.node and self._decisions.is_present(member.node)
        ]
        if not replicas:
            self._serve(shard, mine)
            return

        def sealed(answer: bytes | None) -> None:
            if answer is None:
                self._handle(AttemptFailed(shard))
            else:
                self._serve(shard, mine)

        for replica in replicas[1:]:
            self.node.request(_address(replica), "seal", bytes(SEAL_BYTES), lambda answer: None)
        self.node.request(_address(replicas[0]), "seal", bytes(SEAL_BYTES), sealed)

    def _serve(self, shard: ShardNumber, configuration: Configuration) -> None:
        self._table.operate(lambda: True, lambda done: None)  # activation
        self.served[shard] = configuration
        self._book.served(self._key(shard), self.node.node, self.node.simulator.now)
        self._handle(Serving(shard, configuration))
        notice = ShardNotice(shard=shard, configuration=encode_configuration(configuration))
        payload = notice.SerializeToString()
        key = self._key(shard)
        self.node.publish(GossipEntry(GossipKind.SHARD, key, configuration.epoch, payload))

    def _hand_over(self, shard: ShardNumber, successor: NodeId) -> None:
        member = self._member(successor)
        if member is None:
            self._handle(AttemptFailed(shard))
            return
        payload = f"{shard} {self.node.node}".encode()
        held = self.served.get(shard)

        def expired() -> None:
            if held is not None and self.served.get(shard) is held:
                self._timed(lambda: self._handle(AttemptFailed(shard)))

        self.node.request(member.address, "handover", payload, lambda answer: None)
        self.node.simulator.after(HANDOVER_ANSWER_SECONDS, expired)

    def _asked_to_take(self, payload: bytes) -> bytes:
        number, former = payload.decode().split(" ")
        shard = ShardNumber(int(number))
        if self._decisions.accept_handover(shard):
            self._take(shard, NodeId(former))
        return b"ok"

    def _member(self, node: NodeId) -> Member | None:
        return next((m for m in self.node.engine.members() if m.node == node), None)


def _address(member: GroupMember) -> PeerAddress:
    return PeerAddress(member.host, member.port)
