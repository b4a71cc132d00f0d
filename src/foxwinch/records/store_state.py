"""Clock and availability of the shared store, observed on every call.

The store's clock is known within bounds: the timestamp of a response was taken between the sending
of the call and the receipt of the response. Old samples are dropped because clocks drift.
"""

import asyncio
from dataclasses import dataclass
from typing import TypeVar

from foxwinch.clock import Clock
from foxwinch.outcomes import Refused
from foxwinch.records.ports import (
    Conflict,
    HistoryLost,
    RecordStore,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    Written,
)

Outcome = TypeVar("Outcome", bound=Written | Conflict | RowsRead | Refused)
WINDOW_SECONDS = 60.0
"""Length of a sampling window; samples are kept for one to two windows."""
DEGRADED_SECONDS = 1.0
"""Time for which the store counts as degraded after a failed call."""


@dataclass(slots=True)
class _Bounds:
    """Bounds of the store's clock offset from the node's clock, in seconds."""

    lowest: float = float("-inf")
    highest: float = float("inf")

    def narrow(self, lowest: float, highest: float) -> None:
        """Narrow the bounds by a sample."""
        self.lowest = max(self.lowest, lowest)
        self.highest = min(self.highest, highest)


class StoreClock:
    """Bounds of the store's monotonic clock."""

    def __init__(self) -> None:
        """Start without samples."""
        self._current = _Bounds()
        self._previous = _Bounds()
        self._window_started_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether there is a sample."""
        return max(self._current.lowest, self._previous.lowest) > float("-inf")

    def observe(self, store_ms: int, sent_at: float, received_at: float) -> None:
        """Add the timestamp of a response; the other times are on the node's monotonic clock."""
        if received_at - self._window_started_at > WINDOW_SECONDS:
            self._previous, self._current = self._current, _Bounds()
            self._window_started_at = received_at
        self._current.narrow(store_ms / 1e3 - received_at, store_ms / 1e3 - sent_at)

    def earliest_ms(self, now: float) -> int:
        """Return a time that the store's clock has certainly reached at `now`."""
        lowest = max(self._current.lowest, self._previous.lowest)
        return int(1e3 * (now + lowest))

    def earliest_reached_at(self, store_ms: int) -> float:
        """Return a time on the node's clock at which the store's has certainly not passed this."""
        return store_ms / 1e3 - min(self._current.highest, self._previous.highest)


class ObservedStore:
    """A store wrapper that tracks the store's clock and availability."""

    def __init__(self, store: RecordStore, clock: Clock) -> None:
        """Wrap `store`."""
        self._store = store
        self._clock = clock
        self.store_clock = StoreClock()
        self._last_failure_at = float("-inf")
        self._unavailable_since: float | None = None
        self._unavailable_event = asyncio.Event()

    async def wait_until_unavailable(self) -> None:
        """Wait until the most recent call has failed."""
        await self._unavailable_event.wait()

    def unavailable_seconds(self) -> float:
        """Return the time for which all calls have failed; 0 if the last one got a response."""
        return (
            0.0
            if self._unavailable_since is None
            else self._clock.monotonic() - self._unavailable_since
        )

    def is_degraded(self) -> bool:
        """Return whether a call failed within the last `DEGRADED_SECONDS`."""
        return self._clock.monotonic() - self._last_failure_at < DEGRADED_SECONDS

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """Apply a transaction."""
        sent_at = self._clock.monotonic()
        return self._observe(
            await self._store.transact(conditions, writes, timeout_seconds), sent_at
        )

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read rows of a partition."""
        sent_at = self._clock.monotonic()
        return self._observe(await self._store.read(first, end_key, timeout_seconds), sent_at)

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read all rows of a table."""
        sent_at = self._clock.monotonic()
        return self._observe(await self._store.read_table(table, timeout_seconds), sent_at)

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """Wait for changes of a table."""
        sent_at = self._clock.monotonic()
        outcome = await self._store.changes(table, after_version, wait_seconds)
        return outcome if isinstance(outcome, HistoryLost) else self._observe(outcome, sent_at)

    def _observe(self, outcome: Outcome, sent_at: float) -> Outcome:
        now = self._clock.monotonic()
        if isinstance(outcome, Refused):
            self._last_failure_at = now
            if self._unavailable_since is None:
                self._unavailable_since = now
                self._unavailable_event.set()
        else:
            self._unavailable_since = None
            self._unavailable_event.clear()
            self.store_clock.observe(outcome.now_ms, sent_at, now)
        return outcome
