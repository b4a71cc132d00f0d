"""Placement of programs on shards and of shards on nodes by rendezvous hashing.

Every node scores every shard; the highest score owns it. A member that comes or goes moves only
the shards that it owns, about one share of the whole.
"""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import NodeId, ProgramId, ShardNumber, ZoneName

SHARDS_PER_REGION = 64
"""Five shards a node with twelve nodes: loads differ little, and gossip of all of them is small."""
REPLICAS_PER_SHARD = 3
"""Owner included: one zone may fail while a majority goes on."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live node that may own or replicate."""

    node: NodeId
    zone: ZoneName


def shard_of(program_id: ProgramId, shards: int = SHARDS_PER_REGION) -> ShardNumber:
    """Return the shard of a program, from 0 to `shards` less one; a child's is its root's."""
    return ShardNumber(xxhash.xxh3_64_intdigest(root_of(program_id).encode()) % shards)


def ranked(resource: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates by falling score for a resource; the order of the input is moot."""
    return sorted(candidates, key=lambda c: (_score(resource, c.node), c.node), reverse=True)


def insert_ranked(resource: str, order: list[NodeId], node: NodeId) -> None:
    """Insert a node into nodes in the order of `ranked`, at a few scores in place of all."""
    own = (_score(resource, node), node)
    place = bisect_left(order, True, key=lambda held: (_score(resource, held), held) < own)
    order.insert(place, node)


def replica_group(
    resource: str,
    owner: Candidate,
    candidates: Sequence[Candidate],
    size: int = REPLICAS_PER_SHARD,
) -> tuple[Candidate, ...]:
    """Return the owner and up to `size` less one nodes of further zones, all zones distinct."""
    group = [owner]
    zones = {owner.zone}
    for candidate in ranked(resource, candidates):
        if len(group) == size:
            break
        if candidate.zone not in zones:
            group.append(candidate)
            zones.add(candidate.zone)
    return tuple(group)


def register_group(
    resource: str,
    holder: Candidate,
    candidates: Sequence[Candidate],
    size: int = REPLICAS_PER_SHARD,
) -> tuple[Candidate, ...]:
    """Return a group in distinct zones as far as they reach, filled up from the same zones."""
    group = list(replica_group(resource, holder, candidates, size))
    members = {candidate.node for candidate in group}
    for candidate in ranked(resource, candidates):
        if len(group) == size:
            break
        if candidate.node not in members:
            group.append(candidate)
            members.add(candidate.node)
    return tuple(group)


def _score(resource: str, node: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"{resource}\n{node}".encode())
