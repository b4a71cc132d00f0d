"""Which nodes of a zone read the head of the configuration from the table."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from foxwinch.identifiers import NodeId, ZoneName

POLLERS_PER_ZONE = 2
"""Two, so that one may pause or die without the zone losing sight of the table."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live node of a zone."""

    node: NodeId
    zone: ZoneName


def is_poller(this: Candidate, candidates: Iterable[Candidate]) -> bool:
    """Tell whether `this` is among the pollers of its zone, by rendezvous hashing.

    Nodes may disagree for a moment about who is alive: then a few more or fewer of them poll.
    """
    ahead = 0
    weight = _weight(this)
    for candidate in candidates:
        if candidate.zone == this.zone and candidate.node != this.node:
            ahead += _weight(candidate) > weight
    return ahead < POLLERS_PER_ZONE


def _weight(candidate: Candidate) -> tuple[int, str]:
    digest = xxhash.xxh3_64_intdigest(f"configuration\0{candidate.zone}\0{candidate.node}".encode())
    return digest, candidate.node
