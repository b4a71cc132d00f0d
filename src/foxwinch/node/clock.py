"""The system's clock and randomness."""

import asyncio
import random
import time
import uuid


class SystemClock:
    """Real time and randomness; see `foxwinch.node.interfaces.Clock`."""

    def monotonic(self) -> float:
        """Seconds of the running event loop, which a test may run on virtual time."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        return time.time()

    def identifier(self) -> str:
        """Return a new unique identifier of 32 hexadecimal digits."""
        return uuid.uuid4().hex

    def uniform(self) -> float:
        """Return a random number from 0 up to 1."""
        return random.random()

    async def sleep(self, seconds: float) -> None:
        """Wait on the running event loop."""
        await asyncio.sleep(seconds)
