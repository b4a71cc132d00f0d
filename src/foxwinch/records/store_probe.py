"""Health probes of the store after a failed call, to distinguish a partial from a full outage.

A watch call may stay open for seconds without changes, and the calls of turns may all go to
partitions that are down. Only a separate call shows in time whether the store responds.
"""

from foxwinch.clock import Clock
from foxwinch.records.ports import RowKey
from foxwinch.records.store_state import ObservedStore

PROBE_INTERVAL_SECONDS = 0.4
"""Maximum interval between probes and timeout of a probe: two probes fit into the time after which
a node counts as isolated."""
MAX_PROBES = 2
"""Maximum number of probes; after them the retries of the watches detect when the store is back."""
ABSENT_KEY = "~"
ABSENT_KEY_END = "~\x01"


class StoreProbe:
    """Probes the unnamed partition of a table, which holds the watched rows."""

    def __init__(self, store: ObservedStore, clock: Clock, table: str) -> None:
        """Create a probe of `table`; `store` itself records the responses."""
        self._store = store
        self._clock = clock
        self._row = RowKey(table, "", ABSENT_KEY)

    async def run(self) -> None:
        """Probe the store whenever its last call failed; run until cancelled."""
        while True:
            await self._store.wait_until_unavailable()
            for _ in range(MAX_PROBES):
                await self._clock.sleep(
                    PROBE_INTERVAL_SECONDS * (0.5 + 0.5 * self._clock.uniform())
                )
                if not self._store.unavailable_seconds():
                    break
                await self._store.read(self._row, ABSENT_KEY_END, PROBE_INTERVAL_SECONDS)
            while self._store.unavailable_seconds():
                await self._clock.sleep(PROBE_INTERVAL_SECONDS)
