"""A node's clock on virtual time, with a seed, a skew and external pausing."""

import asyncio
import random


class VirtualClock:
    """Implements `foxwinch.clock.Clock` on the running loop's (virtual) time."""

    def __init__(self, seed: int, wall_offset_seconds: float = 0.0) -> None:
        """Draw random values from `seed`; `wall_offset_seconds` skews only the wall clock."""
        self.wall_offset_seconds = wall_offset_seconds
        self._random = random.Random(seed)
        self._running = asyncio.Event()
        self._running.set()

    def pause(self) -> None:
        """Pause the node: pending sleeps do not end before `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Resume the node: sleeps whose time has passed end immediately, as after SIGCONT."""
        self._running.set()

    def monotonic(self) -> float:
        """Return the time of the running event loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since an arbitrary point in time, with the node's skew."""
        return self.monotonic() + self.wall_offset_seconds

    def identifier(self) -> str:
        """Return a new identifier of 32 hexadecimal digits."""
        return f"{self._random.getrandbits(128):032x}"

    def uniform(self) -> float:
        """Return a random number from 0 up to 1."""
        return self._random.random()

    async def sleep(self, seconds: float) -> None:
        """Sleep for `seconds`, and while the node is paused."""
        await asyncio.sleep(seconds)
        await self._running.wait()
