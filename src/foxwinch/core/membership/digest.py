"""What a node holds, as one hash a bucket: two nodes compare it and send only what differs."""

import xxhash


class DigestIndex:
    """Keeps the exclusive-or of the hashes of a bucket's items up to date."""

    def __init__(self, bucket_count: int) -> None:
        """Start empty."""
        self.buckets = [0] * bucket_count
        self._keys: list[dict[str, int]] = [{} for _ in range(bucket_count)]

    def put(self, key: str, field: bytes) -> None:
        """Hold `field` under `key`, in place of what was there."""
        bucket = self._bucket(key)
        new = xxhash.xxh32_intdigest(field)
        self.buckets[bucket] ^= self._keys[bucket].get(key, 0) ^ new
        self._keys[bucket][key] = new

    def remove(self, key: str) -> None:
        """Hold nothing under `key`."""
        bucket = self._bucket(key)
        self.buckets[bucket] ^= self._keys[bucket].pop(key, 0)

    def differing(self, other: list[int]) -> list[int]:
        """Return the buckets in which the other node holds something else."""
        return [index for index, mine in enumerate(self.buckets) if mine != other[index]]

    def keys(self, bucket: int) -> list[str]:
        """Return the keys of one bucket."""
        return list(self._keys[bucket])

    def _bucket(self, key: str) -> int:
        return xxhash.xxh32_intdigest(key.encode()) % len(self.buckets)
