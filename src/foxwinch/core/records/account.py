"""A node's account of one program's budget: its lease, its open turns and its unconfirmed changes.

The module is pure; `records.budgets` does the store calls. A change whose response was lost stays
unconfirmed until the stored record shows, by the sequence number in this node's lease, whether it
was applied. Until then the node spends only what it holds in either case.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from foxwinch.core.records.budget import BudgetRecord, Lease

LEASE_MS = 15_000
"""Duration of a lease: longer than common outages of the store plus some turns."""
TURNS_AHEAD = 4
"""Number of further turns, each at its maximum, that a lease covers beyond the open ones."""
OTHERS_SHARE = 2
"""Divisor of the free tokens that limits what is leased in advance, because other nodes serve the
program too."""


@dataclass(frozen=True, slots=True)
class Reserve:
    """A request to reserve `tokens` within `budget`."""

    request_id: str
    tokens: int
    budget: int


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The reservation exceeds the budget even if other nodes return their leases."""

    committed: int
    """Tokens spent plus the reservations of this node's open turns."""


@dataclass(frozen=True, slots=True)
class Blocked:
    """The reservation does not fit until other nodes return leased tokens."""

    held_elsewhere: int


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the budget record, as this node sends it to the store."""

    sequence: int
    version: int
    """Version of the row that the change is based on; 0 if the row was absent."""
    record: BudgetRecord
    """The record after the change."""
    tokens: int
    """This node's lease after the change."""
    used: int
    """Tokens used by this node that the change counts as spent, reported or in an expired lease."""
    granted: tuple[Reserve, ...]
    exhausted: dict[str, Exhausted]
    blocked: dict[str, Blocked]
    valid_until: float
    """End of the lease on the node's monotonic clock."""
    written_off: frozenset[str]
    """Open turns whose tokens the change counts as spent because their lease has expired."""


@dataclass(frozen=True, slots=True)
class Times:
    """Bounds on the store's clock as known by this node."""

    store_earliest_ms: int
    """A time that the store's clock has certainly reached."""
    lease_valid_until: float
    """A time on the node's monotonic clock before which a lease taken now cannot expire."""


@dataclass(frozen=True, slots=True)
class Ahead:
    """Parameters of the lease for future turns."""

    most: int
    """Maximum number of tokens of one turn."""
    budget: int

    def tokens(self, free: int) -> int:
        """Return how many of the free tokens to lease in advance."""
        if self.most <= 0:
            return 0
        turns = max(0, min(TURNS_AHEAD, free // OTHERS_SHARE // self.most))
        return turns * self.most


@dataclass(slots=True)
class Account:
    """This node's account of a program's budget."""

    node: str
    sequences: Iterator[int]
    """Sequence numbers that are unique over all changes and accounts of this node."""
    record: BudgetRecord = field(default_factory=BudgetRecord)
    """The record as last read or written."""
    version: int = 0
    lease: int = 0
    """Tokens leased to this node, without those reported as spent."""
    valid_until: float = 0.0
    """End of the lease on the node's monotonic clock."""
    used: int = 0
    """Spent tokens that have not been reported to the store."""
    open: dict[str, int] = field(default_factory=dict)
    """Reserved tokens of each open turn, by request id."""
    written_off: set[str] = field(default_factory=set)
    """Open turns whose tokens already count as spent because their lease has expired."""
    doubtful: dict[int, Change] = field(default_factory=dict)
    """Unconfirmed changes by sequence number: sent and without a response."""

    def available(self) -> int:
        """Return the tokens free for a new turn, whichever unconfirmed changes were applied."""
        cover = self.lease
        for change in self.doubtful.values():
            granted = sum(reserve.tokens for reserve in change.granted)
            cover = min(cover, change.tokens + change.used - granted)
        return cover - self.used - sum(self.open.values())

    def try_reserve(self, request: Reserve, end_at: float) -> bool:
        """Reserve tokens from the lease for a turn that ends by `end_at`."""
        if request.request_id in self.open:
            return True
        if end_at > self.valid_until or self.available() < request.tokens:
            return False
        self.open[request.request_id] = request.tokens
        return True

    def settle(self, request_id: str, used: int) -> None:
        """Close a turn and count what it used; a second call has no effect."""
        if self.open.pop(request_id, None) is None:
            return
        if request_id in self.written_off:
            self.written_off.discard(request_id)
        else:
            self.used += used

    @property
    def owes(self) -> bool:
        """Whether the store must be updated once the program is idle."""
        return self.lease > 0 or self.used > 0 or bool(self.doubtful)

    def plan(self, waiting: tuple[Reserve, ...], ahead: Ahead | None, times: Times) -> Change:
        """Return the change that reports used tokens and leases what `waiting` needs.

        With `ahead` it also leases tokens for future turns; without it, all other tokens are
        returned.
        """
        own = self.record.leases.get(self.node)
        over = own is not None and own.expires_ms <= times.store_earliest_ms
        base = self.record.expired(times.store_earliest_ms)
        others = base.leased_to_others(self.node)
        told = 0 if over else self.used
        spent = base.spent + told
        verdict = _Verdict(0 if over else self._covered_open())
        for reserve in waiting:
            verdict.judge(reserve, spent, others)
        tokens = verdict.under_way
        if ahead is not None:
            tokens += ahead.tokens(ahead.budget - spent - others - tokens)
        sequence = next(self.sequences)
        lease = Lease(tokens, times.store_earliest_ms + LEASE_MS, sequence)
        return Change(
            sequence=sequence,
            version=self.version,
            record=base.changed(self.node, told, lease),
            tokens=tokens,
            used=self.used,
            granted=tuple(verdict.granted),
            exhausted=verdict.exhausted,
            blocked=verdict.blocked,
            valid_until=times.lease_valid_until,
            written_off=frozenset(self.open) if over else frozenset(),
        )

    def sent(self, change: Change) -> None:
        """Record that a change is sent: from now on it may have been applied."""
        self.doubtful[change.sequence] = change

    def refused(self, change: Change) -> None:
        """Record that a change was not applied and never will be."""
        self.doubtful.pop(change.sequence, None)

    def written(self, change: Change, version: int) -> None:
        """Record that a change was applied; no other unconfirmed change can be applied later."""
        self.record, self.version = change.record, version
        self._apply(change)
        self.doubtful.clear()

    def conflicted(self, record: BudgetRecord, version: int) -> Change | None:
        """Adopt the stored record and return the unconfirmed change that it contains, if any."""
        self.record, self.version = record, version
        own = record.leases.get(self.node)
        applied = self.doubtful.get(own.sequence) if own is not None else None
        if own is None:
            self._write_off()
        elif applied is not None:
            self._apply(applied)
        self.doubtful.clear()
        return applied

    def _covered_open(self) -> int:
        return sum(
            tokens for request_id, tokens in self.open.items() if request_id not in self.written_off
        )

    def _apply(self, change: Change) -> None:
        self.lease = change.tokens
        self.used -= change.used
        self.written_off.update(change.written_off & self.open.keys())
        self.valid_until = change.valid_until

    def _write_off(self) -> None:
        """Count the whole lease as spent, after it has disappeared from the record."""
        self.lease = 0
        self.used = 0
        self.valid_until = 0.0
        self.written_off.update(self.open)


@dataclass(slots=True)
class _Verdict:
    """The reservations that fit, judged in order."""

    under_way: int
    granted: list[Reserve] = field(default_factory=list)
    exhausted: dict[str, Exhausted] = field(default_factory=dict)
    blocked: dict[str, Blocked] = field(default_factory=dict)

    def judge(self, reserve: Reserve, spent: int, others: int) -> None:
        """Grant, block or reject one reservation."""
        needed = spent + self.under_way + reserve.tokens
        if needed > reserve.budget:
            self.exhausted[reserve.request_id] = Exhausted(spent + self.under_way)
        elif needed + others > reserve.budget:
            self.blocked[reserve.request_id] = Blocked(others)
        else:
            self.granted.append(reserve)
            self.under_way += reserve.tokens
