"""Taking a shard over: raise the epoch, seal what may be active, read the committed records."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from foxwinch.clock import Clock
from foxwinch.core.journal.configuration import (
    CommitPlace,
    Configuration,
    Group,
    GroupMember,
)
from foxwinch.core.journal.log import JournalLog
from foxwinch.core.journal.recovery import (
    ReadReplica,
    ReadTable,
    SealRefused,
    SealRound,
    SealVerdict,
)
from foxwinch.core.journal.replica import ReplicaAnswer
from foxwinch.core.shard.epochs import NO_EPOCH, next_step, term_of
from foxwinch.core.shard.placement import Candidate, replica_group
from foxwinch.identifiers import Epoch, NodeId, ShardNumber
from foxwinch.log import EventLog
from foxwinch.node.interfaces import Member, MembershipView, MemberState
from foxwinch.node.replica_client import ReplicaClient
from foxwinch.node.replica_service import ReplicaService
from foxwinch.node.replication_codec import candidates_of, core_group, core_member, live_members
from foxwinch.node.shard_store import ShardStore, StoredShard, Superseded
from foxwinch.outcomes import Reason, Refused, not_run

log = EventLog("takeover")

TABLE_SECONDS = 2.0
"""A table that does not answer for so long counts as down, and the replicas are asked."""
SEAL_ATTEMPTS = 6
SEAL_PAUSE_SECONDS = 0.2
STEP_ATTEMPTS = 3
RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class TakenOver:
    """This node may serve the shard once a majority of the group holds the recovered log."""

    shard: ShardNumber
    configuration: Configuration
    recovered: JournalLog
    answers: dict[NodeId, ReplicaAnswer]
    """State of the sealed replicas, so that logs that agree need not be sent."""
    stored: StoredShard | None
    """The row as raised by this node; None when the table was down."""


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """A live node owns the shard; nothing was raised."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class TakeoverPorts:
    """What a takeover needs of the node."""

    clock: Clock
    membership: MembershipView
    replicas: ReplicaService
    client: ReplicaClient
    store: ShardStore


BeforeSeal = Callable[[], Awaitable[None]]


class TakeoverService:
    """Raises, seals and reads."""

    def __init__(self, ports: TakeoverPorts) -> None:
        """Hold the ports."""
        self._ports = ports
        self._unfinished: dict[ShardNumber, Configuration] = {}
        """Configurations raised here whose recovery did not end; tried again in place of a new
        raise, so that a shard whose replicas are away does not gather configurations."""

    async def take_over(
        self,
        shard: ShardNumber,
        known: Configuration | None,
        may_displace: Callable[[GroupMember], bool],
        before_seal: BeforeSeal | None = None,
    ) -> TakenOver | OwnedElsewhere | Refused:
        """Take a shard over unless a live node owns it that may not be displaced.

        `known` is the newest configuration that this node has heard of. The owner is that of the
        highest epoch known, since a step raised by the replicas is not in the row.
        `before_seal` runs once the table has accepted the raise; an owner that raises its own
        epoch stops its writer there. Refused with `NO_QUORUM` when neither the table nor a
        majority of the replicas can be reached, and with `CONFLICT` when a race was lost.
        """
        try:
            async with asyncio.timeout(TABLE_SECONDS):
                raised = await self._raise_in_table(shard, known, may_displace)
        except TimeoutError:
            raised = not_run(Reason.STORE_UNAVAILABLE, "the table did not answer in time")
        if isinstance(raised, Superseded):
            return not_run(Reason.CONFLICT, "another node raised the epoch", RETRY_SECONDS)
        if isinstance(raised, OwnedElsewhere):
            return raised
        if isinstance(raised, Refused):
            if before_seal is not None:
                return not_run(Reason.NO_QUORUM, "the table is down", RETRY_SECONDS)
            return await self._take_over_by_replicas(shard, known, may_displace)
        if before_seal is not None:
            await before_seal()
        return await self._recover(shard, raised)

    def unfinished(self, shard: ShardNumber) -> Configuration | None:
        """Return the configuration raised here whose recovery did not end."""
        return self._unfinished.get(shard)

    async def table_answers(self, shard: ShardNumber) -> bool:
        """Tell whether the table can be read just now."""
        try:
            async with asyncio.timeout(TABLE_SECONDS):
                return not isinstance(await self._ports.store.read(shard), Refused)
        except TimeoutError:
            return False

    async def _raise_in_table(
        self,
        shard: ShardNumber,
        known: Configuration | None,
        may_displace: Callable[[GroupMember], bool],
    ) -> StoredShard | OwnedElsewhere | Superseded | Refused:
        held = await self._ports.store.read(shard)
        if isinstance(held, Refused):
            return held
        newest = held.record.newest
        latest = latest_of(newest, known, self._accepted(shard))
        if latest is not None and not may_displace(latest.owner):
            return OwnedElsewhere(latest)
        if newest is not None and newest.epoch == epoch_of(self._unfinished.get(shard)):
            return held
        group, place = self._choose_group(shard)
        owner = core_member(self._ports.membership.this_member())
        return await self._ports.store.raise_term(shard, held, owner, group, place)

    def _accepted(self, shard: ShardNumber) -> Configuration | None:
        """Return the configuration that this node's own replica has accepted.

        The owner is the first of its group, so that its replicas know it.
        """
        own = self._ports.replicas.replica(shard)
        if own.accepted == NO_EPOCH:
            return None
        return Configuration(own.accepted, own.group[0], own.group, CommitPlace.REPLICAS)

    def _choose_group(self, shard: ShardNumber) -> tuple[Group, CommitPlace]:
        this = self._ports.membership.this_member()
        live = [m for m in live_members(self._ports.membership) if m.state is MemberState.ALIVE]
        group = choose_group(shard, this, live)
        return group, CommitPlace.REPLICAS if len(group) > 1 else CommitPlace.TABLE

    async def _recover(self, shard: ShardNumber, raised: StoredShard) -> TakenOver | Refused:
        """Seal every configuration before the raised one, and read the committed records."""
        newest = raised.record.newest
        assert newest is not None
        former = raised.record.configurations[:-1]
        self._unfinished[shard] = newest
        if not former:
            del self._unfinished[shard]
            return TakenOver(shard, newest, JournalLog(), {}, raised)
        sealing = SealRound(newest.epoch, former)
        found = await self._seal(shard, sealing)
        if isinstance(found, Refused):
            return found
        recovered = await self._read(shard, sealing, found, raised)
        if isinstance(recovered, Refused):
            return recovered
        del self._unfinished[shard]
        return TakenOver(shard, newest, recovered, sealing.answers, raised)

    async def _take_over_by_replicas(
        self,
        shard: ShardNumber,
        known: Configuration | None,
        may_displace: Callable[[GroupMember], bool],
    ) -> TakenOver | OwnedElsewhere | Refused:
        """Raise the step on a majority of the group that this node belongs to."""
        this = core_member(self._ports.membership.this_member())
        own = self._ports.replicas.replica(shard)
        accepted = self._accepted(shard)
        if accepted is None:
            return not_run(Reason.NO_QUORUM, "the table is down", RETRY_SECONDS)
        latest = latest_of(accepted, known)
        if latest is not None and latest.owner.node != this.node and not may_displace(latest.owner):
            return OwnedElsewhere(latest)
        others = [member for member in own.group if member.node != this.node]
        group = (this, *others)
        floor = NO_EPOCH
        for _ in range(STEP_ATTEMPTS):
            floor = max(floor, own.promised, own.accepted)
            if term_of(floor) != term_of(own.accepted):
                break
            epoch = next_step(floor)
            configuration = Configuration(epoch, this, group, CommitPlace.REPLICAS)
            sealing = SealRound(epoch, [configuration])
            found = await self._seal(shard, sealing)
            if isinstance(found, ReadReplica):
                recovered = await self._read(shard, sealing, found, None)
                if isinstance(recovered, Refused):
                    return recovered
                return TakenOver(shard, configuration, recovered, sealing.answers, None)
            if isinstance(found, SealRefused):
                floor = max(floor, found.promised)
            await self._ports.clock.sleep(RETRY_SECONDS * self._ports.clock.uniform())
        return not_run(Reason.NO_QUORUM, "the table is down and no majority answers", 1.0)

    async def _seal(
        self, shard: ShardNumber, sealing: SealRound
    ) -> ReadReplica | ReadTable | SealRefused | Refused:
        """Ask the replicas until enough are sealed; this node's own one first.

        Its own log then counts among the candidates, so an owner that raises its own epoch keeps
        what it has appended and not yet committed.
        """
        this = self._ports.membership.this_member().node
        members = sorted(sealing.members(), key=lambda member: member.node != this)
        waiting = {member.node: member for member in members}
        for attempt in range(SEAL_ATTEMPTS):
            verdict = await self._ask_all(shard, list(waiting.values()), sealing)
            if isinstance(verdict, ReadReplica | ReadTable):
                return verdict
            if isinstance(verdict, SealRefused):
                if term_of(verdict.promised) == term_of(sealing.epoch):
                    return verdict
                return not_run(Reason.CONFLICT, "another node raised the epoch", RETRY_SECONDS)
            waiting = {n: m for n, m in waiting.items() if n not in sealing.answers}
            if attempt + 1 < SEAL_ATTEMPTS:
                await self._ports.clock.sleep(SEAL_PAUSE_SECONDS)
        log.warning("seal_failed", shard=shard, epoch=sealing.epoch, missing=sorted(waiting))
        return not_run(Reason.NO_QUORUM, "too few replicas of the shard answer", 1.0)

    async def _ask_all(
        self, shard: ShardNumber, members: list[GroupMember], sealing: SealRound
    ) -> SealVerdict:
        """Ask replicas at once; returns when enough are sealed, without waiting for the rest."""
        loop = asyncio.get_running_loop()
        pending = {loop.create_task(self._ask(shard, member, sealing)) for member in members}
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    task.result()
                verdict = sealing.verdict()
                if isinstance(verdict, ReadReplica | ReadTable):
                    return verdict
        finally:
            for task in pending:
                task.cancel()
        return sealing.verdict()

    async def _ask(self, shard: ShardNumber, member: GroupMember, sealing: SealRound) -> None:
        answer = await self._ports.client.seal(shard, member, sealing.epoch)
        if answer is not None:
            sealing.on_answer(member.node, answer)

    async def _read(
        self,
        shard: ShardNumber,
        sealing: SealRound,
        found: ReadReplica | ReadTable | SealRefused,
        raised: StoredShard | None,
    ) -> JournalLog | Refused:
        assert not isinstance(found, SealRefused)
        if found.loss_possible:
            log.error("records_may_be_lost", shard=shard, epoch=sealing.epoch)
        stored_index = raised.record.stored_index if raised is not None else 0
        if isinstance(found, ReadReplica) and found.answer.last_index >= stored_index:
            member = next(m for m in sealing.members() if m.node == found.node)
            return await self._ports.client.read(shard, member, sealing.epoch)
        if raised is None:
            return not_run(Reason.STORE_UNAVAILABLE, "the records are only in the table", 1.0)
        return await self._ports.store.load(shard, raised.record)


def choose_group(shard: ShardNumber, this: Member, live: list[Member]) -> Group:
    """Return this node and further live ones in distinct zones."""
    members = [this, *(member for member in live if member.node != this.node)]
    owner = Candidate(this.node, this.zone)
    chosen = replica_group(resource_name(shard), owner, candidates_of(members))
    return core_group(members, chosen)


def resource_name(shard: ShardNumber) -> str:
    """Return the name under which shards are placed."""
    return f"shard/{shard}"


def latest_of(*configurations: Configuration | None) -> Configuration | None:
    """Return the configuration of the highest epoch, None when there is none."""
    return max(configurations, key=epoch_of, default=None)


def epoch_of(configuration: Configuration | None) -> Epoch:
    """Return the epoch of a configuration, or the lowest one."""
    return NO_EPOCH if configuration is None else configuration.epoch
