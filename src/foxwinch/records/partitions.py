"""Hash partitioning of records by key, which spreads the load over the partitions of a table."""

import xxhash

PARTITIONS = 256
"""Number of partitions. A partition serializes its writes at about 200 per second, so many
partitions are needed to use the store's full write rate. Losing some of them affects only that
share of the keys."""


def partition_of(key: str) -> str:
    """Return the name of the partition for a record key."""
    return partition_name(xxhash.xxh32_intdigest(key.encode()) % PARTITIONS)


def partition_name(number: int) -> str:
    """Return the name of a partition, given its number."""
    return f"{number:02x}"
