"""Interface to time and randomness, and its implementation by the system."""

import asyncio
import random
import time
import uuid
from typing import Protocol


class Clock(Protocol):
    """Source of time and randomness, injected so that tests control both."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never goes backwards."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch; may jump, so correctness must not depend on it."""
        ...

    def identifier(self) -> str:
        """Return a new unique identifier."""
        ...

    def uniform(self) -> float:
        """Return a random number in [0, 1), for jitter and random choices."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait; services use only this method to wait, so that tests can pause a node."""
        ...


class SystemClock:
    """System time and randomness; implements `Clock`."""

    def monotonic(self) -> float:
        """Return the time of the running event loop, which is virtual in some tests."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def identifier(self) -> str:
        """Return a new unique identifier of 32 hexadecimal digits."""
        return uuid.uuid4().hex

    def uniform(self) -> float:
        """Return a random number in [0, 1)."""
        return random.random()

    async def sleep(self, seconds: float) -> None:
        """Wait on the running event loop."""
        await asyncio.sleep(seconds)
