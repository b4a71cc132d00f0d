"""Asks another node to serve a shard: for a handover, or because the shard's row names it."""

from foxwinch._generated.replication_pb2 import HandoverReply, HandoverRequest
from foxwinch.core.journal.configuration import Configuration, GroupMember
from foxwinch.identifiers import ShardNumber
from foxwinch.node.replication_codec import (
    decode_configuration,
    encode_configuration,
    peer_address,
)
from foxwinch.outcomes import Refused
from foxwinch.peer.ports import PeerPort

HANDOVER = "shard.handover"
HANDOVER_ANSWER_SECONDS = 6.0


async def ask_to_serve(
    peers: PeerPort | None,
    member: GroupMember,
    shard: ShardNumber,
    configuration: Configuration,
) -> Configuration | None:
    """Ask a node to take a shard over; returns what it serves under, None when it does not.

    `configuration` is the one that the node is to replace, or the one that names it as the owner.
    """
    if peers is None:
        return None
    request = HandoverRequest(
        target_node=member.node, shard=shard, configuration=encode_configuration(configuration)
    )
    payload = await peers.call(
        peer_address(member), HANDOVER, request.SerializeToString(), HANDOVER_ANSWER_SECONDS
    )
    if isinstance(payload, Refused):
        return None
    reply = HandoverReply.FromString(payload)
    return decode_configuration(reply.configuration) if reply.serving else None
