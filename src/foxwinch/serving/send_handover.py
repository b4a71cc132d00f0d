"""Handover of recorded sends to a node that has started again.

The node asks each node that is a witness of some request beside it for the sends and losses of each
range of fingerprints. Once the other witnesses of a request have responded, it knows all that any
majority of them was told, and confirms sends of that request again.
"""

from dataclasses import dataclass, field

from foxwinch._generated.crashes_pb2 import (
    CrashNoticesMessage,
    HandoverMessage,
    StartedSendMessage,
)
from foxwinch.clock import Clock
from foxwinch.core.records.crash_history import MAX_TIME_MS, Doubt
from foxwinch.core.records.open_sends import RANGES, OpenSend, OpenSends, SenderRun
from foxwinch.log import EventLog
from foxwinch.records.crash_records import CrashRecords
from foxwinch.records.node_registry import NodeRegistry
from foxwinch.serving.crash_notices import CrashNotice, CrashNotices, add_notice

SENDS_PER_DATAGRAM = 10
LOSSES_PER_DATAGRAM = 8
ASK_SECONDS = 0.1
"""Time until a node is asked again for the ranges that have not arrived as a whole."""
MAX_ASK_SECONDS = 1.0
"""Maximum of that time, which doubles each time."""
log = EventLog("handover")


@dataclass(slots=True)
class _Answer:
    """The datagrams of one range that have arrived for one question."""

    question: int = 0
    parts: set[int] = field(default_factory=set)


class SendHandover:
    """Takes over recorded sends after a start, and hands them over to other nodes."""

    def __init__(
        self,
        notices: CrashNotices,
        registry: NodeRegistry,
        records: CrashRecords,
        sends: OpenSends,
        clock: Clock,
        run: int,
    ) -> None:
        """Fill `sends` and hand them over; `run` identifies this run of the process."""
        self._notices = notices
        self._registry = registry
        self._records = records
        self._sends = sends
        self._clock = clock
        self._run = run
        self._taken_over: set[tuple[str, int]] = set()
        """Addresses and ranges that have arrived as a whole."""
        self._answers: dict[tuple[str, int], _Answer] = {}
        self._question = 0

    def remembers(self, fingerprint: str) -> bool:
        """Return whether this node knows all sends of a request that it should have been told of.

        That are those that a majority of the witnesses was told as long as sends are kept.
        """
        if self._registry.remembers:
            return True
        others = [
            address
            for address in self._registry.witnesses(fingerprint)
            if not self._registry.is_own(address)
        ]
        return self._has_taken_over(others, int(fingerprint[0], 16))

    async def take_over(self) -> None:
        """Ask the other nodes until all ranges have arrived, or are no longer kept."""
        started_at = self._clock.monotonic()
        wait_seconds = ASK_SECONDS
        while not self._registry.remembers:
            partners = self._registry.partners()
            if all(self._has_taken_over(partners, number) for number in range(RANGES)):
                self._registry.set_remembering()
                break
            self._question += 1
            for address, number in self._missing():
                question = HandoverMessage(range=number, question=self._question)
                message = CrashNoticesMessage(run=self._run, handover=question)
                self._notices.send_message([address], message)
            await self._clock.sleep(wait_seconds)
            wait_seconds = min(MAX_ASK_SECONDS, 2 * wait_seconds)
        log.info(
            "sends_taken_over",
            sends=len(self._sends),
            nodes=len(self._registry.partners()),
            ranges=len(self._taken_over),
            took_ms=int(1e3 * (self._clock.monotonic() - started_at)),
        )

    def _missing(self) -> list[tuple[str, int]]:
        return [
            (address, number)
            for address in self._registry.partners()
            for number in range(RANGES)
            if (address, number) not in self._taken_over
        ]

    def _has_taken_over(self, addresses: list[str], number: int) -> bool:
        """Return whether other nodes have handed a range over; without any, none could."""
        is_complete = all((address, number) in self._taken_over for address in addresses)
        return self._registry.is_registered and bool(addresses) and is_complete

    def _remembers_range(self, number: int) -> bool:
        partners = self._registry.partners()
        return self._registry.remembers or self._has_taken_over(partners, number)

    def on_message(self, message: CrashNoticesMessage, address: str) -> None:
        """Handle a question, or a part of an answer."""
        handover = message.handover
        if handover.range >= RANGES:
            return
        if handover.parts:
            self._on_answer(message, address)
        else:
            self._answer(handover, address)

    def _answer(self, question: HandoverMessage, address: str) -> None:
        """Send the sends and losses of a range that another node is a witness of."""
        sends = [
            send
            for send in self._sends.in_range(question.range)
            if address in self._registry.witnesses(send.fingerprint)
        ]
        losses = self._losses(question.range, address)
        messages: list[CrashNoticesMessage] = []
        for start in range(0, len(sends), SENDS_PER_DATAGRAM):
            batch = sends[start : start + SENDS_PER_DATAGRAM]
            messages.append(CrashNoticesMessage(sends=[_encode(send) for send in batch]))
        for start in range(0, len(losses), LOSSES_PER_DATAGRAM):
            messages.append(CrashNoticesMessage())
            for notice in losses[start : start + LOSSES_PER_DATAGRAM]:
                add_notice(messages[-1], notice)
        messages = messages or [CrashNoticesMessage()]
        for part, message in enumerate(messages):
            message.run = self._run
            message.handover.CopyFrom(
                HandoverMessage(
                    range=question.range,
                    question=question.question,
                    part=part,
                    parts=len(messages),
                    remembers=self._remembers_range(question.range),
                )
            )
            self._notices.send_message([address], message)

    def _losses(self, number: int, address: str) -> list[CrashNotice]:
        """Return the known losses of a range that are not stored."""
        digit = f"{number:x}"
        return [
            CrashNotice(fingerprint, loss)
            for fingerprint, loss in self._records.table.unstored_losses()
            if fingerprint.startswith(digit) and address in self._registry.witnesses(fingerprint)
        ]

    def _on_answer(self, message: CrashNoticesMessage, address: str) -> None:
        """Keep the sends of a part; its losses have been handled as notices."""
        handover = message.handover
        for each in message.sends:
            if len(each.fingerprint):
                sender = SenderRun(address, message.run)
                self._sends.keep(decode_open_send(each, self._clock.monotonic(), sender))
        if not handover.remembers:
            return
        key = (address, handover.range)
        answer = self._answers.setdefault(key, _Answer())
        if answer.question != handover.question:
            answer.question, answer.parts = handover.question, set()
        answer.parts.add(handover.part)
        if len(answer.parts) >= handover.parts:
            self._taken_over.add(key)
            self._answers.pop(key)


def _encode(send: OpenSend) -> StartedSendMessage:
    return StartedSendMessage(
        fingerprint=bytes.fromhex(send.fingerprint),
        worker=send.doubt.worker,
        sent_ms=send.doubt.sent_ms,
        lasts_ms=max(0, send.doubt.ends_ms - send.doubt.sent_ms),
        unsuspected=not send.doubt.suspected,
        sender=send.sender.address,
        run=send.sender.run,
    )


def decode_open_send(
    message: StartedSendMessage, received_at: float, teller: SenderRun | None = None
) -> OpenSend:
    """Return the send of a record; `teller` has made it if no other sender is named."""
    sent_ms = min(message.sent_ms, MAX_TIME_MS)
    ends_ms = sent_ms + message.lasts_ms
    doubt = Doubt(message.worker, sent_ms, ends_ms, not message.unsuspected, sent_ms, True)
    sender = SenderRun(message.sender, message.run)
    if not message.sender and teller is not None:
        sender = teller
    return OpenSend(message.fingerprint.hex(), sender, doubt, received_at)
