"""Conversion between the types of ownership and journal and their protobuf messages."""

from collections.abc import Iterable, Sequence

from foxwinch._generated.replication_pb2 import CommitPlace as CommitPlaceMessage
from foxwinch._generated.replication_pb2 import (
    JournalBatch,
    ReplicaGroup,
    ReplicaMember,
    ReplicaReply,
    ShardConfiguration,
    ShardRow,
    ShardSnapshot,
)
from foxwinch._generated.replication_pb2 import ReplicaStatus as ReplicaStatusMessage
from foxwinch.core.journal.configuration import (
    CommitPlace,
    Configuration,
    Group,
    GroupMember,
    ShardRecord,
)
from foxwinch.core.journal.framing import (
    CorruptFrames,
    Entry,
    decode_frames,
    encode_frames,
    snapshot_checksum,
)
from foxwinch.core.journal.log import Snapshot
from foxwinch.core.journal.replica import ReplicaAnswer, ReplicaStatus
from foxwinch.core.shard.placement import Candidate
from foxwinch.identifiers import Epoch, NodeId, ZoneName
from foxwinch.node.interfaces import Member, MembershipView, MemberState
from foxwinch.peer.ports import PeerAddress


def member_message(member: Member) -> ReplicaMember:
    """Return a member as recorded in a replica group."""
    return ReplicaMember(
        node=member.node,
        host=member.address.host,
        port=member.address.port,
        zone=member.zone,
    )


def address_of(member: ReplicaMember) -> PeerAddress:
    """Return where a recorded member listens."""
    return PeerAddress(member.host, member.port)


def group_nodes(group: ReplicaGroup) -> tuple[NodeId, ...]:
    """Return the nodes of a group in its order."""
    return tuple(NodeId(member.node) for member in group.members)


def live_members(membership: MembershipView) -> list[Member]:
    """Return the members of this node's region that may own or replicate."""
    region = membership.this_member().region
    return [
        member
        for member in membership.members()
        if member.region == region and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    ]


def candidates_of(members: Iterable[Member]) -> list[Candidate]:
    """Return members as candidates of placement."""
    return [Candidate(member.node, member.zone) for member in members]


def group_message(members: Sequence[Member], chosen: Iterable[Candidate]) -> ReplicaGroup:
    """Return the chosen candidates as a recorded group."""
    known = {member.node: member for member in members}
    return ReplicaGroup(members=[member_message(known[candidate.node]) for candidate in chosen])


# --- core types ------------------------------------------------------------------------------


def core_member(member: Member) -> GroupMember:
    """Return a member as the journal's cores record it."""
    return GroupMember(member.node, member.zone, member.address.host, member.address.port)


def core_group(members: Sequence[Member], chosen: Iterable[Candidate]) -> Group:
    """Return the chosen candidates as a group."""
    known = {member.node: member for member in members}
    return tuple(core_member(known[candidate.node]) for candidate in chosen)


def peer_address(member: GroupMember) -> PeerAddress:
    """Return where a group's member listens."""
    return PeerAddress(member.host, member.port)


def encode_member(member: GroupMember) -> ReplicaMember:
    """Return a group's member as a message."""
    return ReplicaMember(node=member.node, host=member.host, port=member.port, zone=member.zone)


def decode_member(message: ReplicaMember) -> GroupMember:
    """Return a message as a group's member."""
    return GroupMember(NodeId(message.node), ZoneName(message.zone), message.host, message.port)


def encode_group(group: Group) -> ReplicaGroup:
    """Return a group as a message."""
    return ReplicaGroup(members=[encode_member(member) for member in group])


def decode_group(message: ReplicaGroup) -> Group:
    """Return a message as a group."""
    return tuple(decode_member(member) for member in message.members)


def encode_configuration(configuration: Configuration) -> ShardConfiguration:
    """Return a configuration as a message."""
    return ShardConfiguration(
        epoch=configuration.epoch,
        owner=encode_member(configuration.owner),
        group=encode_group(configuration.group),
        place=CommitPlaceMessage.ValueType(configuration.place),
    )


def decode_configuration(message: ShardConfiguration) -> Configuration:
    """Return a message as a configuration."""
    return Configuration(
        epoch=Epoch(message.epoch),
        owner=decode_member(message.owner),
        group=decode_group(message.group),
        place=CommitPlace(message.place),
    )


def encode_record(record: ShardRecord) -> bytes:
    """Return a shard's record as the bytes of its row."""
    row = ShardRow(
        configurations=[encode_configuration(c) for c in record.configurations],
        claim=record.claim,
        stored_index=record.stored_index,
        stored_chain=record.stored_chain,
        snapshot_index=record.snapshot_index,
        snapshot_chain=record.snapshot_chain,
        snapshot_keys=record.snapshot_keys,
    )
    return row.SerializeToString(deterministic=True)


def decode_record(value: bytes) -> ShardRecord:
    """Return the bytes of a row as a shard's record."""
    row = ShardRow.FromString(value)
    return ShardRecord(
        configurations=tuple(decode_configuration(c) for c in row.configurations),
        claim=row.claim,
        stored_index=row.stored_index,
        stored_chain=row.stored_chain,
        snapshot_index=row.snapshot_index,
        snapshot_chain=row.snapshot_chain,
        snapshot_keys=tuple(row.snapshot_keys),
    )


def encode_batch(entries: Sequence[Entry], previous_chain: int) -> JournalBatch:
    """Return entries that follow on `previous_chain` as a message."""
    first = entries[0].index if entries else 0
    return JournalBatch(
        first_index=first, previous_chain=previous_chain, frames=encode_frames(entries)
    )


def decode_batch(message: JournalBatch) -> tuple[Entry, ...] | CorruptFrames:
    """Return a message as checked entries."""
    return decode_frames(message.frames, message.first_index, message.previous_chain)


def encode_snapshot(snapshot: Snapshot) -> ShardSnapshot:
    """Return a snapshot as a message with its checksum."""
    return ShardSnapshot(
        index=snapshot.index,
        chain=snapshot.chain,
        records=snapshot.records,
        checksum=snapshot_checksum(snapshot.index, snapshot.chain, snapshot.records),
    )


def decode_snapshot(message: ShardSnapshot) -> Snapshot | CorruptFrames:
    """Return a message as a checked snapshot."""
    records = tuple(message.records)
    if snapshot_checksum(message.index, message.chain, records) != message.checksum:
        return CorruptFrames(message.index, "checksum of the snapshot differs")
    return Snapshot(message.index, message.chain, records)


def encode_answer(answer: ReplicaAnswer) -> ReplicaReply:
    """Return a replica's answer as a message."""
    return ReplicaReply(
        status=ReplicaStatusMessage.ValueType(answer.status),
        promised=answer.promised,
        accepted=answer.accepted,
        first_index=answer.first_index,
        last_index=answer.last_index,
        last_chain=answer.last_chain,
    )


def decode_answer(message: ReplicaReply) -> ReplicaAnswer:
    """Return a message as a replica's answer."""
    return ReplicaAnswer(
        status=ReplicaStatus(message.status),
        promised=Epoch(message.promised),
        accepted=Epoch(message.accepted),
        first_index=message.first_index,
        last_index=message.last_index,
        last_chain=message.last_chain,
    )
