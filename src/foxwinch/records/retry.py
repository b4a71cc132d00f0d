"""Retries of calls to the shared store until a response or the deadline."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.outcomes import Reason, Refused, not_run

STORE_BACKOFF = Backoff(base_seconds=0.05, cap_seconds=0.4)
CALL_TIMEOUT_SECONDS = 0.8
"""Timeout of one call. A slow store still responds within it; a call to an unresponsive store is
retried on another connection."""
MIN_CALL_SECONDS = 0.03
"""Minimum remaining time for starting a call."""

Outcome = TypeVar("Outcome")


async def retry_until(
    clock: Clock,
    deadline_at: float,
    call: Callable[[float], Awaitable[Outcome]],
) -> Outcome | Refused:
    """Return the first response of `call`, or its last refusal once `deadline_at` is reached.

    `call` takes its timeout in seconds and must be idempotent.
    """
    attempt = 0
    last_refusal: Refused | None = None
    while True:
        remaining_seconds = deadline_at - clock.monotonic()
        if remaining_seconds < MIN_CALL_SECONDS:
            return last_refusal or not_run(
                Reason.DEADLINE, "the deadline passed before the store could be called"
            )
        outcome = await call(min(remaining_seconds, CALL_TIMEOUT_SECONDS))
        if not isinstance(outcome, Refused):
            return outcome
        last_refusal = outcome
        wait = STORE_BACKOFF.wait_seconds(attempt, 0.5 + 0.5 * clock.uniform())
        attempt += 1
        if clock.monotonic() + wait > deadline_at:
            return last_refusal
        await clock.sleep(wait)
