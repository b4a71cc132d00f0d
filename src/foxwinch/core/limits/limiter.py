"""Admission by rate at one node: its share of the limits of tenants and classes."""

from collections.abc import Callable
from dataclasses import dataclass

from cachetools import LRUCache

from foxwinch.core.limits.token_bucket import TokenBucket

MAX_BUCKETS = 16_384
"""Twice the tenants and classes of the largest document; an evicted bucket was idle for long."""
RESERVE_PER_RANK = 0.08
"""Part of the burst that a class leaves to each more urgent rank: rank 0 may use all of it."""
MAX_RETRY_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Limit:
    """A limit across all nodes."""

    key: str
    """`tenant:NAME` or `class:NAME`."""
    requests_per_second: float
    tokens_per_second: float
    burst_seconds: float


@dataclass(frozen=True, slots=True)
class Passed:
    """All limits let the request pass and were charged."""


@dataclass(frozen=True, slots=True)
class Limited:
    """A limit does not let the request pass now; nothing was charged."""

    key: str
    wait_seconds: float
    """After which the share will let such a request pass, if nobody else is faster."""


@dataclass(slots=True)
class _Buckets:
    requests: TokenBucket
    tokens: TokenBucket


class Limiter:
    """Buckets filled at this node's share of each limit.

    A bucket of requests holds at least one, so that the first request of an idle tenant passes at
    any node. The bucket of tokens may go below zero by one request, whose size is an estimate.
    """

    def __init__(self, share: Callable[[str, float], float], started_at: float) -> None:
        """`share` returns this node's part of a key's limit at a time."""
        self._share = share
        self._started_at = started_at
        self._buckets: LRUCache[str, _Buckets] = LRUCache(MAX_BUCKETS)

    def restart(self, now: float) -> None:
        """Forget what was saved, as a node that has just started."""
        self._started_at = now
        self._buckets.clear()

    def admit(
        self, limits: tuple[Limit, ...], rank: int, tokens: float, now: float
    ) -> Passed | Limited:
        """Charge one request and its estimated tokens to every limit, or to none."""
        found = [(limit, self._refreshed(limit, now)) for limit in limits]
        for limit, buckets in found:
            wait = _wait_seconds(buckets, rank, now)
            if wait > 0:
                return Limited(limit.key, min(wait, MAX_RETRY_SECONDS))
        for _, buckets in found:
            buckets.requests.charge(1.0, now)
            buckets.tokens.charge(tokens, now)
        return Passed()

    def settle(self, limits: tuple[Limit, ...], estimated: float, used: float, now: float) -> None:
        """Correct the estimate by what was used."""
        for limit in limits:
            self._refreshed(limit, now).tokens.charge(used - estimated, now)

    def _refreshed(self, limit: Limit, now: float) -> _Buckets:
        share = self._share(limit.key, now)
        request_rate = share * limit.requests_per_second
        request_room = max(1.0, request_rate * limit.burst_seconds)
        token_rate = share * limit.tokens_per_second
        token_room = max(1.0, token_rate * limit.burst_seconds)
        buckets = self._buckets.get(limit.key)
        if buckets is None:
            # A node that has just started has saved nothing: growth counts from its start.
            buckets = _Buckets(
                TokenBucket(request_rate, request_room, 1.0, self._started_at),
                TokenBucket(token_rate, token_room, 1.0, self._started_at),
            )
            self._buckets[limit.key] = buckets
        else:
            buckets.requests.change_rate(request_rate, request_room, now)
            buckets.tokens.change_rate(token_rate, token_room, now)
        return buckets


def _wait_seconds(buckets: _Buckets, rank: int, now: float) -> float:
    requests = buckets.requests
    reserve = RESERVE_PER_RANK * rank
    if requests.rate_per_second <= 0:
        return MAX_RETRY_SECONDS
    needed = 1.0 + reserve * (requests.capacity - 1.0)
    tokens = buckets.tokens
    needed_tokens = reserve * tokens.capacity
    return max(
        requests.wait_seconds(needed, now),
        tokens.wait_seconds(max(needed_tokens, min(1.0, tokens.capacity)), now),
    )
