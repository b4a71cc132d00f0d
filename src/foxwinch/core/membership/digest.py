"""Anti-entropy digest: one hash per bucket, so that two nodes exchange only differing buckets."""

import xxhash


class DigestIndex:
    """Maintains the XOR of the item hashes of each bucket incrementally."""

    def __init__(self, bucket_count: int) -> None:
        self.buckets = [0] * bucket_count
        self._keys: list[dict[str, int]] = [{} for _ in range(bucket_count)]

    def put(self, key: str, field: bytes) -> None:
        """Set the item under `key` to `field`."""
        bucket = self._bucket(key)
        new = xxhash.xxh32_intdigest(field)
        self.buckets[bucket] ^= self._keys[bucket].get(key, 0) ^ new
        self._keys[bucket][key] = new

    def remove(self, key: str) -> None:
        """Remove the item under `key`, if any."""
        bucket = self._bucket(key)
        self.buckets[bucket] ^= self._keys[bucket].pop(key, 0)

    def differing_buckets(self, other: list[int]) -> list[int]:
        """Return the indices of the buckets whose hashes differ from `other`."""
        return [index for index, bucket in enumerate(self.buckets) if bucket != other[index]]

    def keys(self, bucket: int) -> list[str]:
        """Return the keys in one bucket."""
        return list(self._keys[bucket])

    def _bucket(self, key: str) -> int:
        return xxhash.xxh32_intdigest(key.encode()) % len(self.buckets)
