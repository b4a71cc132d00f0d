"""Asks the store for nothing once a call was refused, to tell a part that is down from the whole.

Watches hear nothing for seconds while nothing changes, and the calls of turns may all go to a part
of the store that is down. So only a call of its own tells in time whether the store answers.
"""

from foxwinch.clock import Clock
from foxwinch.records.ports import RowKey
from foxwinch.records.store_state import ObservedStore

PROBE_SECONDS = 0.4
"""Between probes, and until one is given up: two fit into the time after which a node counts as
cut off."""
MAX_PROBES = 2
"""After them the retries of the watches find out when the store is back."""
NO_KEY = "~"
NO_KEY_END = "~\x01"


class StoreProbe:
    """Probes the partition without a name of one table, in which the watched rows lie."""

    def __init__(self, store: ObservedStore, clock: Clock, table: str) -> None:
        """Probe `table`; the answers are noted by `store` itself."""
        self._store = store
        self._clock = clock
        self._row = RowKey(table, "", NO_KEY)

    async def run(self) -> None:
        """Probe whenever the store is lost, for ever."""
        while True:
            await self._store.wait_until_lost()
            for _ in range(MAX_PROBES):
                await self._clock.sleep(PROBE_SECONDS * (0.5 + 0.5 * self._clock.uniform()))
                if not self._store.lost_seconds():
                    break
                await self._store.read(self._row, NO_KEY_END, PROBE_SECONDS)
            while self._store.lost_seconds():
                await self._clock.sleep(PROBE_SECONDS)
