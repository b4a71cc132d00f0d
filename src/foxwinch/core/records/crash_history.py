"""The stored record of the workers that ended, or may have ended, while they ran one request.

A request is known by its fingerprint, so that all repetitions share one record. A send that got no
response is in doubt and counts like a crash: its worker may still run it, and end under it at any
time. No time ends a doubt. A worker that lives may get the request again, as it can end only once;
such a send has the key of the lost one. The last sends to further workers need an exclusive claim:
repetitions then run one at a time, and the next holder of the claim knows how the last send ended.
"""

from dataclasses import dataclass, replace
from typing import NamedTuple

from foxwinch._generated.crashes_pb2 import CrashHistoryMessage, CrashMessage, DoubtMessage

MAX_CRASHES = 3
"""Number of workers that may end under one request; it is then not sent any more."""
RETENTION_MS = 600_000
"""Time for which a crash counts. Programs that were stopped may return within a minute."""
MAX_TIME_MS = 2**50
"""Maximum time on the store's clock, above which a stored or received one is malformed. Sums of
several such times still fit into 64 bits."""
COMMON_CAUSE_MS = 2_000
"""Time within which the losses of unsuspected sends may have a common cause. A caller repeats a
request only after its last send was lost, so sends that overlap are those of several callers."""
MAX_COMMON_WEIGHT = MAX_CRASHES - 1
"""Weight at most of losses that may have a common cause. The next send then tells whether the
request was the cause."""


class SendKey(NamedTuple):
    """Identifies a send of a request at all nodes."""

    worker: str
    """The incarnation that it went to."""
    sent_ms: int
    """Its time on the store's clock."""


class Crash(NamedTuple):
    """A worker that ended while it ran the request."""

    worker: str
    """Its incarnation."""
    recorded_ms: int
    """Time of the loss on the store's clock."""
    suspected: bool = True
    """Whether the request was certainly a repetition of the other sends, or the first one: its
    program or an earlier loss was known when it was sent."""
    sent_ms: int = 0
    """Time of the send on the store's clock; 0 if it is not known."""

    @property
    def send(self) -> SendKey:
        """The send under which the worker ended."""
        return SendKey(self.worker, self.sent_ms)

    @property
    def lost_ms(self) -> int:
        """Return the time that decides which losses have a common cause."""
        return self.recorded_ms


class Doubt(NamedTuple):
    """A worker that lost the request or was left with it, and may end under it."""

    worker: str
    lost_ms: int
    """Time on the store's clock."""
    ends_ms: int
    """Deadline of the request on the store's clock."""
    suspected: bool = True
    sent_ms: int = 0
    is_presumed: bool = False
    """Whether the worker may not have got the request, as its sender has ended or still sends."""

    @property
    def send(self) -> SendKey:
        """The send that is in doubt."""
        return SendKey(self.worker, self.sent_ms)

    @property
    def crash(self) -> Crash:
        """Return what the doubt becomes once its worker is known to have ended."""
        return Crash(self.worker, self.lost_ms, self.suspected, self.sent_ms)


class SendClaim(NamedTuple):
    """The exclusive right to send the request to a worker."""

    holder: str
    worker: str
    expires_ms: int
    """Time on the store's clock, after the end of the holder's request."""


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """The crashes under one request, the doubts, and the claim for its next send."""

    crashes: tuple[Crash, ...] = ()
    claim: SendClaim | None = None
    doubts: tuple[Doubt, ...] = ()

    def current(self, now_ms: int) -> "CrashHistory":
        """Return the history as of a time on the store's clock.

        A claim that expired without being released counts as a crash: its holder ended before it
        could report how its send ended.
        """
        history = CrashHistory(
            tuple(each for each in self.crashes if now_ms < each.recorded_ms + RETENTION_MS),
            self.claim,
            tuple(each for each in self.doubts if now_ms < each.lost_ms + RETENTION_MS),
        )
        claim = self.claim
        if claim is None or now_ms < claim.expires_ms:
            return history
        if now_ms >= claim.expires_ms + RETENTION_MS:
            return history.with_claim(None)
        return history.with_crash(Crash(claim.worker, claim.expires_ms), claim.holder)

    def with_crash(self, crash: Crash, holder: str) -> "CrashHistory":
        """Return the history with a crash, without the claim that `holder` has for its send.

        It takes the place of the doubts of its send.
        """
        crashes = self.crashes
        if self.is_later(crash):
            crashes = (*(each for each in crashes if each.send != crash.send), crash)
        doubts = tuple(each for each in self.doubts if each.send != crash.send)
        return CrashHistory(crashes, self._claim_without(holder, crash.worker), doubts)

    def with_doubt(self, doubt: Doubt, holder: str) -> "CrashHistory":
        """Return the history with a doubt, without the claim that `holder` has for its send."""
        claim = self._claim_without(holder, doubt.worker)
        if not self.is_later(doubt):
            return CrashHistory(self.crashes, claim, self.doubts)
        if any(each.worker == doubt.worker for each in self.crashes):
            return self.with_crash(doubt.crash, holder)
        others = tuple(each for each in self.doubts if each.send != doubt.send)
        return CrashHistory(self.crashes, claim, (*others, doubt))

    def is_later(self, loss: Crash | Doubt) -> bool:
        """Return whether a loss is later than those known of its send.

        A crash is compared with crashes only, as it takes the place of a doubt.
        """
        known = self.crashes if isinstance(loss, Crash) else self.losses
        return all(each.send != loss.send or each.lost_ms < loss.lost_ms for each in known)

    def without(self, doubt: Doubt) -> "CrashHistory":
        """Return the history without the loss of a send that is over.

        The doubt itself may have become a crash meanwhile. Other sends to the worker are not over.
        """
        return replace(
            self,
            crashes=tuple(each for each in self.crashes if each.send != doubt.send),
            doubts=tuple(each for each in self.doubts if each.send != doubt.send),
        )

    def without_losses(self, before_ms: int) -> "CrashHistory":
        """Return the history without the losses before a time on the store's clock."""
        return replace(
            self,
            crashes=tuple(each for each in self.crashes if each.recorded_ms >= before_ms),
            doubts=tuple(each for each in self.doubts if each.lost_ms >= before_ms),
        )

    def without_claim_of(self, holder: str) -> "CrashHistory":
        """Return the history without the claim that `holder` may have."""
        is_held = self.claim is not None and self.claim.holder == holder
        return self.with_claim(None) if is_held else self

    def with_claim(self, claim: SendClaim | None) -> "CrashHistory":
        """Return the history with another claim or none."""
        return replace(self, claim=claim)

    @property
    def living_workers(self) -> set[str]:
        """Return the incarnations that have lost the request and are not known to have ended."""
        ended = {crash.worker for crash in self.crashes}
        return {each.worker for each in self.doubts if not each.is_presumed} - ended

    @property
    def losses(self) -> list[Crash | Doubt]:
        """Return the crashes and the doubts."""
        return [*self.crashes, *self.doubts]

    @property
    def weight(self) -> int:
        """Return the number of losses that count against `MAX_CRASHES`.

        Losses of unsuspected sends that overlap count `MAX_COMMON_WEIGHT` at most together, if they
        are within `COMMON_CAUSE_MS`.
        """
        return sum(min(size, MAX_COMMON_WEIGHT) for size in self._causes())

    @property
    def cause_count(self) -> int:
        """Return the number of causes that the losses have at least."""
        return len(self._causes())

    def _causes(self) -> list[int]:
        """Return the number of losses of each cause.

        Each loss of a suspected send has one of its own.
        """
        causes: list[int] = []
        first: Crash | Doubt | None = None
        losses = self._distinct_losses()
        for loss in losses:
            if loss.suspected:
                continue
            is_common = first is not None and (
                loss.sent_ms <= first.lost_ms and loss.lost_ms <= first.lost_ms + COMMON_CAUSE_MS
            )
            if is_common:
                causes[-1] += 1
            else:
                first = loss
                causes.append(1)
        return causes + [1 for loss in losses if loss.suspected]

    def _distinct_losses(self) -> list[Crash | Doubt]:
        """Return the losses by time, one of those that a single end of a worker may explain.

        A worker that loses a send which began after its last loss may have been back under its id.
        """
        distinct: list[Crash | Doubt] = []
        lost_ms: dict[str, int] = {}
        for loss in sorted(self.losses, key=lambda each: each.lost_ms):
            if loss.sent_ms > lost_ms.get(loss.worker, -1):
                distinct.append(loss)
            lost_ms[loss.worker] = loss.lost_ms
        return distinct

    @property
    def retained_until_ms(self) -> int:
        """Return the time on the store's clock at which the last crash stops to count."""
        return max((crash.recorded_ms for crash in self.crashes), default=0) + RETENTION_MS

    def encode(self) -> bytes:
        """Return the stored form of the history."""
        message = CrashHistoryMessage(
            crashes=[encode_crash(crash) for crash in self.crashes],
            doubts=[encode_doubt(doubt) for doubt in self.doubts],
        )
        if self.claim is not None:
            message.claim.holder = self.claim.holder
            message.claim.worker = self.claim.worker
            message.claim.expires_ms = self.claim.expires_ms
        return message.SerializeToString()

    @classmethod
    def decode(cls, value: bytes) -> "CrashHistory":
        """Read the stored form; raise `DecodeError` if it is malformed."""
        message = CrashHistoryMessage.FromString(value)
        claim = None
        if message.HasField("claim"):
            stored = message.claim
            expires_ms = min(stored.expires_ms, MAX_TIME_MS)
            claim = SendClaim(stored.holder, stored.worker, expires_ms)
        return cls(
            tuple(decode_crash(each) for each in message.crashes),
            claim,
            tuple(decode_doubt(each) for each in message.doubts),
        )

    def _claim_without(self, holder: str, worker: str) -> SendClaim | None:
        claim = self.claim
        is_settled = claim is not None and claim.holder == holder and claim.worker == worker
        return None if is_settled else claim


def encode_crash(crash: Crash) -> CrashMessage:
    """Return the message of a crash."""
    return CrashMessage(
        worker=crash.worker,
        recorded_ms=crash.recorded_ms,
        unsuspected=not crash.suspected,
        sent_ms=crash.sent_ms,
    )


def decode_crash(message: CrashMessage) -> Crash:
    """Return the crash of a message."""
    return Crash(
        message.worker,
        min(message.recorded_ms, MAX_TIME_MS),
        not message.unsuspected,
        min(message.sent_ms, MAX_TIME_MS),
    )


def encode_doubt(doubt: Doubt) -> DoubtMessage:
    """Return the message of a doubt."""
    return DoubtMessage(
        worker=doubt.worker,
        lost_ms=doubt.lost_ms,
        ends_ms=doubt.ends_ms,
        unsuspected=not doubt.suspected,
        sent_ms=doubt.sent_ms,
        presumed=doubt.is_presumed,
    )


def decode_doubt(message: DoubtMessage) -> Doubt:
    """Return the doubt of a message."""
    return Doubt(
        message.worker,
        min(message.lost_ms, MAX_TIME_MS),
        min(message.ends_ms, MAX_TIME_MS),
        not message.unsuspected,
        min(message.sent_ms, MAX_TIME_MS),
        message.presumed,
    )
