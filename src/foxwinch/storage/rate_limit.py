"""Client-side rate limiting of requests to a service, including its Retry-After responses."""

from foxwinch.clock import Clock
from foxwinch.core.limits.token_bucket import TokenBucket
from foxwinch.outcomes import Reason, Refused, not_run

MAX_WAIT_SECONDS = 2.0
"""Maximum queueing time; a request that would wait longer is refused with a retry time."""


class RateLimiter:
    """Token bucket for all requests of this node to one service."""

    def __init__(self, clock: Clock, requests_per_second: float, burst: float) -> None:
        """Allow `requests_per_second` with bursts of `burst` requests."""
        self._clock = clock
        self._rate = requests_per_second
        self._burst = burst
        self._bucket: TokenBucket | None = None

    async def acquire(self) -> Refused | None:
        """Wait until a request may be sent; refuse it if the wait would be too long."""
        now = self._clock.monotonic()
        bucket = self._get_bucket(now)
        delay_seconds = max(0.0, 1.0 - bucket.available(now)) / self._rate
        if delay_seconds > MAX_WAIT_SECONDS:
            return not_run(
                Reason.RATE_LIMITED,
                "the node reached its request rate limit for the service",
                delay_seconds,
            )
        delay_seconds = bucket.reserve(1.0, now)
        if delay_seconds > 0:
            await self._clock.sleep(delay_seconds)
        return None

    def apply_retry_after(self, outcome: object) -> None:
        """Block requests for the Retry-After time if the service limited the rate."""
        if not isinstance(outcome, Refused) or outcome.reason is not Reason.RATE_LIMITED:
            return
        now = self._clock.monotonic()
        self._get_bucket(now).pause_for(outcome.retry_after_seconds or 0.0, now)

    def _get_bucket(self, now: float) -> TokenBucket:
        if self._bucket is None:
            self._bucket = TokenBucket.full(self._rate, self._burst, now)
        return self._bucket
