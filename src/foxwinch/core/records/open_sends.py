"""The sends that a witness was told of, and which of them were lost with their nodes.

A node that sends a request accounts for the send itself as long as it runs: it puts it in doubt if
it gets no response. A witness takes the node's place once it has ended. It finds that out only when
it has to: when another node sends the same request, or asks about it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from foxwinch.core.records.crash_history import Doubt, SendKey

KEPT_SECONDS = 60.0
"""Time for which a witness keeps a send. Programs that were stopped may return within a minute."""
MAX_SENDS = 20_000
"""Maximum number of sends that a witness keeps."""


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


class Findings(NamedTuple):
    """What a witness has to do about the earlier sends of a request."""

    lost: list[OpenSend]
    """Sends whose nodes have ended."""
    asked: list[SenderRun]
    """Runs that have to be asked whether they still account for their sends."""


class OpenSends:
    """The sends that one witness keeps, and the runs that it has asked."""

    def __init__(self) -> None:
        """Start without sends."""
        self._sends: dict[str, list[OpenSend]] = {}
        """Sends by fingerprint, those of the least recently sent request first."""
        self._count = 0
        self._runs: dict[str, int] = {}
        """The latest known run by address."""
        self._asked: dict[SenderRun, dict[str, SenderRun]] = {}
        """Requests for which a run was asked, until it responds or is found to have ended, and the
        run on whose behalf it was."""
        self._questions: dict[SenderRun, int] = {}
        """Numbers of the questions to the asked runs."""
        self._question_count = 0
        self._presumed_lost: dict[SenderRun, list[OpenSend]] = {}
        """Sends of runs that did not respond in time; one that responds later takes them back."""

    def __len__(self) -> int:
        return self._count

    def add(self, send: OpenSend) -> Findings:
        """Keep a send that starts and return the findings about earlier ones of its request."""
        self._note_run(send.sender)
        findings = self.find(send.fingerprint, send.sender)
        sends = self._sends.pop(send.fingerprint, [])
        known = [each for each in sends if _identity(each) != _identity(send)]
        self._sends[send.fingerprint] = [*known, send]
        self._count += len(known) + 1 - len(sends)
        self._evict(send.received_at)
        return findings

    def find(self, fingerprint: str, without: SenderRun) -> Findings:
        """Return the findings about the sends of a request by other runs than `without`.

        A run that was asked for one node and has not responded yet is taken to have ended when a
        third node sends a program's request, as that shows that the earlier sends were lost.
        """
        lost: list[OpenSend] = []
        asked: list[SenderRun] = []
        for send in list(self._others(fingerprint, without)):
            sender = send.sender
            if self._runs.get(sender.address) != sender.run:
                self._remove(send)
                lost.append(send)
            elif send.doubt.suspected and self._is_asked_for_other(send, without):
                self._remove(send)
                self._presumed_lost.setdefault(sender, []).append(send)
                lost.append(send)
            else:
                if sender not in self._asked:
                    asked.append(sender)
                    self._question_count += 1
                    self._questions[sender] = self._question_count
                self._asked.setdefault(sender, {})[fingerprint] = without
        return Findings(lost, asked)

    def _is_asked_for_other(self, send: OpenSend, without: SenderRun) -> bool:
        """Return whether the sender was asked about the request for another run than `without`."""
        return self._asked.get(send.sender, {}).get(send.fingerprint, without) != without

    def is_undecided(self, fingerprint: str) -> bool:
        """Return whether a run was asked about a request and has not responded yet."""
        return any(fingerprint in fingerprints for fingerprints in self._asked.values())

    def on_response(self, sender: SenderRun) -> list[OpenSend]:
        """Note that a run still accounts for its sends; return those that were presumed lost.

        A response of another run at the address shows that the earlier one has ended.
        """
        self._note_run(sender)
        self._asked.pop(sender, None)
        self._questions.pop(sender, None)
        restored = self._presumed_lost.pop(sender, [])
        for send in restored:
            self._sends.setdefault(send.fingerprint, []).append(send)
            self._count += 1
        return restored

    def open_question(self, sender: SenderRun) -> int | None:
        """Return the number of the question that a run has not responded to; None without one."""
        return self._questions.get(sender)

    def on_timeout(self, sender: SenderRun) -> list[OpenSend]:
        """Return the sends that are lost as a run that was asked about them did not respond."""
        fingerprints = self._asked.pop(sender, {})
        self._questions.pop(sender, None)
        lost = [
            send
            for fingerprint in fingerprints
            for send in self._sends.get(fingerprint, [])
            if send.sender == sender
        ]
        for send in lost:
            self._remove(send)
        if lost:
            self._presumed_lost.setdefault(sender, []).extend(lost)
        return lost

    def forget_presumed(self, sender: SenderRun) -> None:
        """Stop to wait for the late response of a run."""
        self._presumed_lost.pop(sender, None)

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


def _identity(send: OpenSend) -> tuple[SenderRun, SendKey]:
    """Return what identifies a send that is announced twice."""
    return send.sender, send.doubt.send
