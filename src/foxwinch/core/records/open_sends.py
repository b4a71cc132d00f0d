"""The sends that a witness was told of, and which of them were lost with their nodes.

A node that sends a request accounts for the send itself as long as it runs: it puts it in doubt if
it gets no response. A witness takes the node's place once it has ended. It finds that out only when
it has to: when another node sends the same request.
"""

from collections.abc import Iterator
from typing import NamedTuple

from foxwinch.core.records.crash_history import Doubt

KEPT_SECONDS = 60.0
"""Time for which a witness keeps a send. Programs that were stopped may return within a minute."""
MAX_SENDS = 20_000
"""Maximum number of sends that a witness keeps."""
RANGES = 16
"""Number of ranges of fingerprints, by their first hexadecimal digit."""


class SenderRun(NamedTuple):
    """One run of the process of a node that sends requests."""

    address: str
    """`ip:port` at which the node takes datagrams."""
    run: int


class OpenSend(NamedTuple):
    """A send that its node may no longer account for."""

    fingerprint: str
    sender: SenderRun
    doubt: Doubt
    """What the send becomes if its node has ended."""
    received_at: float
    """Monotonic time of the receipt at the witness."""


class Question(NamedTuple):
    """A question to the node of some sends whether it still accounts for them."""

    fingerprint: str
    sender: SenderRun


class Findings(NamedTuple):
    """What a witness has to do about the earlier sends of a request."""

    lost: list[OpenSend]
    """Sends whose nodes have ended."""
    asked: list[Question]
    """Questions that have to be asked."""


class OpenSends:
    """The sends that one witness keeps, and the questions about them."""

    def __init__(self) -> None:
        """Start without sends."""
        self._sends: dict[str, list[OpenSend]] = {}
        """Sends by fingerprint, those of the least recently sent request first."""
        self._count = 0
        self._runs: dict[str, int] = {}
        """The latest known run by address."""
        self._questions: dict[Question, int] = {}
        """Numbers of the questions without a response."""
        self._question_count = 0
        self._presumed_lost: dict[Question, list[OpenSend]] = {}
        """Sends of runs that did not respond in time; one that responds later takes them back."""

    def __len__(self) -> int:
        return self._count

    def add(self, send: OpenSend) -> Findings:
        """Keep a send that starts and return the findings about earlier ones of its request.

        A send that is known with another worker was refused there.
        """
        self._note_run(send.sender)
        findings = self.find(send.fingerprint, send.sender)
        self.keep(send)
        return findings

    def keep(self, send: OpenSend) -> None:
        """Keep a send, also one that another witness has handed over."""
        sends = self._sends.pop(send.fingerprint, [])
        known = [each for each in sends if _identity(each) != _identity(send)]
        self._sends[send.fingerprint] = [*known, send]
        self._count += len(known) + 1 - len(sends)
        self._evict(send.received_at)

    def settle(self, fingerprint: str, sender: SenderRun, sent_ms: int) -> None:
        """Forget a send that its node does not have to account for any more."""
        for send in self._sends.get(fingerprint, []):
            if send.sender == sender and send.doubt.sent_ms == sent_ms:
                self._remove(send)
                return

    def find(self, fingerprint: str, without: SenderRun) -> Findings:
        """Return the findings about the sends of a request by other runs than `without`."""
        lost: list[OpenSend] = []
        asked: list[Question] = []
        for send in list(self._others(fingerprint, without)):
            question = Question(fingerprint, send.sender)
            if self._runs.get(send.sender.address, send.sender.run) != send.sender.run:
                self._remove(send)
                lost.append(send)
            elif question not in self._questions:
                asked.append(question)
                self._question_count += 1
                self._questions[question] = self._question_count
        return Findings(lost, asked)

    def is_undecided(self, fingerprint: str, without: SenderRun) -> bool:
        """Return whether a run other than `without` was asked and has not responded yet."""
        return any(
            Question(fingerprint, send.sender) in self._questions
            for send in self._others(fingerprint, without)
        )

    def on_response(self, question: Question) -> list[OpenSend]:
        """Note that a run still accounts for its sends; return those that were presumed lost."""
        self._note_run(question.sender)
        self._questions.pop(question, None)
        restored = self._presumed_lost.pop(question, [])
        for send in restored:
            self._sends.setdefault(send.fingerprint, []).append(send)
            self._count += 1
        return restored

    def note_run(self, sender: SenderRun) -> None:
        """Note the run at an address; an earlier one has ended."""
        self._note_run(sender)

    def number_of(self, question: Question) -> int | None:
        """Return the number of a question without a response; None if there is none."""
        return self._questions.get(question)

    def on_timeout(self, question: Question) -> list[OpenSend]:
        """Return the sends that are lost as a run that was asked about them did not respond."""
        self._questions.pop(question, None)
        sends = self._sends.get(question.fingerprint, [])
        lost = [send for send in sends if send.sender == question.sender]
        for send in lost:
            self._remove(send)
        if lost:
            self._presumed_lost.setdefault(question, []).extend(lost)
        return lost

    def forget_presumed(self, question: Question) -> None:
        """Stop to wait for the late response of a run."""
        self._presumed_lost.pop(question, None)

    def in_range(self, number: int) -> list[OpenSend]:
        """Return the sends whose fingerprints are in a range."""
        digit = f"{number:x}"
        return [
            send
            for fingerprint, sends in self._sends.items()
            if fingerprint.startswith(digit)
            for send in sends
        ]

    def _others(self, fingerprint: str, without: SenderRun) -> Iterator[OpenSend]:
        return (each for each in self._sends.get(fingerprint, []) if each.sender != without)

    def _note_run(self, sender: SenderRun) -> None:
        self._runs.pop(sender.address, None)
        self._runs[sender.address] = sender.run
        if len(self._runs) > MAX_SENDS:
            self._runs.pop(next(iter(self._runs)))

    def _remove(self, send: OpenSend) -> None:
        sends = self._sends[send.fingerprint]
        sends.remove(send)
        self._count -= 1
        if not sends:
            del self._sends[send.fingerprint]

    def _evict(self, now: float) -> None:
        """Drop the sends of the requests that were sent longest ago."""
        while self._sends:
            oldest = next(iter(self._sends))
            sends = self._sends[oldest]
            is_expired = now - sends[-1].received_at > KEPT_SECONDS
            if not is_expired and self._count <= MAX_SENDS:
                return
            del self._sends[oldest]
            self._count -= len(sends)


def _identity(send: OpenSend) -> tuple[SenderRun, int]:
    """Return what identifies a send at a witness: its node numbers its sends by their time."""
    return send.sender, send.doubt.sent_ms
