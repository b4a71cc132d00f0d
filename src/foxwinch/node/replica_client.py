"""Requests to replicas: over the peer port, or straight to the one kept by this node."""

from foxwinch._generated.replication_pb2 import (
    AppendRequest,
    InstallRequest,
    ReadRequest,
    ReplicaReply,
    RequestPart,
    RetireRequest,
    SealRequest,
)
from foxwinch.core.journal.configuration import GroupMember
from foxwinch.core.journal.framing import CorruptFrames
from foxwinch.core.journal.log import JournalLog
from foxwinch.core.journal.replica import ReplicaAnswer, ReplicaStatus
from foxwinch.core.journal.writer import (
    AppendMessage,
    CompactMessage,
    InstallMessage,
    WriterMessage,
)
from foxwinch.identifiers import Epoch, NodeId, ShardNumber
from foxwinch.node.replica_service import (
    APPEND,
    INSTALL,
    PART,
    READ,
    RETIRE,
    SEAL,
    ReplicaService,
)
from foxwinch.node.replication_codec import (
    decode_answer,
    decode_batch,
    decode_snapshot,
    encode_batch,
    encode_group,
    encode_snapshot,
    peer_address,
)
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import PeerPort

SEAL_SECONDS = 1.0
READ_SECONDS = 5.0
WRITE_SECONDS = 2.0
"""Longer than any healthy link inside a region takes; then the message is sent again."""


class ReplicaClient:
    """Asks the replicas of any shard."""

    def __init__(self, this: NodeId, replicas: ReplicaService, peers: PeerPort | None) -> None:
        """Ask this node's own replicas without the network."""
        self._this = this
        self._replicas = replicas
        self._peers = peers
        self._transfers = 0

    async def seal(
        self, shard: ShardNumber, member: GroupMember, epoch: Epoch
    ) -> ReplicaAnswer | None:
        """Seal a replica; None when it did not answer."""
        if member.node == self._this:
            return self._replicas.replica(shard).seal(epoch)
        request = SealRequest(target_node=member.node, shard=shard, epoch=epoch)
        reply = await self._call(member, SEAL, request.SerializeToString(), SEAL_SECONDS)
        return None if reply is None else decode_answer(reply)

    async def read(
        self, shard: ShardNumber, member: GroupMember, epoch: Epoch
    ) -> JournalLog | Refused:
        """Read the whole log of a replica that was sealed under `epoch`."""
        if member.node == self._this:
            return self._replicas.replica(shard).log.copy()
        if self._peers is None:
            return not_run(Reason.NO_QUORUM, "no fellow nodes", 0.5)
        request = ReadRequest(target_node=member.node, shard=shard, epoch=epoch)
        pieces: list[bytes] = []
        answers = self._peers.stream(
            peer_address(member), READ, request.SerializeToString(), READ_SECONDS
        )
        async for piece in answers:
            if isinstance(piece, Refused):
                return not_run(Reason.NO_QUORUM, "the sealed replica could not be read", 0.5)
            pieces.append(piece)
        return _log_of(ReplicaReply.FromString(b"".join(pieces)))

    async def write(
        self, shard: ShardNumber, member: GroupMember, message: WriterMessage
    ) -> ReplicaAnswer | None:
        """Send a writer's message; None when no answer came."""
        if isinstance(message, InstallMessage):
            method, payload = INSTALL, _install_request(shard, member, message)
        else:
            method, payload = APPEND, _append_request(shard, member, message)
        if len(payload) > self._replicas.part_bytes:
            reply = await self._send_parts(shard, member, method, payload)
        else:
            reply = await self._call(member, method, payload, WRITE_SECONDS)
        return None if reply is None else decode_answer(reply)

    async def _send_parts(
        self, shard: ShardNumber, member: GroupMember, method: str, payload: bytes
    ) -> ReplicaReply | None:
        """Send a large request piece by piece; returns the answer to the whole."""
        size = self._replicas.part_bytes
        pieces = [payload[i : i + size] for i in range(0, len(payload), size)]
        reply: ReplicaReply | None = None
        self._transfers += 1
        for number, data in enumerate(pieces):
            part = RequestPart(
                target_node=member.node,
                shard=shard,
                method=method,
                transfer=f"{self._this}/{self._transfers}",
                number=number,
                count=len(pieces),
                data=data,
            )
            reply = await self._call(member, PART, part.SerializeToString(), WRITE_SECONDS)
            if reply is None or ReplicaStatus(reply.status) is not ReplicaStatus.ACCEPTED:
                return reply
        return reply

    async def retire(self, shard: ShardNumber, member: GroupMember, epoch: Epoch) -> None:
        """Tell a former replica to forget the shard; when it misses it, it only keeps memory."""
        if member.node == self._this:
            self._replicas.replica(shard).retire(epoch)
            return
        request = RetireRequest(target_node=member.node, shard=shard, epoch=epoch)
        await self._call(member, RETIRE, request.SerializeToString(), SEAL_SECONDS)

    async def _call(
        self, member: GroupMember, method: str, payload: bytes, seconds: float
    ) -> ReplicaReply | None:
        if self._peers is None:
            return None
        reply = await self._peers.call(peer_address(member), method, payload, seconds)
        return None if isinstance(reply, Refused) else ReplicaReply.FromString(reply)


def _log_of(reply: ReplicaReply) -> JournalLog | Refused:
    """Return the log in an answer to a read, after checking every checksum."""
    if ReplicaStatus(reply.status) is not ReplicaStatus.ACCEPTED:
        return not_run(Reason.NO_QUORUM, "the replica has been sealed again", 0.5)
    snapshot = decode_snapshot(reply.snapshot)
    entries = decode_batch(reply.entries)
    if isinstance(snapshot, CorruptFrames) or isinstance(entries, CorruptFrames):
        return not_run(Reason.INTERNAL, "the replica's records are damaged", 0.5)
    log = JournalLog(snapshot, entries)
    if log.last_index != reply.last_index:
        return not_run(Reason.INTERNAL, "the replica's records are not complete", 0.5)
    return log


def _install_request(shard: ShardNumber, member: GroupMember, message: InstallMessage) -> bytes:
    request = InstallRequest(
        target_node=member.node,
        shard=shard,
        epoch=message.epoch,
        group=encode_group(message.group),
    )
    chain = 0
    if message.keep is not None:
        request.keep_index, request.keep_chain = message.keep
        chain = message.keep[1]
    elif message.snapshot is not None:
        request.snapshot.CopyFrom(encode_snapshot(message.snapshot))
        chain = message.snapshot.chain
    request.entries.CopyFrom(encode_batch(message.entries, chain))
    return request.SerializeToString()


def _append_request(
    shard: ShardNumber, member: GroupMember, message: AppendMessage | CompactMessage
) -> bytes:
    request = AppendRequest(target_node=member.node, shard=shard, epoch=message.epoch)
    if isinstance(message, CompactMessage):
        request.snapshot.CopyFrom(encode_snapshot(message.snapshot))
    else:
        request.entries.CopyFrom(encode_batch(message.entries, message.previous_chain))
        request.committed_index = message.committed_index
    return request.SerializeToString()
