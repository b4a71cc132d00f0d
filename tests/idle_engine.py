"""Fake engine with no load that accepts every order, so that a coordinator can hold it."""

from foxwinch.backends.ports import CacheEventPage, Completed, LoadReport


class IdleEngine:
    """Base class of fake engines, whose subclasses implement `generate`."""

    models = ("rail-chat",)

    async def load(self, worker):
        return LoadReport(0, 0, 0, 1_000, self.models)

    async def cache_events(self, worker, after):
        return CacheEventPage((), after, gap=False)

    async def release(self, worker, program_id):
        return Completed()

    async def cancel(self, worker, call_id):
        return Completed()

    async def apply_order(self, worker, order):
        return Completed()
