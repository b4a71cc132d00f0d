"""The system's clock and randomness."""

import random
import time
import uuid


class SystemClock:
    """Real time and randomness; see `foxwinch.node.interfaces.Clock`."""

    def monotonic(self) -> float:
        """Seconds on a clock that never goes back."""
        return time.monotonic()

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        return time.time()

    def identifier(self) -> str:
        """Return a new unique identifier of 32 hexadecimal digits."""
        return uuid.uuid4().hex

    def uniform(self) -> float:
        """Return a random number from 0 up to 1."""
        return random.random()
