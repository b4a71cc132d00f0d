"""Demand of tenants and classes at one node, and the digest in which it is told to the others.

Demand is offered load as a fraction of the limit: 1 means that this node alone is offered the whole
limit. Refused requests count, so that a share grows where it is too small.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash
from google.protobuf.message import DecodeError

from foxwinch._generated.limits_pb2 import UsageDigestMessage

DIGEST_ENTRIES = 64
"""The keys with the highest demand are told: 5 bytes each, so that a digest has 330 bytes."""
MAX_DEMAND = 1.0
"""More than the whole limit cannot be given, so more is not asked for."""
DEMAND_MINIMUM = 2.0**-12
STEPS_PER_DOUBLING = 8
"""Resolution of a told demand: 9%."""
ROUNDING = 1.0 + 1e-9
"""A demand that is exactly on a step stays on it."""
AVERAGE_SECONDS = 3.0
"""Time constant of the average: shorter than the burst, longer than a turn of a program."""


def key_hash(key: str) -> int:
    """Return the 32-bit name of a key in digests; two keys that collide share their demand."""
    return xxhash.xxh32_intdigest(key.encode())


def quantize(demand: float) -> int:
    """Return the step of a demand, from 1 to 97; 0 stands for none."""
    if demand < DEMAND_MINIMUM:
        return 0
    bounded = min(demand, MAX_DEMAND)
    return 1 + math.floor(STEPS_PER_DOUBLING * math.log2(bounded / DEMAND_MINIMUM))


def demand_of_step(step: int) -> float:
    """Return the demand that a step stands for."""
    if step <= 0:
        return 0.0
    return min(MAX_DEMAND, DEMAND_MINIMUM * math.exp2((step - 1) / STEPS_PER_DOUBLING))


@dataclass(frozen=True, slots=True)
class UsageDigest:
    """Demand by hashed key, as told to the other nodes."""

    demand: Mapping[int, float] = field(default_factory=dict)


class DemandMeter:
    """Averages the demand of each key over time."""

    def __init__(self, now: float) -> None:
        """Start without demand."""
        self._pending: dict[str, float] = {}
        self._average: dict[str, float] = {}
        self._at = now

    def add(self, key: str, seconds_of_limit: float) -> None:
        """Count offered work, as the time that it takes at the whole limit."""
        self._pending[key] = self._pending.get(key, 0.0) + seconds_of_limit

    def advance(self, now: float) -> None:
        """Bring the averages to `now`."""
        elapsed = now - self._at
        if elapsed <= 0:
            return
        keep = math.exp(-elapsed / AVERAGE_SECONDS)
        averages: dict[str, float] = {}
        for key in self._average.keys() | self._pending.keys():
            rate = self._pending.get(key, 0.0) / elapsed
            average = keep * self._average.get(key, 0.0) + (1.0 - keep) * rate
            if average >= DEMAND_MINIMUM:
                averages[key] = average
        self._average, self._pending, self._at = averages, {}, now

    def digest(self) -> UsageDigest:
        """Return the highest demands in the steps in which they are told."""
        ranked = sorted(self._average.items(), key=lambda item: (-item[1], item[0]))
        told = {key_hash(key): quantize(demand) for key, demand in ranked[:DIGEST_ENTRIES]}
        return UsageDigest({name: demand_of_step(step) for name, step in told.items() if step})


def encode(digest: UsageDigest) -> bytes:
    """Serialize a digest whose demands are on the scale of the steps."""
    keys = sorted(digest.demand)
    steps = bytes(quantize(digest.demand[key] * ROUNDING) for key in keys)
    return UsageDigestMessage(keys=keys, steps=steps).SerializeToString()


def decode(payload: bytes) -> UsageDigest | None:
    """Read a digest; None when it cannot be read."""
    try:
        message = UsageDigestMessage.FromString(payload)
    except DecodeError:
        return None
    pairs = zip(message.keys, message.steps, strict=False)
    return UsageDigest({key: demand_of_step(step) for key, step in pairs})
