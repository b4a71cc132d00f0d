"""Which worker every node prefers for a program, without a word between them.

The turns of a program come to several nodes, and a node that restarts remembers none of them. By
rendezvous hashing all nodes name the same worker for a program, where the cache of its history then
mostly lies; when workers come and go, only the programs of those move.
"""

import math

import xxhash

from foxwinch.core.routing.directory import Worker

OWN_ZONE_WEIGHT = 8.0
"""How much likelier a worker of the own zone is preferred. Most turns of a program come to one
zone, and a prompt of 20 to 100 kB that stays there costs no bytes between zones."""
DIGEST_BITS = 64
FRACTION_BITS = 52
"""Of a digest that a float holds exactly, with a half beside."""


def preferred_worker(program: str, zone: str, workers: list[Worker]) -> Worker:
    """Return the worker that the nodes of `zone` prefer for a program; `workers` is not empty."""
    return max(workers, key=lambda worker: _score(program, zone, worker))


def _score(program: str, zone: str, worker: Worker) -> float:
    weight = OWN_ZONE_WEIGHT if worker.zone == zone else 1.0
    return -weight / math.log(_fraction(f"{program}\0{worker.worker_id}"))


def _fraction(key: str) -> float:
    """Return a number above 0 and below 1 that depends on `key` alone."""
    digest = xxhash.xxh3_64_intdigest(key.encode()) >> (DIGEST_BITS - FRACTION_BITS)
    return (digest + 0.5) / (1 << FRACTION_BITS)
