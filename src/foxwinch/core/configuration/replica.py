"""Configuration replica of one node: the held revision, the newest known one and what to serve.

Invariants: the held revision never decreases; no revision below the highest known one is served;
nothing is served before an authority (the table or peers) has reported the newest revision.
"""

from collections import OrderedDict
from dataclasses import dataclass

from foxwinch.core.configuration.change import Change
from foxwinch.core.configuration.document import (
    Delta,
    DocumentState,
    InvalidDocument,
    build_document_state,
)
from foxwinch.identifiers import Revision
from foxwinch.outcomes import Reason, Refused, not_run

NO_REVISION = Revision(0)
MAX_PENDING = 128
"""Maximum number of changes buffered until the change that they build on arrives."""
MAX_RECENT = 128
"""Maximum number of changes kept for peers that are behind."""
MAX_RECENT_BYTES = 1024 * 1024
STALE_RETRY_SECONDS = 0.5
"""Retry hint for stale refusals; a missing delta is fetched within two gossip rounds."""


@dataclass(frozen=True, slots=True)
class HeldConfiguration:
    """A document held by this node, with its revision."""

    revision: Revision
    state: DocumentState


class ConfigurationReplica:
    """Holds the newest configuration that could be assembled; see the module's invariants."""

    def __init__(self) -> None:
        self._held: HeldConfiguration | None = None
        self._newest_known = NO_REVISION
        self._is_confirmed = False
        self._pending: dict[Revision, Change] = {}
        self._recent: OrderedDict[Revision, Change] = OrderedDict()
        self._recent_bytes = 0

    @property
    def held(self) -> HeldConfiguration | None:
        """The newest document held, which may be older than the newest known revision."""
        return self._held

    @property
    def held_revision(self) -> Revision:
        """The held revision, or 0."""
        return self._held.revision if self._held else NO_REVISION

    @property
    def heard_revision(self) -> Revision:
        """The highest known revision, or 0."""
        return self._newest_known

    @property
    def is_behind(self) -> bool:
        """Whether a revision newer than the held one is known."""
        return self._newest_known > self.held_revision

    @property
    def is_confirmed(self) -> bool:
        """Whether an authority has reported the newest revision since this process started."""
        return self._is_confirmed

    def record_revision(self, revision: Revision, authority: bool = False) -> None:
        """Record that a revision exists; `authority` is set if it comes from an authority."""
        self._newest_known = max(self._newest_known, revision)
        self._is_confirmed = self._is_confirmed or authority

    def receive(self, change: Change) -> InvalidDocument | None:
        """Apply or buffer a change; return the reason if it is unusable."""
        self.record_revision(change.revision)
        if change.revision <= self.held_revision:
            return None
        if change.base not in (NO_REVISION, self.held_revision):
            self._buffer_pending(change)
            return None
        problem = self._apply_change(change)
        if problem is None:
            self._apply_pending()
        return problem

    def serve(self) -> HeldConfiguration | Refused:
        """Return the configuration to serve, or a refusal if it is missing or stale."""
        if not self._is_confirmed or self._held is None:
            detail = "the node has not yet determined the newest configuration revision"
            return not_run(Reason.STALE_CONFIGURATION, detail, STALE_RETRY_SECONDS)
        if self.is_behind:
            detail = (
                f"revision {self._newest_known} is active, this node holds {self._held.revision}"
            )
            return not_run(Reason.STALE_CONFIGURATION, detail, STALE_RETRY_SECONDS)
        return self._held

    def changes_after(self, revision: Revision) -> list[Change]:
        """Return the changes from `revision` to the held one, as deltas or as a full document."""
        if self._held is None or revision >= self._held.revision:
            return []
        found: list[Change] = []
        next_revision = self._held.revision
        while next_revision > revision:
            change = self._recent.get(next_revision)
            if change is None or change.base == NO_REVISION:
                return [self._full_change(self._held)]
            found.append(change)
            next_revision = change.base
        return found[::-1] if next_revision == revision else [self._full_change(self._held)]

    def _full_change(self, held: HeldConfiguration) -> Change:
        recent = self._recent.get(held.revision)
        token = recent.token if recent else ""
        delta = Delta(held.state.entries)
        return Change(held.revision, NO_REVISION, token, held.state.digest, delta)

    def _apply_change(self, change: Change) -> InvalidDocument | None:
        if change.base == NO_REVISION or self._held is None:
            state = build_document_state(change.delta.puts)
        else:
            state = self._held.state.apply(change.delta)
        if isinstance(state, InvalidDocument):
            return state
        if state.digest != change.digest:
            return InvalidDocument(f"revision {change.revision}: digest mismatch")
        self._held = HeldConfiguration(change.revision, state)
        self._cache_change(change)
        return None

    def _apply_pending(self) -> None:
        for revision in sorted(self._pending):
            change = self._pending.pop(revision)
            if revision <= self.held_revision:
                continue
            if change.base != self.held_revision:
                self._pending[revision] = change
            elif self._apply_change(change) is not None:
                return

    def _buffer_pending(self, change: Change) -> None:
        self._pending[change.revision] = change
        if len(self._pending) > MAX_PENDING:
            del self._pending[max(self._pending)]

    def _cache_change(self, change: Change) -> None:
        """Keep the change for peers; a full document is rebuilt from the state when needed."""
        if change.base == NO_REVISION:
            change = Change(change.revision, NO_REVISION, change.token, change.digest, Delta({}))
        self._recent[change.revision] = change
        self._recent_bytes += _size(change)
        while len(self._recent) > MAX_RECENT or self._recent_bytes > MAX_RECENT_BYTES:
            _, dropped = self._recent.popitem(last=False)
            self._recent_bytes -= _size(dropped)


def _size(change: Change) -> int:
    return sum(len(key) + len(text) for key, text in change.delta.puts.items())
