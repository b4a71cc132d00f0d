"""A clock on the virtual time of the running loop, for tests in which chance always strikes."""

import asyncio
import itertools

IDENTIFIERS = itertools.count()


class VirtualClock:
    """The running loop's virtual time; chance always strikes."""

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
