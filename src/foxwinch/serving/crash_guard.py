"""Limits how many workers end under one request, over all of its repetitions and all nodes.

Everything that runs at a worker when it ends is suspected, most of it without reason. Each send is
recorded outside its node before it is made: by a majority of the request's witnesses, or under a
claim in the shared store if those do not know all earlier sends. After `MAX_CRASHES` sends that
were lost, a request is sent only to workers that lost it and live, as those may end under it
anyway. Outside programs, a success clears a request, and one send at a time runs after a loss.
"""

import asyncio
from dataclasses import replace
from enum import Enum

from cachetools import LRUCache

from foxwinch.clock import Clock
from foxwinch.core.records.crash_history import MAX_CRASHES, CrashHistory, SendKey
from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.crash_records import CrashRecords
from foxwinch.records.node_registry import MEMORY_MS
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.crash_detection import LostSend
from foxwinch.serving.lost_sends import LostSends
from foxwinch.serving.messages import (
    CallFailure,
    CallInterrupted,
    RejectedRequest,
    Rejection,
)
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import RoutingView
from foxwinch.serving.send_claims import SendClaims
from foxwinch.serving.send_witnesses import SendWitnesses

CLAIMED_RETRY_AFTER_SECONDS = 0.3
"""About the duration of a request, after which the holder of the claim has released it."""
UNAVAILABLE_RETRY_AFTER_SECONDS = 1.0
PRESUMED_LOSSES = MAX_CRASHES - 1
"""Losses that may be forgotten at once, as a third one is made under a claim in the store."""
MAX_SUCCEEDED = 4_096
"""Number of requests outside programs that are known to have succeeded at this node."""
PROTECTION_SECONDS = 10.0
"""Time for which a crash counts against the limits of a service, which hold for requests under
which two workers have ended."""
MAX_CRASHED_FRACTION = 0.5
"""Fraction of a service's workers that may have crashed recently."""
MIN_REMAINING_WORKERS = 1
"""Number of workers of a service that are spared after recent crashes."""
log = EventLog("crashes")


class Admission(Enum):
    """Whether a send may be made that is not rejected."""

    ADMITTED = "admitted"
    RESELECT = "reselect"
    """What has become known of earlier sends excludes the chosen worker."""


class CrashGuard:
    """Admits sends of requests to workers, and records the crashes under them."""

    def __init__(
        self,
        records: CrashRecords,
        lost_sends: LostSends,
        witnesses: SendWitnesses,
        routing: RoutingView,
        clock: Clock,
        metrics: ServingMetrics,
        tasks: ServiceTasks,
    ) -> None:
        """Create the guard of a node, which leaves failed sends to `lost_sends`."""
        self._records = records
        self._lost_sends = lost_sends
        self._witnesses = witnesses
        self._routing = routing
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._claims = SendClaims(records, lost_sends, clock, tasks)
        self._last_sent_ms = 0
        self._running: dict[str, list[Attempts]] = {}
        """Sends without a response by fingerprint."""
        self._succeeded: LRUCache[str, bool] = LRUCache(MAX_SUCCEEDED)
        """Fingerprints of requests outside programs that have succeeded here."""
        witnesses.on_asked = self._announce_running

    def shared_workers(self, attempts: Attempts) -> frozenset[str]:
        """Return the incarnations at which other suspected requests run."""
        if self._records.table.is_empty:
            return frozenset()
        return frozenset(self._records.table.claimed_workers(attempts.fingerprint))

    def without_lost(self, attempts: Attempts, workers: list[Worker]) -> list[Worker]:
        """Return the workers that a request may be sent to.

        Those that lost it and live are a last resort, and the only ones once it has been lost too
        often.
        """
        if self._records.table.is_empty and not attempts.presumed_losses:
            return workers
        history = self._records.table.history_of(attempts.fingerprint)
        living = [each for each in workers if each.incarnation in history.living_workers]
        if _is_exhausted(attempts, history):
            return living
        lost = {loss.worker for loss in history.losses}
        return [each for each in workers if each.incarnation not in lost] or living

    def reject_exhausted(self, attempts: Attempts) -> RejectedRequest | None:
        """Return why a request is not sent that no worker may get any more, or None."""
        history = self._records.table.history_of(attempts.fingerprint)
        if not _is_exhausted(attempts, history):
            return None
        return self._reject_suspected(attempts, history)

    async def admit(self, attempts: Attempts, worker: Worker) -> RejectedRequest | Admission:
        """Record a send before it is made; return whether it may be, or why not."""
        attempts.is_suspected, attempts.announced = False, None
        self._start_send(attempts, worker)
        if attempts.is_resend:
            self._admit_again(attempts)
        else:
            rejected = await self._admit_new(attempts, worker)
            if rejected is not None:
                return rejected
            attempts.unused_sent_ms = None
        attempts.sent_at = self._clock.monotonic()
        self._running.setdefault(attempts.fingerprint, []).append(attempts)
        return Admission.ADMITTED

    def _admit_again(self, attempts: Attempts) -> None:
        """Admit a send to a worker that has lost the request and may end under it anyway."""
        history = self._records.table.history_of(attempts.fingerprint)
        attempts.is_suspected = any(
            doubt.suspected for doubt in history.doubts if doubt.send == attempts.send
        )
        self._lost_sends.watch(attempts.fingerprint, history)
        self._log_decision("admitted", attempts, history, "sent_again")

    async def _admit_new(
        self, attempts: Attempts, worker: Worker
    ) -> RejectedRequest | Admission | None:
        """Record a send to another worker; return why it may not be made, or None."""
        registration = await self._witnesses.register(attempts, worker)
        attempts.unused_sent_ms = attempts.send.sent_ms if attempts.send else None
        is_known = registration.is_remembered or attempts.fingerprint in self._succeeded
        attempts.presumed_losses = 0 if is_known else PRESUMED_LOSSES
        history = self._records.table.history_of(attempts.fingerprint)
        lost = {loss.worker for loss in history.losses}
        if worker.incarnation in lost or _is_exhausted(attempts, history):
            return Admission.RESELECT
        attempts.is_suspected = history.weight > 0
        # A claim is a send that the witnesses may not know of.
        is_recorded = registration.is_recorded and history.claim is None
        if attempts.is_suspected:
            return await self._admit_suspected(attempts, worker, history, is_recorded)
        return None if is_recorded else await self._claim(attempts, worker)

    def _start_send(self, attempts: Attempts, worker: Worker) -> None:
        """Choose the key of a send, which is that of the lost one if its worker gets it again.

        A send that was not made leaves its number to the next one.
        """
        history = self._records.table.history_of(attempts.fingerprint)
        attempts.sent_at, attempts.sent_ms = self._clock.monotonic(), self._records.now_ms()
        attempts.is_resend = worker.incarnation in history.living_workers
        if attempts.is_resend:
            lost = [each.send for each in history.doubts if each.worker == worker.incarnation]
            attempts.send = lost[-1]
            return
        sent_ms = attempts.unused_sent_ms
        if sent_ms is None:
            sent_ms = self._last_sent_ms = max(attempts.sent_ms, self._last_sent_ms + 1)
        attempts.send = SendKey(worker.incarnation, sent_ms)

    async def _admit_suspected(
        self, attempts: Attempts, worker: Worker, history: CrashHistory, is_recorded: bool
    ) -> RejectedRequest | None:
        """Return why a request with known losses may not be sent, or None."""
        # This node may be killed during the next send.
        self._lost_sends.share(attempts.fingerprint, attempts.request.request_id, has_claim=False)
        if history.weight > 1:
            self._lost_sends.watch(attempts.fingerprint, history)
        is_repeated = len(history.crashes) > 1 and history.cause_count > 1
        if is_repeated and self._must_spare(worker.service):
            return self._reject(
                attempts, history, "service_protected", UNAVAILABLE_RETRY_AFTER_SECONDS
            )
        is_last = history.weight + attempts.presumed_losses + 1 >= MAX_CRASHES
        if is_recorded and not is_last and attempts.request.program is not None:
            return None
        return await self._claim(attempts, worker)

    async def on_failure(
        self, worker: Worker, interrupted: CallInterrupted, attempts: Attempts
    ) -> None:
        """Find out whether a worker that lost a call has ended, and record it before returning.

        This goes on, and keeps the claim, when the caller leaves meanwhile. A worker that was left
        for its slow response still runs the call, so it is not checked.
        """
        self._end_send(attempts)
        lost = self._lost_send(worker, attempts)
        if interrupted.failure is CallFailure.UNRESPONSIVE:
            self._lost_sends.add(lost)
            return
        is_claimed, attempts.has_claim = attempts.has_claim, False
        await asyncio.shield(self._tasks.start(self._settle(lost, attempts, is_claimed)))

    async def _settle(self, lost: LostSend, attempts: Attempts, is_claimed: bool) -> None:
        has_ended = await self._lost_sends.settle(lost)
        attempts.has_claim = is_claimed and not has_ended
        if attempts.has_ended:
            self._claims.release(attempts)

    def _lost_send(self, worker: Worker, attempts: Attempts) -> LostSend:
        assert attempts.send is not None
        return LostSend(
            worker,
            attempts.fingerprint,
            attempts.request.request_id,
            attempts.send,
            self._clock.monotonic(),
            attempts.deadline_at,
            attempts.is_repetition,
        )

    def on_response(self, attempts: Attempts, is_success: bool) -> None:
        """Clear a request of earlier losses if its success proves that it can run.

        A failure proves nothing: the worker may not have run the request. Neither does a success
        about losses after its send. A program repeats a request only if its response was lost, so
        its losses stay and cost nothing.
        """
        self._end_send(attempts)
        self._withdraw(attempts)
        self._witnesses.settle(attempts)
        is_outside_success = is_success and attempts.request.program is None
        if is_outside_success:
            self._succeeded[attempts.fingerprint] = True
        if self._records.table.is_empty:
            return
        history = self._records.table.history_of(attempts.fingerprint)
        if not history.weight:
            return
        log.info(
            "suspected_response",
            request=attempts.request.request_id,
            fingerprint=attempts.fingerprint,
            success=is_success,
            cleared=is_outside_success,
            crashes=len(history.crashes),
            doubts=len(history.doubts),
        )
        if not is_outside_success:
            return
        attempts.has_claim = False
        self._metrics.crash_decisions.labels("cleared").inc()
        self._lost_sends.clear(
            attempts.fingerprint, attempts.sent_ms, attempts.request.request_id, history
        )

    def on_refusal(self, attempts: Attempts) -> None:
        """Note that a worker has refused to run a request."""
        self._end_send(attempts)
        self._withdraw(attempts)
        if attempts.send is not None and not attempts.is_resend:
            attempts.unused_sent_ms = attempts.send.sent_ms

    def _end_send(self, attempts: Attempts) -> None:
        running = self._running.get(attempts.fingerprint, [])
        if attempts in running:
            running.remove(attempts)
        if not running:
            self._running.pop(attempts.fingerprint, None)

    def _announce_running(self, fingerprint: str) -> None:
        """Put this node's running sends of a request in doubt that another node is to send.

        The caller of a program has left the earlier send then.
        """
        for attempts in self._running.get(fingerprint, []):
            is_single_caller = attempts.request.program is not None
            if is_single_caller and attempts.announced is None and not attempts.is_resend:
                self._lost_sends.announce(attempts)

    def _withdraw(self, attempts: Attempts) -> None:
        """Remove the doubt of a send that has got a response.

        Other nodes may have put it in doubt as this one did not respond.
        """
        announced, attempts.announced = attempts.announced, None
        if attempts.is_resend or self._records.table.is_empty:
            return
        doubts = self._records.table.history_of(attempts.fingerprint).doubts
        known = [doubt for doubt in doubts if doubt.send == attempts.send]
        if announced is not None and announced not in known:
            known.append(announced)
        for doubt in known:
            self._lost_sends.withdraw(attempts.fingerprint, doubt)

    def on_end(self, attempts: Attempts) -> None:
        """Release what a request holds once it has ended in any way."""
        attempts.has_ended = True
        if attempts.running_on is not None:
            self._end_send(attempts)
            self._give_up(attempts, attempts.running_on)
        elif attempts.unused_sent_ms is not None:
            self._witnesses.settle_unused(attempts)
        self._claims.release(attempts)

    def _give_up(self, attempts: Attempts, worker: Worker) -> None:
        """Put the send of a request in doubt that ends while its worker may run it."""
        now = self._clock.monotonic()
        self._metrics.crash_decisions.labels("given_up").inc()
        log.info(
            "send_given_up",
            request=attempts.request.request_id,
            fingerprint=attempts.fingerprint,
            worker=worker.worker_id,
            started_ms=worker.started_ms,
            sent_ago_ms=int(1e3 * (now - attempts.sent_at)),
            left_ms=int(1e3 * (attempts.deadline_at - now)),
        )
        self._lost_sends.add(self._lost_send(worker, attempts))

    async def _claim(self, attempts: Attempts, worker: Worker) -> RejectedRequest | None:
        """Take the claim for a send; return why it may not be made, or None."""
        outcome = await self._claims.take(attempts, worker)
        history = self._records.table.history_of(attempts.fingerprint)
        if isinstance(outcome, Refused):
            return self._reject(
                attempts, history, "claim_unavailable", UNAVAILABLE_RETRY_AFTER_SECONDS
            )
        if _is_exhausted(attempts, history):
            return self._reject_suspected(attempts, history)
        if attempts.has_claim:
            self._log_decision("admitted", attempts, outcome, "claimed")
            return None
        return self._reject(attempts, outcome, "runs_elsewhere", CLAIMED_RETRY_AFTER_SECONDS)

    def _must_spare(self, service: str) -> bool:
        """Return whether a service has lost too many workers to risk another one."""
        directory = self._routing.directory
        workers = {
            worker.incarnation for worker in directory.known_workers() if worker.service == service
        }
        crashed = workers & self._records.table.crashed_since(PROTECTION_SECONDS)
        if not crashed:
            return False
        eligible = directory.eligible_workers(service, self._clock.monotonic())
        remaining = sum(worker.incarnation not in crashed for worker in eligible)
        is_half_lost = len(crashed) > MAX_CRASHED_FRACTION * (remaining + len(crashed))
        return is_half_lost or remaining <= MIN_REMAINING_WORKERS

    def _reject_suspected(self, attempts: Attempts, history: CrashHistory) -> RejectedRequest:
        """Reject a request until its crashes expire, or a worker that lost it may get it again."""
        if history.weight < MAX_CRASHES:
            return self._reject(attempts, history, "sends_forgotten", MEMORY_MS / 1e3)
        if replace(history, doubts=()).weight < MAX_CRASHES:
            return self._reject(
                attempts, history, "workers_in_doubt", UNAVAILABLE_RETRY_AFTER_SECONDS
            )
        left_ms = max(0, history.retained_until_ms - self._records.now_ms())
        return self._reject(attempts, history, "crashes_workers", left_ms / 1e3)

    def _reject(
        self, attempts: Attempts, history: CrashHistory, reason: str, retry_after_seconds: float
    ) -> RejectedRequest:
        self._log_decision("refused", attempts, history, reason)
        if attempts.possibly_ran_on:
            return RejectedRequest(Rejection.FAILED, reason)
        return RejectedRequest(Rejection.NOT_RUN, reason, retry_after_seconds)

    def _log_decision(
        self, decision: str, attempts: Attempts, history: CrashHistory, reason: str
    ) -> None:
        self._metrics.crash_decisions.labels(reason).inc()
        log.info(
            f"send_{decision}",
            request=attempts.request.request_id,
            fingerprint=attempts.fingerprint,
            reason=reason,
            crashes=len(history.crashes),
            doubts=len(history.doubts),
            weight=history.weight,
            presumed=attempts.presumed_losses,
            claim=history.claim.holder if history.claim else None,
            store_ms=self._records.now_ms(),
        )


def _is_exhausted(attempts: Attempts, history: CrashHistory) -> bool:
    """Return whether a request was lost so often that no further worker may get it."""
    return history.weight + attempts.presumed_losses >= MAX_CRASHES
