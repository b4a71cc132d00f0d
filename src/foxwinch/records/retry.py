"""Repeats calls to the shared store until they are answered or the caller's time is over."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.outcomes import Reason, Refused, not_run

STORE_BACKOFF = Backoff(base_seconds=0.05, cap_seconds=0.4)
CALL_SECONDS = 0.8
"""For one call: a store that is slow still answers within it; one that says nothing is asked again
on another connection."""
MIN_CALL_SECONDS = 0.03
"""With less time left a call is not begun."""

Outcome = TypeVar("Outcome")


async def retry_until(
    clock: Clock,
    deadline_at: float,
    call: Callable[[float], Awaitable[Outcome]],
) -> Outcome | Refused:
    """Return the first answer of `call`, or its last refusal when `deadline_at` is reached.

    `call` gets the seconds that it may take, and must be safe to repeat.
    """
    attempt = 0
    last: Refused | None = None
    while True:
        left = deadline_at - clock.monotonic()
        if left < MIN_CALL_SECONDS:
            return last or not_run(Reason.DEADLINE, "no time is left to ask the store")
        outcome = await call(min(left, CALL_SECONDS))
        if not isinstance(outcome, Refused):
            return outcome
        last = outcome
        wait = STORE_BACKOFF.wait_seconds(attempt, 0.5 + 0.5 * clock.uniform())
        attempt += 1
        if clock.monotonic() + wait > deadline_at:
            return last
        await clock.sleep(wait)
