"""Time and randomness: what services are given, and the system's own."""

import asyncio
import random
import time
import uuid
from typing import Protocol


class Clock(Protocol):
    """Time and randomness, given from outside so that tests decide both."""

    def monotonic(self) -> float:
        """Seconds on a clock that never goes back."""
        ...

    def wall(self) -> float:
        """Seconds since the Unix epoch; may jump; never used for safety."""
        ...

    def identifier(self) -> str:
        """Return a new unique identifier."""
        ...

    def uniform(self) -> float:
        """Return a random number from 0 up to 1, for jitter and choices."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait; services wait only through this, so that tests can freeze a node."""
        ...


class SystemClock:
    """Real time and randomness; see `Clock`."""

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
