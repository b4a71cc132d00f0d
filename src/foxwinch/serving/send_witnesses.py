"""Sends that outlive the node that made them.

A node that is killed while a worker runs its request takes the knowledge of that send with it, and
the worker may have ended under the request. So each send of a request that nothing is known of is
announced to its witnesses (`core/records/witness_ring.py`), one datagram each, without waiting.
When the request is sent again by another node, its witnesses ask the earlier sender whether it
still runs; if it does not, they put its send in doubt at all nodes. Requests that are already
suspected wait until their witnesses have found that out. If none of the witnesses that all senders
tell has been running for long, sends may be forgotten with all who knew of them.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from foxwinch._generated.crashes_pb2 import CrashNoticesMessage, StartedSendMessage
from foxwinch.clock import Clock
from foxwinch.core.limits.token_bucket import TokenBucket
from foxwinch.core.records.crash_history import MAX_TIME_MS, Doubt
from foxwinch.core.records.open_sends import Findings, OpenSend, OpenSends, SenderRun
from foxwinch.core.records.witness_ring import WITNESS_ZONES
from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog
from foxwinch.records.crash_records import CrashRecords
from foxwinch.records.node_registry import NodeRegistry
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.crash_notices import CrashNotice, CrashNotices, add_notice
from foxwinch.serving.lost_sends import LostSends

EXTRA_WITNESS_SENDS = 15.0
"""Number of sends a second that are announced to all witnesses; more are announced to the first
ones only. An announcement has some 80 bytes with headers, and a node may spend 6 KB a second."""
RESPONSE_SECONDS = 0.05
"""Time in which a node responds that still runs: many round trips between zones."""
ASK_AGAIN_SECONDS = 0.02
"""Time after which a node is asked a second time, as datagrams may be lost."""
LATE_RESPONSE_SECONDS = 5.0
"""Time in which a node that was paused may still respond."""
SETTLE_SECONDS = 0.08
"""Time for which a suspected request waits for its witnesses."""
SETTLE_POLL_SECONDS = 0.003
"""Interval at which responses are looked for."""
MAX_RUN_SECONDS = 3_600.0
"""Maximum duration of a send in an announcement."""
MAX_TOLD_LOSSES = 8
"""Maximum number of losses in a response; three already stop a request."""
MAX_WORKER_BYTES = 256
"""Maximum length of a worker's incarnation in an announcement; the store's keys are shorter."""
log = EventLog("witnesses")


class WitnessReport(NamedTuple):
    """What the witnesses of a request leave unknown."""

    is_forgotten: bool
    """Whether sends may be forgotten with all who knew of them."""
    is_cut_off: bool
    """Whether no other node responded, so that none may hear of a send either."""


@dataclass(slots=True)
class _Inquiry:
    """A question to the witnesses of a request."""

    awaited: set[str] = field(default_factory=set)
    """Addresses of those that have not responded yet."""
    is_heard: bool = False
    is_remembered: bool = False
    """Whether one has responded that was told by every sender, and has not started since."""


class SendWitnesses:
    """Announces the sends of this node, and watches over sends of other nodes."""

    def __init__(
        self,
        notices: CrashNotices,
        registry: NodeRegistry,
        records: CrashRecords,
        lost_sends: LostSends,
        clock: Clock,
        tasks: ServiceTasks,
        run: int,
    ) -> None:
        """Send datagrams by `notices`; `run` identifies this run of the process."""
        self._notices = notices
        self._registry = registry
        self._records = records
        self._lost_sends = lost_sends
        self._clock = clock
        self._tasks = tasks
        self._run = run
        self._own_run = SenderRun("", run)
        self._sends = OpenSends()
        self._extra_sends = TokenBucket.full(EXTRA_WITNESS_SENDS, EXTRA_WITNESS_SENDS, 0.0)
        self._inquiries: dict[str, _Inquiry] = {}
        """Running inquiries by fingerprint."""
        notices.on_message = self._on_message

    def announce(self, attempts: Attempts, worker: Worker) -> None:
        """Tell the witnesses of a request that a send of it starts."""
        # This node may itself be a witness of earlier senders.
        self._act(self._sends.find(attempts.fingerprint, self._own_run))
        addresses = self._registry.witnesses(attempts.fingerprint)
        if not addresses:
            return
        left_seconds = attempts.over_at - self._clock.monotonic()
        lasts_seconds = min(MAX_RUN_SECONDS, max(0.0, left_seconds))
        send = StartedSendMessage(
            fingerprint=bytes.fromhex(attempts.fingerprint),
            worker=worker.incarnation,
            sent_ms=attempts.sent_ms,
            lasts_ms=int(1e3 * lasts_seconds),
            unsuspected=not attempts.is_repetition,
        )
        if not self._extra_sends.try_take(1, self._clock.monotonic()):
            addresses = addresses[:WITNESS_ZONES]
        self._notices.send_message(addresses, CrashNoticesMessage(sends=[send], run=self._run))

    async def settle(self, fingerprint: str) -> WitnessReport:
        """Wait until the witnesses of a request have told of the sends that were lost with nodes.

        One that does not respond is not waited for longer than `SETTLE_SECONDS`. Return what may be
        unknown nevertheless.
        """
        give_up_at = self._clock.monotonic() + SETTLE_SECONDS
        inquiry = self._inquiries.get(fingerprint)
        if inquiry is None:
            inquiry = self._inquiries[fingerprint] = _Inquiry()
            inquiry.awaited.update(self.inquire(fingerprint))
        while inquiry.awaited or self._sends.is_undecided(fingerprint):
            if self._clock.monotonic() >= give_up_at:
                log.info("witnesses_silent", fingerprint=fingerprint, silent=len(inquiry.awaited))
                break
            await self._clock.sleep(SETTLE_POLL_SECONDS)
        self._inquiries.pop(fingerprint, None)
        is_cut_off = bool(inquiry.awaited) and not inquiry.is_heard
        is_remembered = inquiry.is_remembered or self._remembers(fingerprint)
        return WitnessReport(bool(self._registry.others) and not is_remembered, is_cut_off)

    def _remembers(self, fingerprint: str) -> bool:
        """Return whether this node was told of the sends of a request by every sender."""
        return self._registry.remembers and self._registry.is_first_witness(fingerprint)

    def inquire(self, fingerprint: str) -> list[str]:
        """Let the witnesses of a request find its lost sends; return their addresses."""
        self._act(self._sends.find(fingerprint, self._own_run))
        addresses = self._registry.witnesses(fingerprint)
        question = CrashNoticesMessage(asks_about=bytes.fromhex(fingerprint), run=self._run)
        self._notices.send_message(addresses, question)
        return addresses

    def _on_message(self, message: CrashNoticesMessage, address: str) -> None:
        """Handle what a datagram holds beside notices."""
        sender = SenderRun(address, message.run)
        for each in message.sends:
            if len(each.fingerprint) and len(each.worker) <= MAX_WORKER_BYTES:
                self._watch(each, sender)
        if message.asks_run:
            self._notices.send_message([address], CrashNoticesMessage(run=self._run))
        elif message.asks_about:
            self._tasks.start(self._tell(message.asks_about.hex(), sender))
        elif message.told_about:
            self._on_told(message, address)
        elif message.run and not message.sends:
            self._on_run_told(sender)

    def _watch(self, started: StartedSendMessage, sender: SenderRun) -> None:
        """Keep a send of another node, and look for earlier ones of its request."""
        fingerprint = started.fingerprint.hex()
        sent_ms = min(started.sent_ms, MAX_TIME_MS)
        ends_ms = sent_ms + started.lasts_ms
        doubt = Doubt(started.worker, sent_ms, ends_ms, not started.unsuspected, sent_ms)
        send = OpenSend(fingerprint, sender, doubt, self._clock.monotonic())
        self._act(self._sends.add(send))

    def _act(self, findings: Findings) -> None:
        for send in findings.lost:
            self._put_in_doubt(send)
        for sender in findings.asked:
            self._tasks.start(self._ask(sender))

    async def _ask(self, sender: SenderRun) -> None:
        """Ask a run whether it still accounts for its sends; put them in doubt if it does not."""
        message = CrashNoticesMessage(asks_run=True, run=self._run)
        self._notices.send_message([sender.address], message)
        question = self._sends.open_question(sender)
        await self._clock.sleep(ASK_AGAIN_SECONDS)
        self._notices.send_message([sender.address], message)
        await self._clock.sleep(RESPONSE_SECONDS - ASK_AGAIN_SECONDS)
        # The run may have responded, and have been asked again since.
        if question is not None and self._sends.open_question(sender) == question:
            for send in self._sends.on_timeout(sender):
                self._put_in_doubt(send)
        await self._clock.sleep(LATE_RESPONSE_SECONDS)
        self._sends.forget_presumed(sender)

    def _on_told(self, message: CrashNoticesMessage, address: str) -> None:
        fingerprint = message.told_about.hex()
        inquiry = self._inquiries.get(fingerprint)
        if inquiry is None or address not in inquiry.awaited:
            return
        inquiry.awaited.remove(address)
        inquiry.is_heard = True
        if message.remembers and address in self._registry.first_witnesses(fingerprint):
            inquiry.is_remembered = True

    def _on_run_told(self, sender: SenderRun) -> None:
        for send in self._sends.on_response(sender):
            log.info("sender_runs", sender=sender.address, fingerprint=send.fingerprint)
            self._lost_sends.retract(send.fingerprint, send.doubt.send)

    def _put_in_doubt(self, send: OpenSend) -> None:
        log.info(
            "sender_ended",
            sender=send.sender.address,
            fingerprint=send.fingerprint,
            worker=send.doubt.worker,
            sent_ms=send.doubt.lost_ms,
            store_ms=self._records.now_ms(),
        )
        self._lost_sends.adopt(send.fingerprint, send.doubt)

    async def _tell(self, fingerprint: str, asker: SenderRun) -> None:
        """Tell another node of the losses of a request once its earlier senders have responded."""
        self._act(self._sends.find(fingerprint, asker))
        give_up_at = self._clock.monotonic() + RESPONSE_SECONDS + SETTLE_POLL_SECONDS
        while self._sends.is_undecided(fingerprint) and self._clock.monotonic() < give_up_at:
            await self._clock.sleep(SETTLE_POLL_SECONDS)
        losses = self._records.table.history_of(fingerprint).losses[-MAX_TOLD_LOSSES:]
        message = CrashNoticesMessage(
            told_about=bytes.fromhex(fingerprint),
            run=self._run,
            remembers=self._registry.remembers,
        )
        for loss in losses:
            add_notice(message, CrashNotice(fingerprint, loss))
        self._notices.send_message([asker.address], message)
