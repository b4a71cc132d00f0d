"""The stored record of the workers that ended while they ran one request.

A request is known by its fingerprint, so that all repetitions share one record. From the first
crash on, each further send needs an exclusive claim: repetitions then run one at a time, and the
next holder of the claim knows how the last send ended.
"""

from dataclasses import dataclass, replace
from typing import NamedTuple

from foxwinch._generated.crashes_pb2 import CrashHistoryMessage

MAX_CRASHES = 3
"""Number of workers that may end under one request; it is then not sent any more."""
RETENTION_MS = 600_000
"""Time for which a crash counts. Programs that were stopped may return within a minute."""


class Crash(NamedTuple):
    """A worker that ended while it ran the request."""

    worker: str
    """Its incarnation."""
    recorded_ms: int
    """Time on the store's clock."""


class SendClaim(NamedTuple):
    """The exclusive right to send the request to a worker."""

    holder: str
    worker: str
    expires_ms: int
    """Time on the store's clock, after the end of the holder's request."""


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """The crashes under one request, and the claim for its next send."""

    crashes: tuple[Crash, ...] = ()
    claim: SendClaim | None = None

    def current(self, now_ms: int) -> "CrashHistory":
        """Return the history as of a time on the store's clock.

        A claim that expired without being released counts as a crash: its holder ended before it
        could report how its send ended.
        """
        crashes = tuple(
            crash for crash in self.crashes if now_ms < crash.recorded_ms + RETENTION_MS
        )
        claim = self.claim
        if claim is None or now_ms < claim.expires_ms:
            return CrashHistory(crashes, claim)
        history = CrashHistory(crashes)
        if now_ms >= claim.expires_ms + RETENTION_MS:
            return history
        return history.with_crash(Crash(claim.worker, claim.expires_ms), claim.holder)

    def with_crash(self, crash: Crash, holder: str) -> "CrashHistory":
        """Return the history with a crash, and without the claim if `holder` has it."""
        known = any(each.worker == crash.worker for each in self.crashes)
        claim = None if self.claim is not None and self.claim.holder == holder else self.claim
        return CrashHistory(self.crashes if known else (*self.crashes, crash), claim)

    def with_claim(self, claim: SendClaim | None) -> "CrashHistory":
        """Return the history with another claim or none."""
        return replace(self, claim=claim)

    @property
    def retained_until_ms(self) -> int:
        """Return the time on the store's clock at which the last crash stops to count."""
        return max((crash.recorded_ms for crash in self.crashes), default=0) + RETENTION_MS

    def encode(self) -> bytes:
        """Return the stored form of the history."""
        message = CrashHistoryMessage()
        for crash in self.crashes:
            message.crashes.add(worker=crash.worker, recorded_ms=crash.recorded_ms)
        if self.claim is not None:
            message.claim.holder = self.claim.holder
            message.claim.worker = self.claim.worker
            message.claim.expires_ms = self.claim.expires_ms
        return message.SerializeToString()

    @classmethod
    def decode(cls, value: bytes) -> "CrashHistory":
        """Read the stored form; raise `DecodeError` if it is malformed."""
        message = CrashHistoryMessage.FromString(value)
        crashes = tuple(Crash(each.worker, each.recorded_ms) for each in message.crashes)
        if not message.HasField("claim"):
            return cls(crashes)
        claim = message.claim
        return cls(crashes, SendClaim(claim.holder, claim.worker, claim.expires_ms))
