"""Sticky routing of programs to workers by rendezvous hashing.

The turns of a program arrive at several nodes, and a restarted node has no record of earlier turns.
Rendezvous hashing lets all nodes choose the same worker for a program without coordination, so that
worker usually has the program's history cached. When workers join or leave, only the programs
mapped to them move.
"""

import math

import xxhash

from foxwinch.core.routing.directory import Worker

OWN_ZONE_WEIGHT = 8.0
"""Rendezvous weight of a worker in the node's own zone; workers of other zones have weight 1. Most
turns of a program arrive in one zone, and keeping a prompt of 20 to 100 kB there avoids cross-zone
traffic."""
DIGEST_BITS = 64
FRACTION_BITS = 52
"""Digest bits that are used: a float holds them exactly, with a half added."""


def preferred_worker(program: str, zone: str, workers: list[Worker]) -> Worker:
    """Return the preferred worker of a program for nodes in `zone`; `workers` must not be empty."""
    return max(workers, key=lambda worker: _rendezvous_score(program, zone, worker))


def _rendezvous_score(program: str, zone: str, worker: Worker) -> float:
    weight = OWN_ZONE_WEIGHT if worker.zone == zone else 1.0
    return -weight / math.log(_unit_hash(f"{program}\0{worker.worker_id}"))


def _unit_hash(key: str) -> float:
    """Return a number between 0 and 1, both excluded, that depends on `key` alone."""
    digest = xxhash.xxh3_64_intdigest(key.encode()) >> (DIGEST_BITS - FRACTION_BITS)
    return (digest + 0.5) / (1 << FRACTION_BITS)
