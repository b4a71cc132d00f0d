"""Replicas of shards kept by this node, served to their owners over the peer port."""

from prometheus_client import CollectorRegistry, Gauge

from foxwinch._generated.replication_pb2 import (
    AppendRequest,
    InstallRequest,
    ReadRequest,
    ReplicaReply,
    RetireRequest,
    SealRequest,
)
from foxwinch._generated.replication_pb2 import ReplicaStatus as ReplicaStatusMessage
from foxwinch.core.journal.framing import CorruptFrames
from foxwinch.core.journal.replica import ReplicaAnswer, ReplicaStatus, ShardReplica
from foxwinch.identifiers import Epoch, NodeId, ShardNumber
from foxwinch.log import EventLog
from foxwinch.node.replication_codec import (
    decode_batch,
    decode_group,
    decode_snapshot,
    encode_answer,
    encode_batch,
    encode_snapshot,
)
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import PeerContext, PeerPort

log = EventLog("replica")

SEAL = "journal.seal"
READ = "journal.read"
INSTALL = "journal.install"
APPEND = "journal.append"
RETIRE = "journal.retire"
MEMORY_BYTES = 64 * 1024 * 1024
"""Bound on the memory of all replicas here, a quarter of what a node may use."""
READ_BYTES = 2 * 1024 * 1024
"""Entries in one answer to a read; below the largest frame."""


class ReplicaService:
    """Holds the replicas and answers the owners' requests."""

    def __init__(
        self,
        this: NodeId,
        peers: PeerPort | None,
        registry: CollectorRegistry,
        memory_bytes: int = MEMORY_BYTES,
    ) -> None:
        """Register the peer methods; requests for an earlier life at this address are told so."""
        self._this = this
        self._memory_bytes = memory_bytes
        self._replicas: dict[ShardNumber, ShardReplica] = {}
        gauge = Gauge(
            "foxwinch_replica_memory_bytes", "Memory of the journal replicas", registry=registry
        )
        gauge.set_function(self.memory_bytes)
        if peers is not None:
            peers.handle(SEAL, self._seal)
            peers.handle(READ, self._read)
            peers.handle(INSTALL, self._install)
            peers.handle(APPEND, self._append)
            peers.handle(RETIRE, self._retire)

    async def start(self) -> None:
        """Nothing runs in the background."""

    async def stop(self) -> None:
        """Nothing runs in the background."""

    def replica(self, shard: ShardNumber) -> ShardReplica:
        """Return the replica of a shard, a new one when there is none."""
        return self._replicas.setdefault(shard, ShardReplica())

    def memory_bytes(self) -> int:
        """Return the memory of all replicas."""
        return sum(replica.log.size_bytes() for replica in self._replicas.values())

    async def _seal(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        request = SealRequest.FromString(payload)
        if request.target_node != self._this:
            return _other_node()
        shard = ShardNumber(request.shard)
        answer = self.replica(shard).seal(Epoch(request.epoch))
        log.info(
            "shard_sealed",
            shard=shard,
            epoch=request.epoch,
            status=answer.status.name,
            by=context.sender,
        )
        return _reply(answer)

    async def _read(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        request = ReadRequest.FromString(payload)
        if request.target_node != self._this:
            return _other_node()
        replica = self.replica(ShardNumber(request.shard))
        if replica.promised != request.epoch:
            return _reply(replica.answer(ReplicaStatus.FENCED))
        message = encode_answer(replica.answer(ReplicaStatus.ACCEPTED))
        start = request.after_index
        if start < replica.log.snapshot.index or not start:
            message.snapshot.CopyFrom(encode_snapshot(replica.log.snapshot))
            start = replica.log.snapshot.index
        chain = replica.log.chain_at(start)
        if chain is None:
            return not_run(Reason.INVALID_REQUEST, "the log does not reach the index")
        message.entries.CopyFrom(encode_batch(replica.log.after(start, READ_BYTES), chain))
        return message.SerializeToString()

    async def _install(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        request = InstallRequest.FromString(payload)
        if request.target_node != self._this:
            return _other_node()
        entries = decode_batch(request.entries)
        snapshot = decode_snapshot(request.snapshot) if request.HasField("snapshot") else None
        if isinstance(entries, CorruptFrames) or isinstance(snapshot, CorruptFrames):
            return _corrupt(request.shard)
        replica = self.replica(ShardNumber(request.shard))
        keep = (request.keep_index, request.keep_chain) if snapshot is None else None
        group = decode_group(request.group)
        return _reply(replica.install(Epoch(request.epoch), group, keep, snapshot, entries))

    async def _append(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        request = AppendRequest.FromString(payload)
        if request.target_node != self._this:
            return _other_node()
        replica = self.replica(ShardNumber(request.shard))
        epoch = Epoch(request.epoch)
        if request.HasField("snapshot"):
            snapshot = decode_snapshot(request.snapshot)
            if isinstance(snapshot, CorruptFrames):
                return _corrupt(request.shard)
            return _reply(replica.compact(epoch, snapshot))
        entries = decode_batch(request.entries)
        if isinstance(entries, CorruptFrames):
            return _corrupt(request.shard)
        if entries and self.memory_bytes() > self._memory_bytes:
            return _reply(replica.answer(ReplicaStatus.FULL))
        chain = request.entries.previous_chain
        return _reply(replica.append(epoch, chain, entries, request.committed_index))

    async def _retire(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        request = RetireRequest.FromString(payload)
        if request.target_node != self._this:
            return _other_node()
        replica = self.replica(ShardNumber(request.shard))
        return _reply(replica.retire(Epoch(request.epoch)))


def _reply(answer: ReplicaAnswer) -> bytes:
    return encode_answer(answer).SerializeToString()


def _other_node() -> bytes:
    return ReplicaReply(status=ReplicaStatusMessage.REPLICA_OTHER_NODE).SerializeToString()


def _corrupt(shard: int) -> Refused:
    log.error("records_corrupt", shard=shard)
    return not_run(Reason.INVALID_REQUEST, "the records do not match their checksums")
