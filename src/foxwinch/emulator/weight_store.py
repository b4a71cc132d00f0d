"""The rate-limited weight store that all modelled engines share."""


class WeightStore:
    """Serves reads one after another, in order of arrival, at a bounded rate."""

    def __init__(self, bytes_per_second: float) -> None:
        """Start idle."""
        self._bytes_per_second = bytes_per_second
        self._free_at_seconds = 0.0

    def read(self, size_bytes: float, now: float) -> float:
        """Return the time in seconds when a read of `size_bytes` requested at `now` completes."""
        start = max(now, self._free_at_seconds)
        self._free_at_seconds = start + size_bytes / self._bytes_per_second
        return self._free_at_seconds
