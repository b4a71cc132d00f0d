"""What a node knows of crash histories: the stored rows, and what notices report beyond them."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from foxwinch.core.records.crash_history import (
    RETENTION_MS,
    Crash,
    CrashHistory,
    Doubt,
    SendClaim,
    SendKey,
)
from foxwinch.log import EventLog
from foxwinch.records.ports import ABSENT_VERSION

MAX_HISTORIES = 20_000
"""Maximum number of histories in memory."""
EVICTED_HISTORIES = MAX_HISTORIES // 10
log = EventLog("crashes")


@dataclass(slots=True)
class KnownHistory:
    """What a node knows of one history."""

    history: CrashHistory = field(default_factory=CrashHistory)
    row_version: int = ABSENT_VERSION
    seen_version: int = ABSENT_VERSION
    """Store version as of which the history is known."""
    reported: dict[SendKey, Crash] = field(default_factory=dict)
    """Crashes whose rows have not arrived."""
    reported_doubts: dict[SendKey, Doubt] = field(default_factory=dict)
    """Doubts that are not stored."""

    def with_crashes(self) -> CrashHistory:
        """Return the stored history with the reported crashes."""
        history = self.history
        for crash in self.reported.values():
            history = history.with_crash(crash, "")
        return history

    def combined(self) -> CrashHistory:
        """Return the stored history with the reported crashes and doubts."""
        history = self.with_crashes()
        for doubt in self.reported_doubts.values():
            history = history.with_doubt(doubt, "")
        return history


class CrashTable:
    """The crash histories that a node knows, by the fingerprint of their request."""

    def __init__(self, now_ms: Callable[[], int], is_unsaved: Callable[[str], bool]) -> None:
        """Create an empty table.

        `now_ms` returns a time that the store's clock has reached; `is_unsaved` tells whether
        updates of a history wait to be stored, so that it has to be kept.
        """
        self._now_ms = now_ms
        self._is_unsaved = is_unsaved
        self._known: dict[str, KnownHistory] = {}
        self._claims: dict[str, SendClaim] = {}
        """Claims of the known histories."""

    @property
    def is_empty(self) -> bool:
        """Whether no crash and no doubt is known."""
        return not self._known

    def history_of(self, fingerprint: str) -> CrashHistory:
        """Return the current history of a request."""
        known = self._known.get(fingerprint)
        if known is None:
            return CrashHistory()
        return known.combined().current(self._now_ms())

    def claimed_workers(self, without: str) -> Collection[str]:
        """Return the incarnations at which other requests than `without` run under a claim."""
        now_ms = self._now_ms()
        claims = (claim for each, claim in self._claims.items() if each != without)
        return {claim.worker for claim in claims if now_ms < claim.expires_ms}

    def crashed_since(self, seconds: float) -> set[str]:
        """Return the incarnations that have crashed in the last `seconds`."""
        since_ms = self._now_ms() - int(1e3 * seconds)
        return {
            crash.worker
            for known in self._known.values()
            for crash in (*known.history.crashes, *known.reported.values())
            if crash.recorded_ms > since_ms
        }

    def add_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Add a crash that is not stored yet; return whether it is new or later than known."""
        known = self.get(fingerprint)
        if not known.with_crashes().is_later(crash):
            return False
        known.reported_doubts.pop(crash.send, None)
        known.reported[crash.send] = crash
        return True

    def add_doubt(self, fingerprint: str, doubt: Doubt) -> bool:
        """Add a doubt that is not stored; return whether it is new or later than the known one."""
        known = self.get(fingerprint)
        history = known.combined()
        if not history.is_later(doubt):
            return False
        if any(each.worker == doubt.worker for each in history.crashes):
            known.reported[doubt.send] = doubt.crash
        else:
            known.reported_doubts[doubt.send] = doubt
        return True

    def unstored_losses(self, most: int = MAX_HISTORIES) -> list[tuple[str, Crash | Doubt]]:
        """Return at most `most` losses that are not known to be stored, by fingerprint."""
        now_ms = self._now_ms()
        unstored: list[tuple[str, Crash | Doubt]] = []
        for fingerprint, known in self._known.items():
            unstored += [(fingerprint, crash) for crash in known.reported.values()]
            unstored += [
                (fingerprint, doubt)
                for doubt in known.reported_doubts.values()
                if now_ms < doubt.lost_ms + RETENTION_MS
            ]
            if len(unstored) >= most:
                break
        return unstored[:most]

    def forget_doubt(self, fingerprint: str, doubt: Doubt) -> bool:
        """Forget the reported doubt of a send; return whether a loss of it is stored."""
        known = self._known.get(fingerprint)
        if known is None:
            return False
        known.reported_doubts.pop(doubt.send, None)
        self.drop_if_unknown(fingerprint)
        return any(each.send == doubt.send for each in known.history.losses)

    def forget_reported(self, fingerprint: str, before_ms: int) -> bool:
        """Forget the reported crashes before a time; return whether there is a stored row."""
        known = self._known.get(fingerprint)
        if known is None:
            return False
        for crash in list(known.reported.values()):
            if crash.recorded_ms < before_ms:
                del known.reported[crash.send]
        self.drop_if_unknown(fingerprint)
        return known.row_version != ABSENT_VERSION

    def fingerprints(self) -> list[str]:
        """Return the fingerprints of the known histories."""
        return list(self._known)

    def expired(self) -> list[str]:
        """Return the fingerprints of the histories that no longer count."""
        now_ms = self._now_ms()
        return [
            fingerprint
            for fingerprint, known in self._known.items()
            if known.combined().current(now_ms) == CrashHistory()
        ]

    def drop_expired_doubts(self) -> None:
        """Drop the reported doubts that do not count as crashes any more."""
        now_ms = self._now_ms()
        for fingerprint, known in list(self._known.items()):
            for send, doubt in list(known.reported_doubts.items()):
                if now_ms >= doubt.lost_ms + RETENTION_MS:
                    del known.reported_doubts[send]
            self.drop_if_unknown(fingerprint)

    def adopt(
        self, fingerprint: str, history: CrashHistory | None, row_version: int, seen_version: int
    ) -> None:
        """Adopt a row, or its removal, as of a store version, unless a newer one is known."""
        known = self.get(fingerprint)
        if seen_version < known.seen_version:
            return
        known.seen_version = seen_version
        self._claims.pop(fingerprint, None)
        if history is None:
            known.history, known.row_version = CrashHistory(), ABSENT_VERSION
            self.drop_if_unknown(fingerprint)
            return
        known.history, known.row_version = history, row_version
        if history.claim is not None:
            self._claims[fingerprint] = history.claim
        for send, crash in list(known.reported.items()):
            if not history.is_later(crash):
                del known.reported[send]
        for send, doubt in list(known.reported_doubts.items()):
            if not history.is_later(doubt):
                del known.reported_doubts[send]

    def get(self, fingerprint: str) -> KnownHistory:
        """Return what is known of a history; an unknown one is added."""
        known = self._known.get(fingerprint)
        if known is None:
            if len(self._known) >= MAX_HISTORIES:
                self._evict()
            known = self._known[fingerprint] = KnownHistory()
        return known

    def _evict(self) -> None:
        """Evict the histories with the fewest losses, of those the oldest."""
        weights = {key: known.combined().weight for key, known in self._known.items()}
        evicted = sorted(weights, key=weights.__getitem__)[:EVICTED_HISTORIES]
        for fingerprint in evicted:
            del self._known[fingerprint]
            self._claims.pop(fingerprint, None)
        log.warning("histories_evicted", count=len(evicted), most_losses=weights[evicted[-1]])

    def drop_if_unknown(self, fingerprint: str) -> None:
        """Drop a history of which nothing is known."""
        known = self._known.get(fingerprint)
        if known is None or known.reported or known.reported_doubts:
            return
        if self._is_unsaved(fingerprint):
            return
        if known.row_version == ABSENT_VERSION:
            del self._known[fingerprint]
