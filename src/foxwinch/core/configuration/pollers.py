"""Selection of the nodes of a zone that poll the configuration head in the table."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from foxwinch.identifiers import NodeId, ZoneName

POLLERS_PER_ZONE = 2
"""Two, so that the zone still polls the table while one of them is paused or dead."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live node of a zone."""

    node: NodeId
    zone: ZoneName


def is_poller(this: Candidate, candidates: Iterable[Candidate]) -> bool:
    """Return whether rendezvous hashing selects `this` as a poller of its zone.

    Nodes may briefly disagree on which nodes are alive; a few more or fewer of them then poll.
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
