"""Which partition of a table holds a record: by the hash of its key, so that load spreads."""

import xxhash

PARTITIONS = 256
"""A partition takes some 200 writes a second one after another; with so many of them a store's
whole rate spreads thinly, and the loss of a share of partitions stops only that share of keys."""


def partition_of(key: str) -> str:
    """Return the partition of a record's key."""
    return partition_name(xxhash.xxh32_intdigest(key.encode()) % PARTITIONS)


def partition_name(number: int) -> str:
    """Return the name of a partition by its number."""
    return f"{number:02x}"
