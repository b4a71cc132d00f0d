"""The rate-limited weight store, shared by all modelled engines: one load after another."""


class WeightStore:
    """Serves weights at a bounded rate, first come first served."""

    def __init__(self, bytes_per_second: float) -> None:
        """Start idle."""
        self._bytes_per_second = bytes_per_second
        self._free_at_seconds = 0.0

    def read(self, size_bytes: float, now: float) -> float:
        """Return when a read of `size_bytes` asked for at `now` is done."""
        start = max(now, self._free_at_seconds)
        self._free_at_seconds = start + size_bytes / self._bytes_per_second
        return self._free_at_seconds
