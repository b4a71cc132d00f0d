"""A deterministic clock on the virtual time of the running event loop."""

import asyncio
import itertools

IDENTIFIERS = itertools.count()


class VirtualClock:
    """The virtual time of the running loop; `uniform` always returns 0, so every fault occurs."""

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return 0.0

    def identifier(self):
        return f"id-{next(IDENTIFIERS)}"

    def uniform(self):
        return 0.0

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)
