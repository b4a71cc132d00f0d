"""Demand of tenants and classes at one node, and the digest that publishes it to other nodes.

Demand is offered load as a fraction of the limit: 1 means that this node alone receives load equal
to the limit. Rejected requests count, so that a share that is too small grows.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash
from google.protobuf.message import DecodeError

from foxwinch._generated.limits_pb2 import UsageDigestMessage

MAX_DIGEST_ENTRIES = 64
"""Number of keys in a digest, those with the highest demand. Each takes 5 bytes, so a digest takes
330 bytes."""
MAX_DEMAND = 1.0
"""Demand is capped at the full limit, since a node cannot get more."""
MIN_DEMAND = 2.0**-12
STEPS_PER_DOUBLING = 8
"""Resolution of a published demand, here 9%."""
ROUNDING_FACTOR = 1.0 + 1e-9
"""Factor that keeps a demand that is exactly on a step from being rounded down."""
AVERAGING_SECONDS = 3.0
"""Time constant of the moving average: shorter than the burst, longer than a program's turn."""


def key_hash(key: str) -> int:
    """Return the 32-bit hash that names a key in digests; colliding keys share their demand."""
    return xxhash.xxh32_intdigest(key.encode())


def quantize(demand: float) -> int:
    """Return the quantization step of a demand, from 1 to 97, or 0 for no demand."""
    if demand < MIN_DEMAND:
        return 0
    bounded = min(demand, MAX_DEMAND)
    return 1 + math.floor(STEPS_PER_DOUBLING * math.log2(bounded / MIN_DEMAND))


def demand_of_step(step: int) -> float:
    """Return the demand that a quantization step represents."""
    if step <= 0:
        return 0.0
    return min(MAX_DEMAND, MIN_DEMAND * math.exp2((step - 1) / STEPS_PER_DOUBLING))


@dataclass(frozen=True, slots=True)
class UsageDigest:
    """Demand by hashed key, as published to the other nodes."""

    demand: Mapping[int, float] = field(default_factory=dict)


class DemandMeter:
    """Exponential moving average of the demand of each key."""

    def __init__(self, now: float) -> None:
        self._pending: dict[str, float] = {}
        self._average: dict[str, float] = {}
        self._advanced_at = now

    def add(self, key: str, seconds_of_limit: float) -> None:
        """Add offered load, expressed as the seconds that it takes at the full limit."""
        self._pending[key] = self._pending.get(key, 0.0) + seconds_of_limit

    def advance(self, now: float) -> None:
        """Update the averages to `now`."""
        elapsed = now - self._advanced_at
        if elapsed <= 0:
            return
        keep = math.exp(-elapsed / AVERAGING_SECONDS)
        averages: dict[str, float] = {}
        for key in self._average.keys() | self._pending.keys():
            rate = self._pending.get(key, 0.0) / elapsed
            average = keep * self._average.get(key, 0.0) + (1.0 - keep) * rate
            if average >= MIN_DEMAND:
                averages[key] = average
        self._average, self._pending, self._advanced_at = averages, {}, now

    def digest(self) -> UsageDigest:
        """Return the highest demands, quantized."""
        ranked = sorted(self._average.items(), key=lambda item: (-item[1], item[0]))
        quantized = {key_hash(key): quantize(demand) for key, demand in ranked[:MAX_DIGEST_ENTRIES]}
        return UsageDigest({name: demand_of_step(step) for name, step in quantized.items() if step})


def encode(digest: UsageDigest) -> bytes:
    """Serialize a digest of quantized demands."""
    keys = sorted(digest.demand)
    steps = bytes(quantize(digest.demand[key] * ROUNDING_FACTOR) for key in keys)
    return UsageDigestMessage(keys=keys, steps=steps).SerializeToString()


def decode(payload: bytes) -> UsageDigest | None:
    """Decode a digest; return None if it is malformed."""
    try:
        message = UsageDigestMessage.FromString(payload)
    except DecodeError:
        return None
    pairs = zip(message.keys, message.steps, strict=False)
    return UsageDigest({key: demand_of_step(step) for key, step in pairs})
