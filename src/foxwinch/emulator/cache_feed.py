"""The cache events of a modelled engine, published with a delay and with gaps."""

from collections import deque
from dataclasses import dataclass

import xxhash

from foxwinch.backends.ports import CacheEvent, CacheEventPage
from foxwinch.emulator.engine_parameters import EngineParameters

SNAPSHOT_SEQUENCE = 0
"""Reading after this number returns a snapshot: `cleared`, then `stored` with all blocks."""
HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class _PublishedEvent:
    event: CacheEvent
    at_seconds: float
    lost: bool


class CacheFeed:
    """Cache events of one engine, with sequence numbers that start at 1."""

    def __init__(self, parameters: EngineParameters, seed: int) -> None:
        """Drop events by `seed`, so that every run loses the same ones."""
        self._parameters = parameters
        self._seed = seed
        self._sequence = 0
        self._events: deque[_PublishedEvent] = deque(maxlen=parameters.cache_event_history)

    def publish(self, kind: str, hashes: tuple[int, ...], now: float) -> None:
        """Record a change of the cache."""
        self._sequence += 1
        draw = xxhash.xxh64_intdigest(self._sequence.to_bytes(8, "little"), self._seed)
        lost = draw / HASH_RANGE < self._parameters.cache_event_loss
        self._events.append(_PublishedEvent(CacheEvent(self._sequence, kind, hashes), now, lost))

    def page(self, after: int, cached: tuple[int, ...], now: float) -> CacheEventPage:
        """Return the events after a sequence number that are older than the event lag."""
        if after == SNAPSHOT_SEQUENCE:
            snapshot = (
                CacheEvent(self._sequence, "cleared", ()),
                CacheEvent(self._sequence, "stored", cached),
            )
            return CacheEventPage(snapshot, self._sequence, gap=False)
        visible_until = now - self._parameters.cache_event_lag_seconds
        visible: list[_PublishedEvent] = []
        for published in reversed(self._events):
            if published.event.sequence <= after:
                break
            if published.at_seconds <= visible_until:
                visible.append(published)
        visible.reverse()
        if not visible:
            return CacheEventPage((), after, gap=False)
        gap = visible[0].event.sequence != after + 1 or any(p.lost for p in visible)
        events = tuple(p.event for p in visible if not p.lost)
        return CacheEventPage(events, visible[-1].event.sequence, gap)
