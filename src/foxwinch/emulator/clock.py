"""A node's clock on virtual time: seeded, skewed and frozen from outside."""

import asyncio
import random


class VirtualClock:
    """Implements `foxwinch.clock.Clock` on the running loop's (virtual) time."""

    def __init__(self, seed: int, wall_offset_seconds: float = 0.0) -> None:
        """Draw from `seed`; `wall_offset_seconds` skews only the wall clock."""
        self.wall_offset_seconds = wall_offset_seconds
        self._random = random.Random(seed)
        self._running = asyncio.Event()
        self._running.set()

    def pause(self) -> None:
        """Freeze the node: whoever sleeps goes on sleeping."""
        self._running.clear()

    def resume(self) -> None:
        """Wake the node: sleeps whose time has passed end at once, as after SIGCONT."""
        self._running.set()

    def monotonic(self) -> float:
        """Seconds of the running event loop."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Seconds since an arbitrary moment, with the node's skew."""
        return self.monotonic() + self.wall_offset_seconds

    def identifier(self) -> str:
        """Return a new identifier of 32 hexadecimal digits."""
        return f"{self._random.getrandbits(128):032x}"

    def uniform(self) -> float:
        """Return a random number from 0 up to 1."""
        return self._random.random()

    async def sleep(self, seconds: float) -> None:
        """Wait, and as long as the node is frozen."""
        await asyncio.sleep(seconds)
        await self._running.wait()
