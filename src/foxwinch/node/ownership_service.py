"""Ownership of shards: runs the decisions of `foxwinch.core.shard.ownership`."""

from collections.abc import Callable
from dataclasses import dataclass

from foxwinch._generated.replication_pb2 import HandoverReply, HandoverRequest, ShardNotice
from foxwinch.clock import Clock
from foxwinch.core.journal.configuration import CommitPlace, Configuration, GroupMember
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
    ShardState,
    TimePassed,
)
from foxwinch.core.shard.ownership import OwnershipDecisions
from foxwinch.core.shard.placement import SHARDS_PER_REGION, shard_of
from foxwinch.identifiers import NodeId, ProgramId, ShardNumber
from foxwinch.log import EventLog
from foxwinch.node.handover_client import HANDOVER, ask_to_serve
from foxwinch.node.interfaces import (
    GossipEntry,
    GossipKind,
    GossipView,
    Member,
    MembershipView,
    MemberState,
    OwnedBy,
    OwnedHere,
)
from foxwinch.node.journal_service import JournalService, OwnedShard, RunningCalls
from foxwinch.node.replica_service import ReplicaService
from foxwinch.node.replication_codec import (
    core_member,
    decode_configuration,
    encode_configuration,
    peer_address,
)
from foxwinch.node.takeover_service import OwnedElsewhere, TakeoverService
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import PeerContext, PeerPort
from foxwinch.service_tasks import ServiceTasks

log = EventLog("ownership")

TICK_SECONDS = 0.1
RETRY_SECONDS = 0.2
IDLE_SECONDS = 20.0
"""A handover that is not urgent waits so long for the shard's running calls, then tries later."""
IDLE_POLL_SECONDS = 0.05
CLOSING_SECONDS = 2.0
"""A leaving node takes new calls of a shard so long while it waits for the running ones. A shard
that is busy without a pause would otherwise stay until the drain's limit cuts its calls."""
RETIRE_SECONDS = 10.0
"""Longest wait of a leaving node for its replicas to be replaced; while the table is down they
cannot be."""
_PRESENCE = {
    MemberState.ALIVE: Presence.LIVE,
    MemberState.SUSPECT: Presence.LIVE,
    MemberState.LEAVING: Presence.LEAVING,
}


@dataclass(frozen=True, slots=True)
class OwnershipPorts:
    """What the service needs of the node."""

    clock: Clock
    membership: MembershipView
    gossip: GossipView
    peers: PeerPort | None
    takeover: TakeoverService
    journals: JournalService
    replicas: ReplicaService


class OwnershipService:
    """Implements `foxwinch.node.interfaces.OwnershipView`."""

    def __init__(self, ports: OwnershipPorts, shards: int = SHARDS_PER_REGION) -> None:
        """Own nothing before the start."""
        self._ports = ports
        self._shards = shards
        self._this = ports.membership.this_member()
        self._decisions: OwnershipDecisions | None = None
        self._tasks = ServiceTasks("ownership")
        self._leaving = False
        self._closing: set[ShardNumber] = set()
        """Shards of this leaving node that take no new calls any more."""
        self._failing: set[ShardNumber] = set()
        """Shards whose last claim by this node failed."""
        self._running_calls: RunningCalls = lambda shard: 0
        ports.gossip.subscribe(GossipKind.SHARD, self._on_gossip)
        ports.membership.subscribe(lambda member: self._on_members())
        if ports.peers is not None:
            ports.peers.handle(HANDOVER, self._on_handover)

    def attach(self, running_calls: RunningCalls) -> None:
        """Ask `running_calls` how many calls of a shard run, before it is handed over."""
        self._running_calls = running_calls

    async def start(self) -> None:
        """Start to look after the shards."""
        now = self._ports.clock.monotonic()
        this = self._this
        self._decisions = OwnershipDecisions(this.node, this.zone, self._shards, now)
        self._on_members()
        for entry in self._ports.gossip.entries(GossipKind.SHARD).values():
            self._on_gossip(entry)
        self._tasks.keep(self._tick())

    async def stop(self) -> None:
        """Stop serving every shard."""
        await self._tasks.stop()
        for shard, _ in self._ports.journals.owned():
            await self._ports.journals.close(shard)

    async def drain(self) -> None:
        """Hand every shard over; returns when none is left or nobody could take them.

        Then waits a while until the other owners have replaced the replicas kept here, so that a
        rolling replacement never takes two replicas of a shard at once.
        """
        self._leaving = True
        self._on_members()
        while any(True for _ in self._ports.journals.owned()) and self._successors():
            await self._ports.clock.sleep(TICK_SECONDS)
        until = self._ports.clock.monotonic() + RETIRE_SECONDS
        while self._ports.replicas.held_logs() and self._ports.clock.monotonic() < until:
            await self._ports.clock.sleep(TICK_SECONDS)

    def locate(self, program_id: ProgramId) -> OwnedHere | OwnedBy | Refused:
        """Find the owner of a program's shard."""
        shard = shard_of(program_id, self._shards)
        owned = self._ports.journals.get(shard)
        decisions = self._decisions
        if decisions is None:
            return not_run(Reason.NOT_OWNER, "the node is starting", RETRY_SECONDS)
        if owned is not None and decisions.serves(shard):
            if decisions.state(shard) is not ShardState.HANDING_OVER or owned.ready.is_set():
                return OwnedHere(shard, owned.epoch, shard in self._closing)
            return not_run(Reason.NOT_OWNER, "the shard is being handed over", RETRY_SECONDS)
        configuration = decisions.configuration(shard)
        if configuration is None or not self._is_other_and_present(configuration.owner.node):
            return not_run(Reason.NOT_OWNER, "nobody owns the shard yet", RETRY_SECONDS)
        return OwnedBy(shard, configuration.owner.node, peer_address(configuration.owner))

    def describe(self, shard: ShardNumber) -> ShardState:
        """Return the state of a shard as seen here."""
        assert self._decisions is not None
        return self._decisions.state(shard)

    # --- events --------------------------------------------------------------------------

    async def _tick(self) -> None:
        while True:
            await self._ports.clock.sleep(TICK_SECONDS)
            self._handle(TimePassed())

    def _handle(self, event: OwnershipEvent) -> None:
        if self._decisions is None:
            return
        for action in self._decisions.handle(event, self._ports.clock.monotonic()):
            match action:
                case Claim(shard):
                    self._tasks.keep(self._claim(shard))
                case Repair(shard):
                    self._tasks.keep(self._repair(shard))
                case HandOver(shard, successor):
                    self._tasks.keep(self._hand_over(shard, successor))

    def _on_members(self) -> None:
        members = [m for m in self._ports.membership.members() if m.region == self._this.region]
        facts = [self._fact(member) for member in members if member.state in _PRESENCE]
        if all(fact.node != self._this.node for fact in facts):
            facts.append(MemberFact(self._this.node, self._this.zone, Presence.LIVE))
        self._handle(MembersChanged(tuple(facts)))

    def _fact(self, member: Member) -> MemberFact:
        presence = _PRESENCE[member.state]
        if member.node == self._this.node and self._leaving:
            presence = Presence.LEAVING
        return MemberFact(member.node, member.zone, presence)

    def _on_gossip(self, entry: GossipEntry) -> None:
        notice = ShardNotice.FromString(entry.payload)
        shard = ShardNumber(notice.shard)
        if not entry.key.startswith(f"{self._this.region}/") or shard >= self._shards:
            return
        configuration = decode_configuration(notice.configuration)
        owned = self._ports.journals.get(shard)
        self._handle(OwnerHeard(shard, configuration))
        if owned is not None and configuration.epoch > owned.epoch:
            self._on_fenced(shard)

    def _on_fenced(self, shard: ShardNumber) -> None:
        """Another node has taken the shard over: what this node would still do is refused."""
        self._tasks.keep(self._lose(shard))

    async def _lose(self, shard: ShardNumber) -> None:
        owned = self._ports.journals.get(shard)
        if owned is None or self._state(shard) is ShardState.REPAIRING:
            return
        log.warning("shard_lost", shard=shard, epoch=owned.epoch)
        await self._ports.journals.close(shard)
        self._handle(ShardLost(shard))

    # --- actions -------------------------------------------------------------------------

    async def _claim(self, shard: ShardNumber) -> None:
        declined = await self._take(shard, self._may_displace)
        if declined is None:
            return
        # The other node may not know that it was given the shard: its raise's answer may be lost.
        found = declined.configuration
        served = await ask_to_serve(self._ports.peers, found.owner, shard, found)
        if served is not None:
            self._handle(OwnerHeard(shard, served))

    async def _take(
        self, shard: ShardNumber, may_displace: Callable[[GroupMember], bool]
    ) -> OwnedElsewhere | None:
        """Try to take a shard over; returns who has it when another node does."""
        started = self._ports.clock.monotonic()
        known = self._known(shard)
        taken = await self._ports.takeover.take_over(shard, known, may_displace)
        if isinstance(taken, OwnedElsewhere):
            self._handle(ClaimDeclined(shard, taken.configuration))
            return taken
        refused: Refused | None = None
        if isinstance(taken, Refused):
            refused = taken
            given = self._ports.takeover.unfinished(shard)
        else:
            given = taken.configuration
            refused = await self._ports.journals.open(taken, self._on_fenced)
            if refused is None:
                self._serve(shard, taken.configuration)
                seconds = round(self._ports.clock.monotonic() - started, 3)
                log.info("shard_taken", shard=shard, epoch=taken.configuration.epoch, took=seconds)
                return None
        if shard not in self._failing:
            # Once for each run of failures: the attempts go on until one succeeds.
            self._failing.add(shard)
            log.warning("claim_failed", shard=shard, reason=refused.reason, detail=refused.detail)
        if given is not None:
            # Others see that this node was given the shard and wait for it: it has to go on.
            self._handle(OwnerHeard(shard, given))
        self._handle(AttemptFailed(shard))
        return None

    async def _repair(self, shard: ShardNumber) -> None:
        """Raise this node's own epoch to change the replicas; appends wait for a moment."""
        owned = self._ports.journals.get(shard)
        if owned is None:
            self._handle(ShardLost(shard))
            return
        paused = owned.journal.configuration.place is CommitPlace.TABLE
        if paused:
            await self._ports.journals.pause(shard)

        async def before_seal() -> None:
            nonlocal paused
            if not paused:
                paused = True
                await self._ports.journals.pause(shard)

        known = self._known(shard)
        taken = await self._ports.takeover.take_over(shard, known, self._is_this, before_seal)
        refused: Refused | OwnedElsewhere | None
        if isinstance(taken, Refused | OwnedElsewhere):
            refused = taken
        else:
            refused = await self._ports.journals.reopen(taken, self._on_fenced)
            if refused is None:
                self._serve(shard, taken.configuration)
                return
        if paused or isinstance(refused, OwnedElsewhere) or owned.journal.fenced:
            await self._ports.journals.close(shard)
            self._handle(ShardLost(shard))
        else:
            self._handle(AttemptFailed(shard))

    async def _hand_over(self, shard: ShardNumber, successor: NodeId) -> None:
        member = next((m for m in self._ports.membership.members() if m.node == successor), None)
        owned = self._ports.journals.get(shard)
        if owned is None:
            self._handle(ShardLost(shard))
            return
        if (
            member is None
            or not await self._can_take(shard, successor)
            or not await self._wait_idle(shard)
        ):
            self._keep_after_handover(shard, owned)
            return
        self._ports.journals.hold(shard)
        held = owned.journal.configuration
        served = await ask_to_serve(self._ports.peers, core_member(member), shard, held)
        if served is not None:
            log.info("shard_handed_over", shard=shard, to=successor)
            self._closing.discard(shard)
            await self._ports.journals.close(shard)
            self._handle(OwnerHeard(shard, served))
            self._handle(ShardLost(shard))
            return
        self._ports.journals.release(shard)
        self._keep_after_handover(shard, owned)

    def _keep_after_handover(self, shard: ShardNumber, owned: OwnedShard) -> None:
        """Go on serving a shard that was not handed over, unless it was lost meanwhile."""
        if self._ports.journals.get(shard) is owned:
            self._handle(AttemptFailed(shard))

    async def _can_take(self, shard: ShardNumber, successor: NodeId) -> bool:
        """Tell whether the successor could raise the epoch: as a replica, or by the table.

        Asked before anything is held up, since only the replicas can while the table is down.
        """
        owned = self._ports.journals.get(shard)
        if owned is not None and successor in owned.journal.configuration.nodes():
            return True
        return await self._ports.takeover.table_answers(shard)

    async def _wait_idle(self, shard: ShardNumber) -> bool:
        """Wait until no call of the shard runs; False when some still do after the bound."""
        started = self._ports.clock.monotonic()
        while (waited := self._ports.clock.monotonic() - started) < IDLE_SECONDS:
            if self._leaving and waited >= CLOSING_SECONDS:
                self._closing.add(shard)
            owned = self._ports.journals.get(shard)
            if owned is None:
                return False
            if self._running_calls(shard) == 0 and owned.settled:
                return True
            await self._ports.clock.sleep(IDLE_POLL_SECONDS)
        return False

    async def _on_handover(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        request = HandoverRequest.FromString(payload)
        shard = ShardNumber(request.shard)
        reply = HandoverReply()
        if request.target_node != self._this.node or self._decisions is None:
            return reply.SerializeToString()
        self._handle(OwnerHeard(shard, decode_configuration(request.configuration)))
        if self._decisions.accept_handover(shard):
            former = request.configuration.owner.node
            await self._take(shard, lambda owner: owner.node == former or self._may_displace(owner))
        owned = self._ports.journals.get(shard)
        if owned is not None and owned.ready.is_set():
            reply.serving = True
            reply.configuration.CopyFrom(encode_configuration(owned.journal.configuration))
        return reply.SerializeToString()

    # --- helpers -------------------------------------------------------------------------

    def _serve(self, shard: ShardNumber, configuration: Configuration) -> None:
        self._failing.discard(shard)
        self._handle(Serving(shard, configuration))
        notice = ShardNotice(shard=shard, configuration=encode_configuration(configuration))
        self._ports.gossip.publish(
            GossipEntry(
                GossipKind.SHARD,
                f"{self._this.region}/{shard}",
                configuration.epoch,
                notice.SerializeToString(),
            )
        )

    def _may_displace(self, owner: GroupMember) -> bool:
        return not self._is_other_and_present(owner.node)

    def _is_this(self, owner: GroupMember) -> bool:
        return owner.node == self._this.node

    def _is_other_and_present(self, node: NodeId) -> bool:
        return (
            node != self._this.node
            and self._decisions is not None
            and self._decisions.is_present(node)
        )

    def _known(self, shard: ShardNumber) -> Configuration | None:
        return None if self._decisions is None else self._decisions.configuration(shard)

    def _state(self, shard: ShardNumber) -> ShardState | None:
        return None if self._decisions is None else self._decisions.state(shard)

    def _successors(self) -> bool:
        """Tell whether any other node could take a shard over."""
        return any(
            member.node != self._this.node
            and member.region == self._this.region
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            for member in self._ports.membership.members()
        )
