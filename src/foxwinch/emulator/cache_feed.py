"""What a modelled engine publishes: cache events late and with gaps, load with a lag."""

from collections import deque
from dataclasses import dataclass

import xxhash

from foxwinch.backends.ports import CacheEvent, CacheEventPage
from foxwinch.emulator.engine_parameters import EngineParameters

SNAPSHOT_SEQUENCE = 0
"""Reading after this sequence number gives a snapshot: `cleared`, then all blocks as `stored`."""
HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class _Published:
    event: CacheEvent
    at_seconds: float
    lost: bool


class CacheFeed:
    """Cache events of one engine with sequence numbers from 1."""

    def __init__(self, parameters: EngineParameters, seed: int) -> None:
        """Lose events by `seed`, the same ones in every run."""
        self._parameters = parameters
        self._seed = seed
        self._sequence = 0
        self._events: deque[_Published] = deque(maxlen=parameters.cache_event_history)

    def publish(self, kind: str, hashes: tuple[int, ...], now: float) -> None:
        """Record a change."""
        self._sequence += 1
        draw = xxhash.xxh64_intdigest(self._sequence.to_bytes(8, "little"), self._seed)
        lost = draw / HASH_RANGE < self._parameters.cache_event_loss
        self._events.append(_Published(CacheEvent(self._sequence, kind, hashes), now, lost))

    def page(self, after: int, cached: tuple[int, ...], now: float) -> CacheEventPage:
        """Return the events after a sequence number that are old enough to be seen."""
        if after == SNAPSHOT_SEQUENCE:
            snapshot = (
                CacheEvent(self._sequence, "cleared", ()),
                CacheEvent(self._sequence, "stored", cached),
            )
            return CacheEventPage(snapshot, self._sequence, gap=False)
        visible_until = now - self._parameters.cache_event_lag_seconds
        seen: list[_Published] = []
        for published in reversed(self._events):
            if published.event.sequence <= after:
                break
            if published.at_seconds <= visible_until:
                seen.append(published)
        seen.reverse()
        if not seen:
            return CacheEventPage((), after, gap=False)
        gap = seen[0].event.sequence != after + 1 or any(p.lost for p in seen)
        events = tuple(p.event for p in seen if not p.lost)
        return CacheEventPage(events, seen[-1].event.sequence, gap)
