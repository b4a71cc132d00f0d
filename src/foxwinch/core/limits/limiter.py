"""Rate limiting at one node, by its share of the limits of tenants and classes."""

from collections.abc import Callable
from dataclasses import dataclass

from cachetools import LRUCache

from foxwinch.core.limits.token_bucket import TokenBucket

MAX_BUCKETS = 16_384
"""Twice the tenants and classes of the largest configuration, so that only buckets that have long
been idle are evicted."""
RESERVED_FRACTION_PER_RANK = 0.08
"""Fraction of the burst that a class reserves for each more urgent rank; rank 0 may use all."""
MAX_RETRY_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Limit:
    """A rate limit shared by all nodes."""

    key: str
    """`tenant:NAME` or `class:NAME`."""
    requests_per_second: float
    tokens_per_second: float
    burst_seconds: float


@dataclass(frozen=True, slots=True)
class Passed:
    """The request is within all limits and has been charged to them."""


@dataclass(frozen=True, slots=True)
class Limited:
    """The request exceeds a limit; nothing has been charged."""

    key: str
    wait_seconds: float
    """Time until such a request fits, unless other requests take the tokens first."""


@dataclass(slots=True)
class _Buckets:
    requests: TokenBucket
    tokens: TokenBucket


class Limiter:
    """Token buckets that refill at this node's share of each limit.

    The capacity of a request bucket is at least one, so that the first request of an idle tenant
    is admitted at any node. A token bucket may go below zero by one request, whose size is an
    estimate.
    """

    def __init__(self, share: Callable[[str, float], float], started_at: float) -> None:
        """Create a limiter; `share` returns this node's fraction of a key's limit at a time."""
        self._share = share
        self._started_at = started_at
        self._buckets: LRUCache[str, _Buckets] = LRUCache(MAX_BUCKETS)

    def reset(self, now: float) -> None:
        """Discard accumulated tokens, as on a node that has just started."""
        self._started_at = now
        self._buckets.clear()

    def admit(
        self, limits: tuple[Limit, ...], rank: int, tokens: float, now: float
    ) -> Passed | Limited:
        """Charge one request and its estimated tokens to all limits, or to none."""
        found = [(limit, self._current_buckets(limit, now)) for limit in limits]
        for limit, buckets in found:
            wait = _wait_seconds(buckets, rank, now)
            if wait > 0:
                return Limited(limit.key, min(wait, MAX_RETRY_SECONDS))
        for _, buckets in found:
            buckets.requests.charge(1.0, now)
            buckets.tokens.charge(tokens, now)
        return Passed()

    def settle(self, limits: tuple[Limit, ...], estimated: float, used: float, now: float) -> None:
        """Correct the estimated tokens of a request by the actual usage."""
        for limit in limits:
            self._current_buckets(limit, now).tokens.charge(used - estimated, now)

    def _current_buckets(self, limit: Limit, now: float) -> _Buckets:
        share = self._share(limit.key, now)
        request_rate = share * limit.requests_per_second
        request_capacity = max(1.0, request_rate * limit.burst_seconds)
        token_rate = share * limit.tokens_per_second
        token_capacity = max(1.0, token_rate * limit.burst_seconds)
        buckets = self._buckets.get(limit.key)
        if buckets is None:
            # A node that has just started has no accumulated tokens; refill counts from its start.
            buckets = _Buckets(
                TokenBucket(request_rate, request_capacity, 1.0, self._started_at),
                TokenBucket(token_rate, token_capacity, 1.0, self._started_at),
            )
            self._buckets[limit.key] = buckets
        else:
            buckets.requests.change_rate(request_rate, request_capacity, now)
            buckets.tokens.change_rate(token_rate, token_capacity, now)
        return buckets


def _wait_seconds(buckets: _Buckets, rank: int, now: float) -> float:
    requests = buckets.requests
    reserve = RESERVED_FRACTION_PER_RANK * rank
    if requests.rate_per_second <= 0:
        return MAX_RETRY_SECONDS
    needed = 1.0 + reserve * (requests.capacity - 1.0)
    tokens = buckets.tokens
    needed_tokens = reserve * tokens.capacity
    return max(
        requests.wait_seconds(needed, now),
        tokens.wait_seconds(max(needed_tokens, min(1.0, tokens.capacity)), now),
    )
