"""Epochs of fenced resources: a row of the table, or a majority of the row's replicas.

The table gives out terms by compare-and-set. While it is down, a majority of the group recorded
with the last term gives out steps inside that term. A later term voids all of its steps.
"""

import asyncio
from dataclasses import dataclass

from foxwinch._generated.replication_pb2 import EpochReply, EpochRequest, EpochRow
from foxwinch.clock import Clock
from foxwinch.core.shard.epochs import majority, next_step, next_term
from foxwinch.core.shard.placement import Candidate, ranked, register_group
from foxwinch.core.shard.register import RegisterState
from foxwinch.identifiers import Epoch, NodeId
from foxwinch.log import EventLog
from foxwinch.node.interfaces import EpochClaim, Member, MembershipView
from foxwinch.node.replication_codec import (
    address_of,
    candidates_of,
    group_message,
    live_members,
    member_message,
)
from foxwinch.node.settled_table import transact_settled
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import PeerAddress, PeerContext, PeerPort
from foxwinch.storage.ports import Committed, Condition, TablePort, Transaction, Write

log = EventLog("epochs")

METHOD = "epoch"
KEY_PREFIX = "epoch/"
TABLE_SECONDS = 2.0
"""Longer than a slow table's answer; beyond it the replicas are asked."""
TABLE_ATTEMPTS = 3
PEER_SECONDS = 1.0
RETRY_SECONDS = 1.0
ASKED_NODES = 8
"""Nodes asked who holds a register whose group is not known here; it includes any live group
chosen by the same ranking even after a few members have changed."""
PROMISE_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class EpochPorts:
    """What the service needs of the node."""

    clock: Clock
    membership: MembershipView
    table: TablePort | None
    peers: PeerPort | None


class EpochService:
    """Implements `foxwinch.node.interfaces.EpochView` and serves the registers kept here."""

    def __init__(self, ports: EpochPorts) -> None:
        """Register the peer method; nothing else runs in the background."""
        self._ports = ports
        self._registers: dict[str, RegisterState[EpochRow]] = {}
        if ports.peers is not None:
            ports.peers.handle(METHOD, self._handle)

    async def start(self) -> None:
        """Nothing runs in the background."""

    async def stop(self) -> None:
        """Nothing runs in the background."""

    async def raise_epoch(self, resource: str) -> EpochClaim | Refused:
        """Take `resource` over under a new, higher epoch.

        `CONFLICT` when a race was lost, `NO_QUORUM` when neither the table nor a majority of the
        replicas answered; the resource's holder is then unchanged or void, never doubled.
        """
        try:
            async with asyncio.timeout(TABLE_SECONDS):
                claim = await self._raise_in_table(resource)
        except TimeoutError:
            claim = not_run(Reason.STORE_UNAVAILABLE, "the table did not answer in time")
        if isinstance(claim, Refused) and claim.reason is not Reason.CONFLICT:
            claim = await self._raise_on_replicas(resource)
        if isinstance(claim, EpochClaim):
            log.info("epoch_raised", resource=resource, epoch=claim.epoch)
        return claim

    async def _raise_in_table(self, resource: str) -> EpochClaim | Refused:
        table = self._ports.table
        if table is None:
            return not_run(Reason.STORE_UNAVAILABLE, "no table service is configured")
        held = await table.read(KEY_PREFIX + resource)
        if isinstance(held, Refused):
            return held
        row = EpochRow() if held is None else EpochRow.FromString(held.value)
        version = 0 if held is None else held.version
        wanted = self._next_row(resource, Epoch(row.epoch))
        key = KEY_PREFIX + resource
        transaction = Transaction(
            wanted.claim,
            (Condition(key, version),),
            (Write(key, wanted.SerializeToString(deterministic=True)),),
        )
        outcome = await transact_settled(table, self._ports.clock, transaction, TABLE_ATTEMPTS)
        if not isinstance(outcome, Committed) and not await self._is_claimed(key, wanted.claim):
            if isinstance(outcome, Refused):
                return outcome
            return not_run(Reason.CONFLICT, "another node raised the epoch", RETRY_SECONDS)
        await self._spread(resource, wanted)
        return EpochClaim(resource, Epoch(wanted.epoch))

    def _next_row(self, resource: str, epoch: Epoch) -> EpochRow:
        this = self._ports.membership.this_member()
        live = self._live()
        holder = Candidate(this.node, this.zone)
        chosen = register_group(resource, holder, candidates_of(live))
        return EpochRow(
            epoch=next_term(epoch),
            holder=member_message(this),
            claim=self._ports.clock.identifier(),
            group=group_message(live, chosen),
        )

    def _live(self) -> list[Member]:
        this = self._ports.membership.this_member()
        others = [m for m in live_members(self._ports.membership) if m.node != this.node]
        return [this, *others]

    async def _is_claimed(self, key: str, claim: str) -> bool:
        """Read back whether a transaction without a certain answer took effect."""
        assert self._ports.table is not None
        held = await self._ports.table.read(key)
        if held is None or isinstance(held, Refused):
            return False
        return EpochRow.FromString(held.value).claim == claim

    async def _spread(self, resource: str, row: EpochRow) -> None:
        """Tell the group the row that the table accepted; a member that misses it only abstains."""
        asks = [
            self._ask(NodeId(m.node), address_of(m), EpochRequest(resource=resource, learn=row))
            for m in row.group.members
        ]
        await asyncio.gather(*asks)

    async def _raise_on_replicas(self, resource: str) -> EpochClaim | Refused:
        for _ in range(PROMISE_ATTEMPTS):
            row, promised = await self._find_row(resource)
            if row is None:
                return not_run(
                    Reason.NO_QUORUM, "the table is down and no replica knows it", RETRY_SECONDS
                )
            epoch = next_step(max(Epoch(row.epoch), promised))
            request = EpochRequest(resource=resource, promise=epoch)
            asks = [self._ask(NodeId(m.node), address_of(m), request) for m in row.group.members]
            replies = [reply for reply in await asyncio.gather(*asks) if reply is not None]
            granted = sum(1 for reply in replies if reply.granted)
            if granted >= majority(len(row.group.members)):
                return EpochClaim(resource, epoch)
            await self._ports.clock.sleep(RETRY_SECONDS / 2 * self._ports.clock.uniform())
        return not_run(Reason.NO_QUORUM, "no majority of replicas answered", RETRY_SECONDS)

    async def _find_row(self, resource: str) -> tuple[EpochRow | None, Epoch]:
        """Return the row of the highest term that a node knows, and the highest promise in it."""
        live = {member.node: member for member in self._live()}
        asked = [c.node for c in ranked(resource, candidates_of(live.values()))][:ASKED_NODES]
        this = self._ports.membership.this_member().node
        request = EpochRequest(resource=resource)
        asks = [self._ask(node, live[node].address, request) for node in {this, *asked}]
        replies = [reply for reply in await asyncio.gather(*asks) if reply is not None]
        known = [reply for reply in replies if reply.HasField("row")]
        if not known:
            return None, Epoch(0)
        highest = max(known, key=lambda reply: reply.row.epoch).row
        promised = max(reply.promised for reply in known if reply.row.epoch == highest.epoch)
        return highest, Epoch(promised)

    async def _ask(
        self, node: NodeId, address: PeerAddress, request: EpochRequest
    ) -> EpochReply | None:
        if node == self._ports.membership.this_member().node:
            return self._answer(request)
        if self._ports.peers is None:
            return None
        addressed = EpochRequest()
        addressed.CopyFrom(request)
        addressed.target_node = node
        reply = await self._ports.peers.call(
            address, METHOD, addressed.SerializeToString(), PEER_SECONDS
        )
        return None if isinstance(reply, Refused) else EpochReply.FromString(reply)

    async def _handle(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        request = EpochRequest.FromString(payload)
        if request.target_node != self._ports.membership.this_member().node:
            return EpochReply(other_node=True).SerializeToString()
        return self._answer(request).SerializeToString()

    def _answer(self, request: EpochRequest) -> EpochReply:
        state: RegisterState[EpochRow] = self._registers.get(request.resource, RegisterState())
        granted = False
        if request.HasField("learn"):
            state = state.learn(request.learn, Epoch(request.learn.epoch))
            granted = True
        elif request.HasField("promise"):
            promised = state.promise(Epoch(request.promise))
            granted = promised is not None
            state = promised or state
        if state.row_epoch:
            self._registers[request.resource] = state
        return EpochReply(row=state.row, promised=state.promised, granted=granted)
