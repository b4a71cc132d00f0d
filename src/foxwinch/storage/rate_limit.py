"""Keeps a client of the platform within the service's rate, and heeds its Retry-After."""

from foxwinch.clock import Clock
from foxwinch.core.limits.token_bucket import TokenBucket
from foxwinch.outcomes import Reason, Refused, not_run

MAX_WAIT_SECONDS = 2.0
"""A request that would wait longer is refused at once, and told when to come back."""


class RateLimiter:
    """One bucket for all requests of this node to one service."""

    def __init__(self, clock: Clock, requests_per_second: float, burst: float) -> None:
        """Allow `requests_per_second` with bursts of `burst` requests."""
        self._clock = clock
        self._rate = requests_per_second
        self._burst = burst
        self._bucket: TokenBucket | None = None

    async def enter(self) -> Refused | None:
        """Wait for this request's turn; refused when the turn is too far off."""
        now = self._clock.monotonic()
        bucket = self._started(now)
        wait = max(0.0, 1.0 - bucket.available(now)) / self._rate
        if wait > MAX_WAIT_SECONDS:
            return not_run(Reason.RATE_LIMITED, "the node's own share of the rate is used", wait)
        wait = bucket.reserve(1.0, now)
        if wait > 0:
            await self._clock.sleep(wait)
        return None

    def heed(self, outcome: object) -> None:
        """Let nothing pass for as long as the service asked when it limited its rate."""
        if not isinstance(outcome, Refused) or outcome.reason is not Reason.RATE_LIMITED:
            return
        now = self._clock.monotonic()
        self._started(now).pause_for(outcome.retry_after_seconds or 0.0, now)

    def _started(self, now: float) -> TokenBucket:
        if self._bucket is None:
            self._bucket = TokenBucket.full(self._rate, self._burst, now)
        return self._bucket
