"""Transactions whose lost answers are settled: sent again under the same token, never assumed."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.outcomes import Reason, Refused, RunState, outcome_unknown
from foxwinch.storage.ports import Committed, ConditionFailed, TablePort, Transaction

RETRY_BACKOFF = Backoff(base_seconds=0.05, cap_seconds=2.0)
ANSWER_SECONDS = 5.0
"""A service that is silent for so long is tried anew."""

Answer = TypeVar("Answer")


async def answered(request: Awaitable[Answer], seconds: float) -> Answer | Refused:
    """Wait for an answer of the platform; a silent service is an uncertain refusal.

    The port's own time-out may be longer, or missing.
    """
    try:
        async with asyncio.timeout(seconds):
            return await request
    except TimeoutError:
        return outcome_unknown(Reason.STORE_UNAVAILABLE, "the service did not answer in time")


async def transact_settled(
    table: TablePort, clock: Clock, transaction: Transaction, attempts: int
) -> Committed | ConditionFailed | Refused:
    """Send a transaction until its outcome is certain, at most `attempts` times.

    A refusal with `not_run` means that no attempt took effect; with `unknown` that one may have.
    The waits grow with full jitter, or follow the service's own retry time when that is longer.
    """
    may_have_run = False
    last: Refused | None = None
    for attempt in range(attempts):
        outcome = await answered(table.transact(transaction), ANSWER_SECONDS)
        if not isinstance(outcome, Refused):
            return outcome
        may_have_run = may_have_run or outcome.run_state is not RunState.NOT_RUN
        last = outcome
        if attempt + 1 < attempts:
            wait = RETRY_BACKOFF.wait_seconds(attempt, clock.uniform())
            await clock.sleep(max(wait, outcome.retry_after_seconds or 0.0))
    if last is None or may_have_run:
        return outcome_unknown(Reason.STORE_UNAVAILABLE, "no certain answer from the table")
    return last
