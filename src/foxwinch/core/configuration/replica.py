"""The configuration at one node: what it holds, what it has heard of, what it may serve.

Invariants: the held revision never goes down; nothing is served below the highest revision heard
of; nothing is served before an authority (the table or fellow nodes) has named the newest one.
"""

from collections import OrderedDict
from dataclasses import dataclass

from foxwinch.core.configuration.change import Change
from foxwinch.core.configuration.document import (
    Delta,
    DocumentState,
    Unreadable,
    state_of,
)
from foxwinch.identifiers import Revision
from foxwinch.outcomes import Reason, Refused, not_run

NO_REVISION = Revision(0)
MAX_PENDING = 128
"""Changes kept that arrived before the one they build on."""
MAX_RECENT = 128
"""Changes kept for fellow nodes that are behind."""
MAX_RECENT_BYTES = 1024 * 1024
STALE_RETRY_SECONDS = 0.5
"""A missing difference is fetched within two gossip rounds."""


@dataclass(frozen=True, slots=True)
class HeldConfiguration:
    """The document that this node holds."""

    revision: Revision
    state: DocumentState


class ConfigurationReplica:
    """Holds the newest configuration that could be put together; see the module's invariants."""

    def __init__(self) -> None:
        """Hold and know nothing."""
        self._held: HeldConfiguration | None = None
        self._heard = NO_REVISION
        self._authority_heard = False
        self._pending: dict[Revision, Change] = {}
        self._recent: OrderedDict[Revision, Change] = OrderedDict()
        self._recent_bytes = 0

    @property
    def held(self) -> HeldConfiguration | None:
        """The newest document held, which may be older than what was heard of."""
        return self._held

    @property
    def held_revision(self) -> Revision:
        """Revision held, or 0."""
        return self._held.revision if self._held else NO_REVISION

    @property
    def heard_revision(self) -> Revision:
        """The highest revision heard of, or 0."""
        return self._heard

    @property
    def is_behind(self) -> bool:
        """True when a newer revision is known than is held."""
        return self._heard > self.held_revision

    @property
    def is_started(self) -> bool:
        """True once an authority has named the newest revision since this process began."""
        return self._authority_heard

    def hear(self, revision: Revision, authority: bool = False) -> None:
        """Take note of a revision; `authority` says that the newest one was asked for."""
        self._heard = max(self._heard, revision)
        self._authority_heard = self._authority_heard or authority

    def receive(self, change: Change) -> Unreadable | None:
        """Take a change; returns why it could not be used, if it could not."""
        self.hear(change.revision)
        if change.revision <= self.held_revision:
            return None
        if change.base not in (NO_REVISION, self.held_revision):
            self._keep_pending(change)
            return None
        problem = self._adopt(change)
        if problem is None:
            self._adopt_pending()
        return problem

    def serve(self) -> HeldConfiguration | Refused:
        """Return what may be served, or why nothing may."""
        if not self._authority_heard or self._held is None:
            detail = "the node has not yet learnt which configuration is in force"
            return not_run(Reason.STALE_CONFIGURATION, detail, STALE_RETRY_SECONDS)
        if self.is_behind:
            detail = f"revision {self._heard} is in force, this node holds {self._held.revision}"
            return not_run(Reason.STALE_CONFIGURATION, detail, STALE_RETRY_SECONDS)
        return self._held

    def changes_after(self, revision: Revision) -> list[Change]:
        """Return what brings a node from `revision` to the held one: differences, else whole."""
        if self._held is None or revision >= self._held.revision:
            return []
        found: list[Change] = []
        wanted = self._held.revision
        while wanted > revision:
            change = self._recent.get(wanted)
            if change is None or change.base == NO_REVISION:
                return [self._whole(self._held)]
            found.append(change)
            wanted = change.base
        return found[::-1] if wanted == revision else [self._whole(self._held)]

    def _whole(self, held: HeldConfiguration) -> Change:
        recent = self._recent.get(held.revision)
        token = recent.token if recent else ""
        delta = Delta(held.state.entries)
        return Change(held.revision, NO_REVISION, token, held.state.digest, delta)

    def _adopt(self, change: Change) -> Unreadable | None:
        if change.base == NO_REVISION or self._held is None:
            state = state_of(change.delta.puts)
        else:
            state = self._held.state.apply(change.delta)
        if isinstance(state, Unreadable):
            return state
        if state.digest != change.digest:
            return Unreadable(f"revision {change.revision}: the digest does not match")
        self._held = HeldConfiguration(change.revision, state)
        self._remember(change)
        return None

    def _adopt_pending(self) -> None:
        for revision in sorted(self._pending):
            change = self._pending.pop(revision)
            if revision <= self.held_revision:
                continue
            if change.base != self.held_revision:
                self._pending[revision] = change
            elif self._adopt(change) is not None:
                return

    def _keep_pending(self, change: Change) -> None:
        self._pending[change.revision] = change
        if len(self._pending) > MAX_PENDING:
            del self._pending[max(self._pending)]

    def _remember(self, change: Change) -> None:
        """Keep the change for others; a whole document is rebuilt from the state when needed."""
        if change.base == NO_REVISION:
            change = Change(change.revision, NO_REVISION, change.token, change.digest, Delta({}))
        self._recent[change.revision] = change
        self._recent_bytes += _size(change)
        while len(self._recent) > MAX_RECENT or self._recent_bytes > MAX_RECENT_BYTES:
            _, dropped = self._recent.popitem(last=False)
            self._recent_bytes -= _size(dropped)


def _size(change: Change) -> int:
    return sum(len(key) + len(text) for key, text in change.delta.puts.items())
