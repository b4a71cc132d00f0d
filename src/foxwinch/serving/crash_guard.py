"""Limits how many workers end under one request, over all of its repetitions and all nodes.

Everything that runs at a worker when it ends is suspected, most of it without reason. A suspected
request runs again, but one send at a time, under a claim in the shared store, and away from other
suspected ones. A success clears it unless it is a program's. After `MAX_CRASHES` crashes it is not
sent any more until they expire; sends in doubt count as crashes until their workers have proved to
live.
"""

import asyncio
from dataclasses import replace

from foxwinch.clock import Clock
from foxwinch.core.records.crash_history import MAX_CRASHES, CrashHistory
from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.crash_records import CrashRecords
from foxwinch.records.node_registry import MEMORY_MS
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.crash_detection import PROBE_SECONDS, PROBES, LostSend
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
DOUBT_RETRY_AFTER_SECONDS = PROBES * PROBE_SECONDS
"""Time in which health checks resolve a doubt about a send that is over."""
PRESUMED_LOSSES = MAX_CRASHES - 1
"""Losses that may be forgotten at once: a doubt is stored only beside a second one, and a send may
run meanwhile."""
PROOF_WAIT_SECONDS = 0.5
"""Time for which a request waits for proofs of life that may come soon."""
DOUBT_POLL_SECONDS = 0.02
"""Interval at which a request that waits for proofs of life looks for them."""
PROTECTION_SECONDS = 10.0
"""Time for which a crash counts against the limits of a service, which hold for requests under
which two workers have ended."""
MAX_CRASHED_FRACTION = 0.5
"""Fraction of a service's workers that may have crashed recently."""
MIN_REMAINING_WORKERS = 1
"""Number of workers of a service that are spared after recent crashes."""
log = EventLog("crashes")


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
        self._unclaimed: set[str] = set()
        """Fingerprints of suspected requests that run here without a claim."""

    def shared_workers(self, attempts: Attempts) -> frozenset[str]:
        """Return the incarnations at which other suspected requests run."""
        if self._records.table.is_empty:
            return frozenset()
        return frozenset(self._records.table.claimed_workers(attempts.fingerprint))

    def without_lost(self, attempts: Attempts, workers: list[Worker]) -> list[Worker]:
        """Return the workers that have not ended under a request.

        Those that may have ended are a last resort, unless a successor may have their id and be
        taken for them.
        """
        if self._records.table.is_empty:
            return workers
        history = self._records.table.history_of(attempts.fingerprint)
        ended = {crash.worker for crash in history.crashes}
        doubted = {doubt.worker for doubt in history.doubts}
        known_alive = [worker for worker in workers if worker.incarnation not in ended | doubted]
        return known_alive or [
            worker
            for worker in workers
            if worker.incarnation not in ended and worker.started_ms is None
        ]

    async def settle(self, attempts: Attempts) -> None:
        """Wait until it is known which sends of a suspected request were lost with their nodes.

        A request that has too many doubts waits for proofs of life that may come soon.
        """
        if self._records.table.is_empty:
            return
        history = self._records.table.history_of(attempts.fingerprint)
        if history.weight >= MAX_CRASHES:
            await self._wait_for_proofs(attempts, history)
        elif history.weight:
            report = await self._witnesses.settle(attempts.fingerprint)
            attempts.presumed_losses = PRESUMED_LOSSES if report.is_forgotten else 0
            attempts.is_cut_off = report.is_cut_off

    async def _wait_for_proofs(self, attempts: Attempts, history: CrashHistory) -> None:
        """Wait for proofs of life without which a request is rejected, if they may come soon."""
        now = self._clock.monotonic()
        give_up_at = min(now + PROOF_WAIT_SECONDS, attempts.deadline_at) + PROBE_SECONDS
        if self._undecided_seconds(history) > PROOF_WAIT_SECONDS:
            return
        self._lost_sends.resolve(attempts.fingerprint, history)
        while self._clock.monotonic() < give_up_at:
            await self._clock.sleep(DOUBT_POLL_SECONDS)
            if self._records.table.history_of(attempts.fingerprint).weight < MAX_CRASHES:
                return

    def _undecided_seconds(self, history: CrashHistory, presumed_losses: int = 0) -> float:
        """Return the time until so many doubts may be resolved that a request may be sent."""
        now_ms = self._records.now_ms()
        for ends_ms in sorted(doubt.ends_ms for doubt in history.doubts):
            pending = tuple(doubt for doubt in history.doubts if doubt.ends_ms > ends_ms)
            if replace(history, doubts=pending).weight + presumed_losses < MAX_CRASHES:
                return max(0.0, (ends_ms - now_ms) / 1e3)
        return float("inf")

    async def admit(self, attempts: Attempts, worker: Worker) -> RejectedRequest | None:
        """Return None if a request may be sent to a worker now, or why not."""
        attempts.is_suspected, attempts.announced = False, None
        self._note_send(attempts)
        rejected = await self._admit_suspected(attempts, worker)
        if rejected is not None:
            return rejected
        if attempts.announced is None:
            self._note_send(attempts)
            if not attempts.has_claim:
                self._witnesses.announce(attempts, worker)
        return None

    def _note_send(self, attempts: Attempts) -> None:
        attempts.sent_at, attempts.sent_ms = self._clock.monotonic(), self._records.now_ms()

    async def _admit_suspected(self, attempts: Attempts, worker: Worker) -> RejectedRequest | None:
        """Return why a request may not be sent; one that nothing is known of may."""
        if self._records.table.is_empty:
            return None
        history = self._records.table.history_of(attempts.fingerprint)
        if not history.weight:
            return None
        attempts.is_suspected = True
        # This node may be killed during the next send.
        self._lost_sends.share(attempts.fingerprint, attempts.request.request_id, has_claim=False)
        if history.weight > 1:
            self._lost_sends.resolve(attempts.fingerprint, history)
        if history.weight + attempts.presumed_losses >= MAX_CRASHES:
            return self._reject_suspected(attempts, history)
        is_repeated = len(history.crashes) > 1 and history.cause_count > 1
        if is_repeated and self._must_spare(worker.service):
            return self._reject(
                attempts, history, "service_protected", UNAVAILABLE_RETRY_AFTER_SECONDS
            )
        is_single_doubt = not history.crashes and history.weight == 1
        is_announced = attempts.request.program is not None and not attempts.is_cut_off
        if is_single_doubt and is_announced:
            attempts.announced = self._lost_sends.announce(attempts, worker)
            if attempts.announced is not None:
                return None
        return await self._claim(attempts, worker, history)

    async def on_failure(
        self, worker: Worker, interrupted: CallInterrupted, attempts: Attempts
    ) -> None:
        """Find out whether a worker that lost a call has ended, and record it before returning.

        This goes on, and keeps the claim, when the caller leaves meanwhile. A worker that was left
        for its slow response, or that has lost the connection, may still run the call, so only
        later checks can prove its life.
        """
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
        return LostSend(
            worker,
            attempts.fingerprint,
            attempts.request.request_id,
            attempts.sent_ms,
            self._clock.monotonic(),
            attempts.over_at,
            attempts.is_repetition,
        )

    def on_response(self, attempts: Attempts, is_success: bool) -> None:
        """Clear a request of earlier losses if its success proves that it can run.

        A failure proves nothing: the worker may not have run the request. Neither does a success
        about losses after its send. A program repeats a request only if its response was lost, so
        its losses stay and cost nothing.
        """
        self._withdraw(attempts)
        if self._records.table.is_empty:
            return
        history = self._records.table.history_of(attempts.fingerprint)
        if not history.weight:
            return
        is_cleared = is_success and attempts.request.program is None
        log.info(
            "suspected_response",
            request=attempts.request.request_id,
            fingerprint=attempts.fingerprint,
            success=is_success,
            cleared=is_cleared,
            crashes=len(history.crashes),
            doubts=len(history.doubts),
        )
        if not is_cleared:
            return
        attempts.has_claim = False
        self._metrics.crash_decisions.labels("cleared").inc()
        self._lost_sends.clear(
            attempts.fingerprint, attempts.sent_ms, attempts.request.request_id, history
        )

    def on_refusal(self, attempts: Attempts) -> None:
        """Note that a worker has refused to run a request."""
        self._withdraw(attempts)

    def _withdraw(self, attempts: Attempts) -> None:
        """Remove the doubt of a send that has got a response."""
        announced, attempts.announced = attempts.announced, None
        if announced is not None:
            self._lost_sends.withdraw(attempts.fingerprint, announced)

    def on_end(self, attempts: Attempts) -> None:
        """Release what a request holds once it has ended in any way."""
        attempts.has_ended = True
        if attempts.running_on is not None:
            self._give_up(attempts, attempts.running_on)
        if attempts.runs_unclaimed:
            self._unclaimed.discard(attempts.fingerprint)
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

    async def _claim(
        self, attempts: Attempts, worker: Worker, history: CrashHistory
    ) -> RejectedRequest | None:
        outcome = await self._claims.take(attempts, worker)
        if isinstance(outcome, Refused):
            return self._admit_without_store(attempts, history)
        if attempts.has_claim:
            self._log_decision("admitted", attempts, outcome, "claimed")
            return None
        history = self._records.table.history_of(attempts.fingerprint)
        if history.weight >= MAX_CRASHES:
            return self._reject_suspected(attempts, history)
        return self._reject(attempts, outcome, "runs_elsewhere", CLAIMED_RETRY_AFTER_SECONDS)

    def _admit_without_store(
        self, attempts: Attempts, history: CrashHistory
    ) -> RejectedRequest | None:
        """Admit a program's request with one crash, once at a time; others wait for the store.

        The repetitions of a program are sent by one caller, those of other requests by several. A
        node that is cut off from the others as well leaves the request to them.
        """
        fingerprint = attempts.fingerprint
        is_running = fingerprint in self._unclaimed and not attempts.runs_unclaimed
        is_outside = attempts.request.program is None
        if history.weight > 1 or is_running or is_outside or attempts.is_cut_off:
            return self._reject(
                attempts, history, "claim_unavailable", UNAVAILABLE_RETRY_AFTER_SECONDS
            )
        self._unclaimed.add(fingerprint)
        attempts.runs_unclaimed = True
        self._log_decision("admitted", attempts, history, "claim_unavailable")
        return None

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
        """Reject a request until its crashes expire, or some of its doubts are resolved."""
        crash_weight = replace(history, doubts=()).weight
        if crash_weight + attempts.presumed_losses < MAX_CRASHES:
            undecided_seconds = self._undecided_seconds(history, attempts.presumed_losses)
            retry_after = undecided_seconds + DOUBT_RETRY_AFTER_SECONDS
            return self._reject(attempts, history, "workers_in_doubt", retry_after)
        if crash_weight < MAX_CRASHES:
            return self._reject(attempts, history, "sends_forgotten", MEMORY_MS / 1e3)
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
