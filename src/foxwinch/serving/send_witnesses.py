"""Records of sends that outlive the nodes that make them.

A node that is killed while a worker runs its request takes the knowledge of that send with it, and
the worker may end under the request. So each send is recorded by a majority of the request's
witnesses before it is made (`core/records/witness_ring.py`). Their confirmations tell what they
know of earlier sends: those that were lost, and those whose nodes do not run any more. A witness
that has started again confirms nothing until it has taken over what the others were told.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from foxwinch._generated.crashes_pb2 import CrashNoticesMessage, StartedSendMessage
from foxwinch.clock import Clock
from foxwinch.core.records.open_sends import Findings, OpenSend, OpenSends, Question, SenderRun
from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog
from foxwinch.records.crash_records import CrashRecords
from foxwinch.records.node_registry import NodeRegistry
from foxwinch.records.send_records import SendRecords
from foxwinch.service_tasks import ServiceTasks
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.crash_notices import CrashNotice, CrashNotices, add_notice
from foxwinch.serving.lost_sends import LostSends
from foxwinch.serving.send_handover import SendHandover, decode_open_send

RESPONSE_SECONDS = 0.2
"""Time in which a node responds that still runs, also one whose processor is throttled."""
ASK_AGAIN_SECONDS = 0.02
"""Time after which a node is asked a second time, as datagrams may be lost."""
LATE_RESPONSE_SECONDS = 5.0
"""Time in which a node that was paused may still respond."""
DECISION_POLL_SECONDS = 0.003
"""Interval at which a witness looks whether the nodes of earlier sends have responded."""
CONFIRM_SECONDS = 0.06
"""Time in which witnesses confirm a send; one that does not is left out until it is heard of."""
DECIDE_SECONDS = CONFIRM_SECONDS + RESPONSE_SECONDS
"""The same if a witness has to ask the node of an earlier send first."""
START_POLL_SECONDS = 0.05
"""Interval at which a starting node looks whether it is registered."""
SUSPECTED_SECONDS = 0.5
"""The same for a request with known losses, which needs the witnesses to be sent again."""
OPEN_SECONDS = 0.3
"""Timeout of the write before the first send of the system."""
STORE_SECONDS = 0.5
"""Time in which a send is stored that has to be."""
MAX_RUN_SECONDS = 3_600.0
"""Maximum duration of a send in a record."""
MAX_TOLD_LOSSES = 4
"""Maximum number of losses in a response; three already stop a request."""
MAX_WORKER_BYTES = 256
"""Maximum length of a worker's incarnation in a record; the store's keys are shorter."""
MAX_NUMBER = 2**32 - 1
log = EventLog("witnesses")


@dataclass(slots=True)
class _Registration:
    """A send of this node that is being recorded."""

    fingerprint: str
    payload: CrashNoticesMessage
    told: set[str] = field(default_factory=set)
    """Addresses of the witnesses that it was sent to."""
    heard: set[str] = field(default_factory=set)
    """Those that have responded."""
    undecided: set[str] = field(default_factory=set)
    """Those that are still asking the node of an earlier send."""
    recorded: set[str] = field(default_factory=set)
    """Those that have recorded it, and know the stored sends."""
    confirmed: set[str] = field(default_factory=set)
    """Those of them that know all earlier sends that they were told of."""
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    is_repeated: bool = False
    """Whether the witnesses that did not respond were told again."""


class Registration(NamedTuple):
    """How far a send is recorded, and the earlier ones of its request are known."""

    is_recorded: bool
    """Whether the send is known if all nodes but the witnesses are killed, and also if those are,
    as long as they remember."""
    is_remembered: bool
    """Whether a majority of the witnesses knows all earlier sends."""


class SendWitnesses:
    """Records the sends of this node at their witnesses, and keeps those of other nodes."""

    def __init__(
        self,
        notices: CrashNotices,
        registry: NodeRegistry,
        records: CrashRecords,
        lost_sends: LostSends,
        stored: SendRecords,
        clock: Clock,
        tasks: ServiceTasks,
        run: int,
    ) -> None:
        """Send datagrams by `notices`; `run` identifies this run of the process."""
        self._notices = notices
        self._registry = registry
        self._records = records
        self._lost_sends = lost_sends
        self._stored = stored
        self._clock = clock
        self._tasks = tasks
        self._run = run
        self._sends = OpenSends()
        self.handover = SendHandover(notices, registry, records, self._sends, clock, run)
        self._registrations: dict[int, _Registration] = {}
        """Running registrations by number."""
        self._last_number = 0
        self._has_restored = False
        """Whether the stored sends are known."""
        self._stored_sends: dict[tuple[str, int], StartedSendMessage] = {}
        """Stored sends of this node that are not over, by fingerprint and number."""
        self._silent: set[str] = set()
        """Addresses of nodes that did not respond, until they are heard of."""
        self.on_asked: Callable[[str], None] = lambda fingerprint: None
        """Called when another node asks for this node's sends of a request."""
        notices.on_message = self._on_message

    @property
    def kept(self) -> OpenSends:
        """The sends that this node keeps as a witness."""
        return self._sends

    @property
    def _own_run(self) -> SenderRun:
        return SenderRun(self._registry.address, self._run)

    async def take_over(self) -> None:
        """Take over the sends that this node was told of before it started."""
        while not self._registry.is_registered:
            await self._clock.sleep(START_POLL_SECONDS)
        self._sends.note_run(self._own_run)
        if not self._registry.remembers:
            for message in await self._stored.read(self._registry.registered_version):
                self._sends.keep(decode_open_send(message, self._clock.monotonic()))
        self._has_restored = True
        await self.handover.take_over()

    async def register(self, attempts: Attempts, worker: Worker) -> Registration:
        """Record a send that is about to be made, and learn of the earlier ones of its request.

        A majority of the witnesses is told. If they do not know all earlier sends, all nodes may
        have been killed at once; the send is then stored too.
        """
        if not self._registry.address:
            return Registration(is_recorded=True, is_remembered=True)
        if not await self._registry.open(OPEN_SECONDS):
            return Registration(is_recorded=False, is_remembered=False)
        registration = await self._tell_witnesses(attempts, worker)
        if registration.is_remembered or not registration.is_recorded:
            return registration
        message = self._encode_send(attempts, worker, self._own_run)
        self._stored_sends[attempts.fingerprint, message.sent_ms] = message
        is_stored = await self._stored.add(message, STORE_SECONDS)
        return registration._replace(is_recorded=is_stored)

    async def _tell_witnesses(self, attempts: Attempts, worker: Worker) -> Registration:
        fingerprint = attempts.fingerprint
        addresses = self._registry.witnesses(fingerprint)
        number = self._next_number()
        send = self._encode_send(attempts, worker)
        payload = CrashNoticesMessage(sends=[send], run=self._run, number=number)
        registration = _Registration(fingerprint, payload)
        majority = len(addresses) // 2 + 1
        self._registrations[number] = registration
        try:
            if self._registry.address in addresses:
                self._keep(payload.sends[0], self._own_run)
                addresses.remove(self._registry.address)
                registration.told.add(self._registry.address)
                registration.heard.add(self._registry.address)
                self._note_confirmation(
                    registration,
                    self._registry.address,
                    self._has_restored,
                    self.handover.remembers(fingerprint),
                )
            return await self._await_majority(registration, addresses, majority)
        finally:
            del self._registrations[number]

    async def _await_majority(
        self, registration: _Registration, addresses: list[str], majority: int
    ) -> Registration:
        """Tell as many witnesses as needed, and wait for their confirmations."""
        # Those that have not responded lately are told last.
        waiting = sorted(addresses, key=self._is_silent)
        started_at = self._clock.monotonic()
        while True:
            elapsed = self._clock.monotonic() - started_at
            needed = majority - len(registration.confirmed) - len(self._awaited(registration))
            if elapsed >= ASK_AGAIN_SECONDS and not registration.is_repeated:
                registration.is_repeated = True
                for address in registration.told - registration.heard:
                    self._tell(registration, address)
                needed = len(waiting)
            while needed > 0 and waiting:
                address = waiting.pop(0)
                self._tell(registration, address)
                needed -= not self._is_silent(address)
            is_own_decided = self._is_own_decided(registration)
            if len(registration.confirmed) >= majority and is_own_decided:
                return Registration(is_recorded=True, is_remembered=True)
            is_complete = not self._awaited(registration) and not registration.undecided
            if (is_complete and is_own_decided) or elapsed >= self._patience(registration):
                break
            await self._wait_for_change(registration, is_own_decided)
        silent = registration.told - registration.heard
        self._silent |= silent
        log.info(
            "send_not_confirmed",
            fingerprint=registration.fingerprint,
            told=len(registration.told),
            confirmed=len(registration.confirmed),
            recorded=len(registration.recorded),
            silent=len(silent),
            undecided=len(registration.undecided),
            waited_ms=int(1e3 * elapsed),
        )
        is_recorded = len(registration.recorded) >= majority and is_own_decided
        return Registration(is_recorded, is_remembered=False)

    def _awaited(self, registration: _Registration) -> set[str]:
        """Return the addresses of the witnesses that may still respond."""
        is_ignored = self._registry.is_stopped
        if not self._is_suspected(registration):
            is_ignored = self._is_silent
        pending = registration.told - registration.heard
        return {address for address in pending if not is_ignored(address)}

    def _is_suspected(self, registration: _Registration) -> bool:
        return self._records.table.history_of(registration.fingerprint).weight > 0

    def _is_own_decided(self, registration: _Registration) -> bool:
        return not self._sends.is_undecided(registration.fingerprint, self._own_run)

    def _patience(self, registration: _Registration) -> float:
        """Return the time for which the witnesses of a send are waited for."""
        if self._is_suspected(registration):
            return SUSPECTED_SECONDS
        if self._awaited(registration):
            return CONFIRM_SECONDS
        return DECIDE_SECONDS

    async def _wait_for_change(self, registration: _Registration, is_own_decided: bool) -> None:
        """Wait until a witness responds, or something is to be done."""
        registration.changed.clear()
        seconds = ASK_AGAIN_SECONDS if is_own_decided else DECISION_POLL_SECONDS
        try:
            async with asyncio.timeout(seconds):
                await registration.changed.wait()
        except TimeoutError:
            return

    def _tell(self, registration: _Registration, address: str) -> None:
        registration.told.add(address)
        self._notices.send_message([address], registration.payload)

    def _is_silent(self, address: str) -> bool:
        return address in self._silent or self._registry.is_stopped(address)

    def settle(self, attempts: Attempts) -> None:
        """Let the witnesses forget a send that got its response.

        Those of programs are repeated only if their response was lost, and need no such message.
        """
        if attempts.send is None:
            return
        self._remove_stored(attempts.fingerprint, attempts.send.sent_ms)
        if attempts.request.program is None:
            self._tell_settled(attempts, attempts.send.sent_ms)

    def settle_unused(self, attempts: Attempts) -> None:
        """Let the witnesses forget a send that was not made."""
        assert attempts.unused_sent_ms is not None
        self._tell_settled(attempts, attempts.unused_sent_ms)

    def _tell_settled(self, attempts: Attempts, sent_ms: int) -> None:
        self._remove_stored(attempts.fingerprint, sent_ms)
        self._sends.settle(attempts.fingerprint, self._own_run, sent_ms)
        settled = StartedSendMessage(
            fingerprint=bytes.fromhex(attempts.fingerprint), sent_ms=sent_ms
        )
        addresses = [
            address
            for address in self._registry.witnesses(attempts.fingerprint)
            if not self._registry.is_own(address) and not self._is_silent(address)
        ]
        self._notices.send_message(addresses, CrashNoticesMessage(settled=settled, run=self._run))

    def _remove_stored(self, fingerprint: str, sent_ms: int) -> None:
        message = self._stored_sends.pop((fingerprint, sent_ms), None)
        if message is not None:
            self._stored.remove(message)

    def _next_number(self) -> int:
        self._last_number = self._last_number % MAX_NUMBER + 1
        return self._last_number

    def _encode_send(
        self, attempts: Attempts, worker: Worker, sender: SenderRun | None = None
    ) -> StartedSendMessage:
        """Return the record of a send, with its sender if that is not the one of the datagram."""
        assert attempts.send is not None
        left_seconds = attempts.deadline_at - self._clock.monotonic()
        lasts_seconds = min(MAX_RUN_SECONDS, max(0.0, left_seconds))
        send = StartedSendMessage(
            fingerprint=bytes.fromhex(attempts.fingerprint),
            worker=worker.incarnation,
            sent_ms=attempts.send.sent_ms,
            lasts_ms=int(1e3 * lasts_seconds),
            unsuspected=not attempts.is_repetition,
        )
        if sender is not None:
            send.sender, send.run = sender
        return send

    def _on_message(self, message: CrashNoticesMessage, address: str) -> None:
        """Handle what a datagram holds beside notices."""
        self._silent.discard(address)
        sender = SenderRun(address, message.run)
        if message.HasField("handover"):
            self.handover.on_message(message, address)
            return
        for each in message.sends:
            if len(each.fingerprint) and len(each.worker) <= MAX_WORKER_BYTES:
                self._keep(each, sender)
                if message.number:
                    self._confirm(each.fingerprint.hex(), sender, message.number)
        if message.HasField("settled"):
            settled = message.settled
            self._sends.settle(settled.fingerprint.hex(), sender, settled.sent_ms)
        elif message.asks_run:
            self._tell_own(message.asks_about.hex(), address)
        elif message.number and message.told_about:
            self._on_confirmed(message, address)
        elif message.run and not message.sends:
            self._on_run_told(message.told_about.hex(), sender)

    def _keep(self, started: StartedSendMessage, sender: SenderRun) -> None:
        """Keep a send, and look for earlier ones of its request."""
        self._act(self._sends.add(decode_open_send(started, self._clock.monotonic(), sender)))

    def _act(self, findings: Findings) -> None:
        for send in findings.lost:
            self._put_in_doubt(send)
        for question in findings.asked:
            if question.sender == self._own_run:
                self.on_asked(question.fingerprint)
                self._sends.on_response(question)
            else:
                self._tasks.start(self._ask(question))

    async def _ask(self, question: Question) -> None:
        """Ask a run whether it still accounts for its sends; put them in doubt if it does not."""
        message = CrashNoticesMessage(
            asks_run=True, asks_about=bytes.fromhex(question.fingerprint), run=self._run
        )
        address = question.sender.address
        number = self._sends.number_of(question)
        self._notices.send_message([address], message)
        await self._clock.sleep(ASK_AGAIN_SECONDS)
        if self._sends.number_of(question) == number:
            self._notices.send_message([address], message)
            await self._clock.sleep(RESPONSE_SECONDS - ASK_AGAIN_SECONDS)
        # The run may have responded, and have been asked again since.
        if number is not None and self._sends.number_of(question) == number:
            for send in self._sends.on_timeout(question):
                self._put_in_doubt(send)
            await self._clock.sleep(LATE_RESPONSE_SECONDS)
            self._sends.forget_presumed(question)

    def _tell_own(self, fingerprint: str, address: str) -> None:
        """Tell another node that this run still accounts for its sends, and which were lost."""
        self.on_asked(fingerprint)
        self._notices.send_message([address], self._encode_losses(fingerprint))

    def _on_run_told(self, fingerprint: str, sender: SenderRun) -> None:
        """Note the response of a node that was asked for its sends of a request."""
        self._sends.note_run(sender)
        for send in self._sends.on_response(Question(fingerprint, sender)):
            log.info("sender_runs", sender=sender.address, fingerprint=send.fingerprint)
            # The caller of a program has left the send and makes another one.
            if not send.doubt.suspected:
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

    def _confirm(self, fingerprint: str, sender: SenderRun, number: int) -> None:
        """Confirm a send, at once and again when all earlier senders have responded."""
        self._send_confirmation(fingerprint, sender, number)
        if self._sends.is_undecided(fingerprint, sender):
            self._tasks.start(self._confirm_later(fingerprint, sender, number))

    async def _confirm_later(self, fingerprint: str, sender: SenderRun, number: int) -> None:
        give_up_at = self._clock.monotonic() + DECIDE_SECONDS
        while self._sends.is_undecided(fingerprint, sender):
            if self._clock.monotonic() >= give_up_at:
                return
            await self._clock.sleep(DECISION_POLL_SECONDS)
        self._send_confirmation(fingerprint, sender, number)

    def _send_confirmation(self, fingerprint: str, sender: SenderRun, number: int) -> None:
        message = self._encode_losses(fingerprint)
        message.number = number
        message.restored = self._has_restored
        message.remembers = self.handover.remembers(fingerprint)
        message.undecided = self._sends.is_undecided(fingerprint, sender)
        self._notices.send_message([sender.address], message)

    def _encode_losses(self, fingerprint: str) -> CrashNoticesMessage:
        message = CrashNoticesMessage(told_about=bytes.fromhex(fingerprint), run=self._run)
        for loss in self._records.table.history_of(fingerprint).losses[-MAX_TOLD_LOSSES:]:
            add_notice(message, CrashNotice(fingerprint, loss))
        return message

    def _on_confirmed(self, message: CrashNoticesMessage, address: str) -> None:
        registration = self._registrations.get(message.number)
        if registration is None or registration.fingerprint != message.told_about.hex():
            return
        registration.heard.add(address)
        if message.undecided:
            registration.undecided.add(address)
        else:
            registration.undecided.discard(address)
            if address in registration.told:
                self._note_confirmation(registration, address, message.restored, message.remembers)
        registration.changed.set()

    def _note_confirmation(
        self, registration: _Registration, address: str, has_restored: bool, remembers: bool
    ) -> None:
        if has_restored or remembers:
            registration.recorded.add(address)
        if remembers:
            registration.confirmed.add(address)
