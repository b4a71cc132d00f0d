"""Claims of requests under which workers have ended: one send at a time, over all nodes."""

import asyncio

from foxwinch.clock import Clock
from foxwinch.core.records.crash_history import CrashHistory, SendClaim
from foxwinch.core.routing.directory import Worker
from foxwinch.outcomes import Refused
from foxwinch.records.crash_records import CrashRecords
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.lost_sends import LostSends

CLAIM_TIMEOUT_SECONDS = 0.9
CLAIM_TIME_FRACTION = 0.35
"""Fraction of a request's remaining time that may be spent on its claim."""
CLAIM_WAIT_SECONDS = 0.15
"""Time for which a request waits for a claim of another one. A caller may return before the claim
of its failed request has been released."""
CLAIM_POLL_SECONDS = 0.02
CLAIM_MARGIN_SECONDS = 1.0
"""Time from the end of a request to the expiry of its claim, within which it is released."""
RELEASE_SECONDS = 5.0
"""Time for which the release of a claim is tried."""


class SendClaims:
    """Takes and releases the claims of this node's requests."""

    def __init__(
        self, records: CrashRecords, lost_sends: LostSends, clock: Clock, tasks: ServiceTasks
    ) -> None:
        """Store claims in `records`; writes run as `tasks`, also when their callers leave."""
        self._records = records
        self._lost_sends = lost_sends
        self._clock = clock
        self._tasks = tasks

    async def take(self, attempts: Attempts, worker: Worker) -> CrashHistory | Refused:
        """Take the claim for a send, if it is free soon; return the stored history.

        `attempts.has_claim` tells whether it was taken.
        """
        now = self._clock.monotonic()
        left = attempts.deadline_at - now
        holder = self._lost_sends.holder(attempts.request.request_id)
        expires_ms = self._records.now_ms() + int(1e3 * (left + CLAIM_MARGIN_SECONDS))
        claim = SendClaim(holder, worker.incarnation, expires_ms)
        deadline_at = now + min(CLAIM_TIMEOUT_SECONDS, CLAIM_TIME_FRACTION * left)
        taken: asyncio.Future[CrashHistory | Refused] = asyncio.get_running_loop().create_future()
        self._tasks.start(self._take(attempts, claim, deadline_at, taken))
        return await asyncio.shield(taken)

    def release(self, attempts: Attempts) -> None:
        """Release a request's claim; its doubts take the place of it."""
        request_id, has_claim = attempts.request.request_id, attempts.has_claim
        if not self._records.table.is_empty and self._lost_sends.share(
            attempts.fingerprint, request_id, has_claim
        ):
            attempts.has_claim = False
        if not attempts.has_claim:
            return
        attempts.has_claim = False
        deadline_at = self._clock.monotonic() + RELEASE_SECONDS
        holder = self._lost_sends.holder(request_id)
        self._tasks.start(self._records.release(attempts.fingerprint, holder, deadline_at))

    async def _take(
        self,
        attempts: Attempts,
        claim: SendClaim,
        deadline_at: float,
        taken: "asyncio.Future[CrashHistory | Refused]",
    ) -> None:
        """Take a claim, and release it if the caller has left meanwhile."""
        wait_until = min(deadline_at, self._clock.monotonic() + CLAIM_WAIT_SECONDS)
        outcome = await self._records.claim(attempts.fingerprint, claim, deadline_at)
        while _is_held_by_other(outcome, claim) and self._clock.monotonic() < wait_until:
            await self._clock.sleep(CLAIM_POLL_SECONDS)
            outcome = await self._records.claim(attempts.fingerprint, claim, deadline_at)
        if isinstance(outcome, CrashHistory):
            holder = outcome.claim.holder if outcome.claim is not None else None
            attempts.has_claim = holder == claim.holder
        taken.set_result(outcome)
        if attempts.has_ended:
            self.release(attempts)


def _is_held_by_other(outcome: CrashHistory | Refused, claim: SendClaim) -> bool:
    """Return whether a claim could not be taken because another request has one."""
    if isinstance(outcome, Refused) or outcome.claim is None:
        return False
    return outcome.claim.holder != claim.holder
