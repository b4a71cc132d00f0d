"""Sends without a response: whether their workers have ended is found out and told to other nodes.

A send without a response is in doubt, and counts like a crash: its worker may still run it, and end
under it. Doubts are told to the other nodes before the request is sent again or ends; they are
stored only if several sends of the request are in doubt or have ended their workers, as only then
they decide about the next send.
"""

from dataclasses import dataclass
from functools import partial

from cachetools import LRUCache

from foxwinch.clock import Clock
from foxwinch.core.records.crash_history import Crash, CrashHistory, Doubt, SendKey
from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog
from foxwinch.records.crash_records import CrashRecords
from foxwinch.records.store_state import ObservedStore
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.crash_detection import CrashDetector, LostSend
from foxwinch.serving.crash_notices import CrashNotice, CrashNotices
from foxwinch.serving.messages import ProbeResult
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.ports import RoutingView

SAVE_WAIT_SECONDS = 0.1
"""Maximum time that a failed call's caller waits for the crash to be stored. Notices tell the other
nodes while the store is slow."""
MAX_OWN = 4_096
"""Number of requests whose doubts this node accounts for; the others stay in its table."""
MAX_CLEARED = 4_096
"""Number of cleared doubts that are kept."""
log = EventLog("crashes")


@dataclass(slots=True)
class _OwnDoubt:
    """A doubt of a send of this node."""

    doubt: Doubt
    request_id: str
    lost: LostSend | None
    """The send, once it is lost; None while its worker runs it."""
    is_shared: bool = False
    is_stored: bool = False


class LostSends:
    """Tracks lost sends until it is known whether their workers have ended."""

    def __init__(
        self,
        records: CrashRecords,
        detector: CrashDetector,
        notices: CrashNotices,
        routing: RoutingView,
        store: ObservedStore,
        clock: Clock,
        metrics: ServingMetrics,
        tasks: ServiceTasks,
        node: str,
    ) -> None:
        """Track the sends of a node; `node` must be unique to this run of the process."""
        self._records = records
        self._detector = detector
        self._notices = notices
        self._routing = routing
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._node = node
        self._own: dict[str, dict[SendKey, _OwnDoubt]] = {}
        """Doubts of this node's sends, and of those that it accounts for, by fingerprint."""
        self._watched: set[tuple[str, SendKey]] = set()
        """Fingerprints and sends of the doubts whose workers this node watches."""
        self._cleared: LRUCache[tuple[str, Crash | Doubt], bool] = LRUCache(MAX_CLEARED)
        """Doubts that were cleared; their notices may still arrive."""
        notices.on_notice = self._on_notice
        notices.list_unstored = self._list_unstored

    def holder(self, request_id: str) -> str:
        """Return the name by which a request of this node holds a claim."""
        return f"{self._node}/{request_id}"

    def add(self, lost: LostSend) -> None:
        """Put a send in doubt whose worker may still run it."""
        self._add_doubt(lost)
        self._start_watching(lost)

    async def settle(self, lost: LostSend) -> bool:
        """Put a send in doubt whose connection was lost, and check its worker before returning.

        Return whether the worker has ended, which is then recorded and releases the request's
        claim.
        """
        self._add_doubt(lost)
        result = await self._detector.check(lost.worker, lost.request_id, lost.fingerprint)
        if result is ProbeResult.ENDED:
            await self._record(lost)
            return True
        self._start_watching(lost)
        return False

    def announce(self, attempts: Attempts) -> None:
        """Put a running send in doubt at all nodes until it gets its response."""
        assert attempts.send is not None
        now, now_ms = self._clock.monotonic(), self._records.now_ms()
        ends_ms = now_ms + int(1e3 * max(0.0, attempts.deadline_at - now))
        worker, sent_ms = attempts.send
        doubt = Doubt(worker, now_ms, ends_ms, sent_ms=sent_ms, is_presumed=True)
        if self._records.table.add_doubt(attempts.fingerprint, doubt):
            own = self._own_of(attempts.fingerprint)
            own[doubt.send] = _OwnDoubt(doubt, attempts.request.request_id, None, is_shared=True)
            self._notices.send(CrashNotice(attempts.fingerprint, doubt))
        attempts.announced = doubt

    def adopt(self, fingerprint: str, doubt: Doubt) -> None:
        """Put a send of a node that has ended in doubt, at all nodes."""
        is_doubted = doubt.send in self._own.get(fingerprint, {})
        if is_doubted or not self._records.table.add_doubt(fingerprint, doubt):
            return
        self._own_of(fingerprint)[doubt.send] = _OwnDoubt(doubt, "", None, is_shared=True)
        self._metrics.crash_decisions.labels("adopted").inc()
        self._notices.send(CrashNotice(fingerprint, doubt))
        if self._is_needed(fingerprint):
            self._store_own(fingerprint)
        workers = {each.incarnation: each for each in self._routing.directory.known_workers()}
        worker = workers.get(doubt.worker)
        if worker is not None:
            self._start_watching(self._lost_send(fingerprint, doubt, worker))

    def retract(self, fingerprint: str, send: SendKey) -> None:
        """Remove the doubt of an adopted send whose node still accounts for it."""
        own = self._own.get(fingerprint, {}).get(send)
        if own is not None and not own.request_id:
            self._remove(fingerprint, own.doubt)

    def withdraw(self, fingerprint: str, doubt: Doubt) -> None:
        """Remove the doubt of an announced send that has got a response."""
        self._remove(fingerprint, doubt)

    def clear(
        self, fingerprint: str, before_ms: int, request_id: str, history: CrashHistory
    ) -> None:
        """Forget the losses of a request before `before_ms`, at all nodes, as it can run.

        The claim that the request has is released.
        """
        for doubt in history.doubts:
            if doubt.lost_ms < before_ms:
                self._drop_send(fingerprint, doubt.send)
                self._records.table.forget_doubt(fingerprint, doubt)
                self._cleared[fingerprint, doubt] = True
                self._notices.send(CrashNotice(fingerprint, doubt, is_cleared=True))
        self._records.clear_losses(fingerprint, before_ms, self.holder(request_id))

    def share(self, fingerprint: str, request_id: str, has_claim: bool) -> bool:
        """Tell the other nodes of this node's doubts; return whether that releases the claim."""
        own = self._own.get(fingerprint)
        if own is None:
            return False
        unshared = [each for each in own.values() if not each.is_shared]
        for each in unshared:
            each.is_shared = True
            self._notices.send(CrashNotice(fingerprint, each.doubt))
        if has_claim or self._is_needed(fingerprint):
            self._store_own(fingerprint)
        return has_claim and any(each.request_id == request_id for each in unshared)

    def watch(self, fingerprint: str, history: CrashHistory) -> None:
        """Watch the workers of a request's doubts, whichever node has these."""
        if not history.doubts:
            return
        workers = {each.incarnation: each for each in self._routing.directory.known_workers()}
        for doubt in history.doubts:
            worker = workers.get(doubt.worker)
            if worker is not None and (fingerprint, doubt.send) not in self._watched:
                self._start_watching(self._lost_send(fingerprint, doubt, worker))

    def _lost_send(self, fingerprint: str, doubt: Doubt, worker: Worker) -> LostSend:
        """Return the lost send of another node's doubt."""
        now, now_ms = self._clock.monotonic(), self._records.now_ms()
        return LostSend(
            worker,
            fingerprint,
            request_id="",
            send=doubt.send,
            lost_at=now + (doubt.lost_ms - now_ms) / 1e3,
            deadline_at=now + (doubt.ends_ms - now_ms) / 1e3,
            suspected=doubt.suspected,
        )

    def _add_doubt(self, lost: LostSend) -> None:
        now, now_ms = self._clock.monotonic(), self._records.now_ms()
        ends_ms = now_ms + int(1e3 * max(0.0, lost.deadline_at - now))
        earlier = self._own.get(lost.fingerprint, {}).get(lost.send)
        lost_ms = now_ms if earlier is None else max(now_ms, earlier.doubt.lost_ms + 1)
        doubt = Doubt(lost.send.worker, lost_ms, ends_ms, lost.suspected, lost.send.sent_ms)
        if self._records.table.add_doubt(lost.fingerprint, doubt):
            own = self._own_of(lost.fingerprint)
            own[lost.send] = _OwnDoubt(doubt, lost.request_id, lost)
            self._metrics.crash_decisions.labels("doubted").inc()

    def _start_watching(self, lost: LostSend) -> None:
        key = (lost.fingerprint, lost.send)
        if key not in self._watched:
            self._watched.add(key)
            self._tasks.start(self._watch(lost))

    async def _watch(self, lost: LostSend) -> None:
        has_ended = await self._detector.wait_for_end(
            lost,
            is_open=lambda: self._is_open(lost),
            is_needed=lambda: self._is_needed(lost.fingerprint),
        )
        self._watched.discard((lost.fingerprint, lost.send))
        self._drop_send(lost.fingerprint, lost.send)
        if has_ended:
            await self._record(lost)
        elif self._is_open(lost):
            log.info("doubt_not_watched", **self._log_fields(lost))

    def _is_open(self, lost: LostSend) -> bool:
        """Return whether a send is still in doubt."""
        doubts = self._records.table.history_of(lost.fingerprint).doubts
        return any(doubt.send == lost.send for doubt in doubts)

    def _is_needed(self, fingerprint: str) -> bool:
        """Return whether doubts of a request decide about its next send."""
        return self._records.table.history_of(fingerprint).weight > 1

    def _remove(self, fingerprint: str, doubt: Doubt) -> None:
        """Remove the doubt of a send that is over, at the other nodes too."""
        self._drop_send(fingerprint, doubt.send)
        self._records.remove_doubt(fingerprint, doubt)
        self._cleared[fingerprint, doubt] = True
        self._notices.send(CrashNotice(fingerprint, doubt, is_cleared=True))

    def _log_fields(self, lost: LostSend) -> dict[str, object]:
        """Return what the log lines of a lost send have in common."""
        return {
            "request": lost.request_id,
            "fingerprint": lost.fingerprint,
            "worker": lost.worker.worker_id,
            "started_ms": lost.worker.started_ms,
            "lost_ago_ms": int(1e3 * (self._clock.monotonic() - lost.lost_at)),
        }

    def _own_of(self, fingerprint: str) -> dict[SendKey, _OwnDoubt]:
        """Return this node's doubts of a request, to add one."""
        if fingerprint not in self._own and len(self._own) >= MAX_OWN:
            self._own.pop(next(iter(self._own)))
        return self._own.setdefault(fingerprint, {})

    def _drop_send(self, fingerprint: str, send: SendKey) -> None:
        own = self._own.get(fingerprint, {})
        own.pop(send, None)
        if not own:
            self._own.pop(fingerprint, None)

    def _store_own(self, fingerprint: str) -> None:
        """Store the shared doubts of this node for a request."""
        own = self._own.get(fingerprint)
        if own is None:
            return
        for each in own.values():
            if each.is_shared and not each.is_stored:
                each.is_stored = True
                holder = self.holder(each.request_id)
                self._records.start_save(fingerprint, partial(_add, each.doubt, holder))

    async def _record(self, lost: LostSend) -> None:
        """Tell the other nodes of a crash and store it."""
        crash = Crash(
            lost.send.worker,
            self._store_ms(lost.lost_at),
            lost.suspected,
            lost.send.sent_ms,
        )
        self._drop_send(lost.fingerprint, crash.send)
        is_new = self._records.table.add_crash(lost.fingerprint, crash)
        if is_new:
            self._notices.send(CrashNotice(lost.fingerprint, crash))
        started_at = self._clock.monotonic()
        wait_seconds = 0.0 if self._store.is_degraded() else SAVE_WAIT_SECONDS
        holder = self.holder(lost.request_id)
        is_stored = await self._records.save(
            lost.fingerprint, partial(_add, crash, holder), wait_seconds
        )
        self._metrics.crash_decisions.labels("recorded").inc()
        log.warning(
            "worker_ended",
            **self._log_fields(lost),
            crashes=len(self._records.table.history_of(lost.fingerprint).crashes),
            new=is_new,
            stored=is_stored,
            waited_ms=int(1e3 * (self._clock.monotonic() - started_at)),
        )

    def _store_ms(self, at: float) -> int:
        """Return a monotonic time on the store's clock."""
        return max(0, self._records.now_ms() - int(1e3 * (self._clock.monotonic() - at)))

    def _list_unstored(self, most: int) -> list[CrashNotice]:
        """Return notices of known losses that are not stored, for a node that has just started.

        Doubts that this node has not shared are still being checked.
        """
        return [
            CrashNotice(fingerprint, loss)
            for fingerprint, loss in self._records.table.unstored_losses(most)
            if not self._is_unshared(fingerprint, loss)
        ]

    def _is_unshared(self, fingerprint: str, loss: Crash | Doubt) -> bool:
        own = self._own.get(fingerprint, {}).get(loss.send)
        return own is not None and not own.is_shared

    def _on_notice(self, notice: CrashNotice) -> bool:
        """Add a notice of another node; return whether it was new."""
        fingerprint, loss, is_cleared = notice
        if is_cleared:
            return self._on_cleared(notice)
        if isinstance(loss, Doubt):
            is_cleared = (fingerprint, loss) in self._cleared
            is_new = not is_cleared and self._records.table.add_doubt(fingerprint, loss)
        else:
            is_new = self._records.table.add_crash(fingerprint, loss)
        if not is_new:
            return False
        history = self._records.table.history_of(fingerprint)
        log.info(
            "crash_notice",
            fingerprint=fingerprint,
            worker=loss.worker,
            is_doubt=isinstance(loss, Doubt),
            crashes=len(history.crashes),
            doubts=len(history.doubts),
        )
        if history.weight > 1:
            self._store_own(fingerprint)
        return True

    def _on_cleared(self, notice: CrashNotice) -> bool:
        """Forget the doubt of another node's send that is over."""
        key = (notice.fingerprint, notice.loss)
        if key in self._cleared:
            return False
        self._cleared[key] = True
        if isinstance(notice.loss, Doubt):
            self._drop_send(notice.fingerprint, notice.loss.send)
            self._records.table.forget_doubt(notice.fingerprint, notice.loss)
        return True


def _add(loss: Crash | Doubt, holder: str, history: CrashHistory) -> CrashHistory:
    """Return a history with a loss, and without the claim of its holder."""
    if isinstance(loss, Doubt):
        return history.with_doubt(loss, holder)
    return history.with_crash(loss, holder)
