"""Replicas of shards kept by this node, served to their owners over the peer port."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Gauge

from foxwinch._generated.replication_pb2 import (
    AppendRequest,
    InstallRequest,
    ReadRequest,
    ReplicaReply,
    RequestPart,
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
APPENDS_BETWEEN_SUMS = 16
"""With requests of at most 512 KiB the bound is overrun by 8 MiB at most."""
PART = "journal.part"
PART_BYTES = 512 * 1024
"""Longest request or piece of an answer sent as one frame; larger ones would hold up others."""


@dataclass(frozen=True, slots=True)
class Transfer:
    """Parts of one large request that have arrived."""

    name: str
    pieces: list[bytes]

    def fits(self, part: RequestPart) -> bool:
        """Tell whether a part is the next one of this transfer."""
        return part.transfer == self.name and part.number == len(self.pieces)


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
        self._summed_bytes = 0
        self._appends_until_sum = 0
        self._replicas: dict[ShardNumber, ShardReplica] = {}
        self.part_bytes = PART_BYTES
        self._transfers: dict[ShardNumber, Transfer] = {}
        gauge = Gauge(
            "foxwinch_replica_memory_bytes", "Memory of the journal replicas", registry=registry
        )
        gauge.set_function(self.memory_bytes)
        if peers is not None:
            peers.handle(SEAL, self._seal)
            peers.handle_stream(READ, self._read)
            peers.handle(INSTALL, self._install)
            peers.handle(APPEND, self._append)
            peers.handle(RETIRE, self._retire)
            peers.handle(PART, self._part)

    async def start(self) -> None:
        """Nothing runs in the background."""

    async def stop(self) -> None:
        """Nothing runs in the background."""

    def replica(self, shard: ShardNumber) -> ShardReplica:
        """Return the replica of a shard, a new one when there is none."""
        return self._replicas.setdefault(shard, ShardReplica())

    def held_logs(self) -> int:
        """Return how many shards have a log here."""
        return sum(1 for replica in self._replicas.values() if replica.accepted)

    def memory_bytes(self) -> int:
        """Return the memory of all replicas."""
        return sum(replica.log.size_bytes() for replica in self._replicas.values())

    def _is_full(self) -> bool:
        """Tell whether the memory is used up; summed anew only every so many appends."""
        if self._appends_until_sum <= 0:
            self._appends_until_sum = APPENDS_BETWEEN_SUMS
            self._summed_bytes = self.memory_bytes()
        self._appends_until_sum -= 1
        return self._summed_bytes > self._memory_bytes

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

    async def _read(
        self, context: PeerContext, payload: bytes
    ) -> AsyncGenerator[bytes | Refused, None]:
        request = ReadRequest.FromString(payload)
        if request.target_node != self._this:
            yield _other_node()
            return
        replica = self.replica(ShardNumber(request.shard))
        if replica.promised != request.epoch:
            yield _reply(replica.answer(ReplicaStatus.FENCED))
            return
        message = encode_answer(replica.answer(ReplicaStatus.ACCEPTED))
        snapshot = replica.log.snapshot
        message.snapshot.CopyFrom(encode_snapshot(snapshot))
        message.entries.CopyFrom(encode_batch(replica.log.after(snapshot.index), snapshot.chain))
        data = message.SerializeToString()
        for start in range(0, len(data), self.part_bytes):
            yield data[start : start + self.part_bytes]

    async def _part(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        """Gather the parts of a large request; one transfer of a shard at a time."""
        request = RequestPart.FromString(payload)
        if request.target_node != self._this:
            return _other_node()
        shard = ShardNumber(request.shard)
        if request.number == 0:
            self._transfers[shard] = Transfer(request.transfer, [])
        transfer = self._transfers.get(shard)
        if transfer is None or not transfer.fits(request):
            return not_run(Reason.INVALID_REQUEST, "parts arrived out of order", 0.1)
        transfer.pieces.append(request.data)
        if len(transfer.pieces) < request.count:
            return _reply(self.replica(shard).answer(ReplicaStatus.ACCEPTED))
        del self._transfers[shard]
        handler = self._install if request.method == INSTALL else self._append
        return await handler(context, b"".join(transfer.pieces))

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
        if self._is_full():
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
