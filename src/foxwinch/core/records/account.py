"""A node's account of one program's budget: its lease, its open turns and its unconfirmed changes.

The module is pure; `records.budgets` does the store calls. A change whose response was lost stays
unconfirmed until the stored record shows, by the sequence number in this node's lease, whether it
was applied. Until then the node spends only what it holds in either case.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from foxwinch.core.records.budget import BudgetRecord, Lease

LEASE_MS = 15_000
"""Duration of a lease; it outlasts a common outage of the store followed by several turns."""
ADVANCE_TURNS = 4
"""Number of further turns, each at its maximum, that a lease covers beyond the open ones."""
ADVANCE_DIVISOR = 8
"""At most the free tokens divided by this number are leased in advance. Other nodes serve the
program too, and what a killed node had leased is lost to the program."""


@dataclass(frozen=True, slots=True)
class ReservationRequest:
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
class RecordChange:
    """A change of the budget record, as this node sends it to the store."""

    sequence: int
    version: int
    """Version of the row that the change is based on; 0 if the row was absent."""
    record: BudgetRecord
    """The record after the change."""
    tokens: int
    """This node's lease after the change."""
    used: int
    """Used tokens that the change adds to the spent ones, by report or with an expired lease."""
    granted: tuple[ReservationRequest, ...]
    exhausted: dict[str, Exhausted]
    blocked: dict[str, Blocked]
    valid_until: float
    """End of the lease on the node's monotonic clock."""
    written_off: frozenset[str]
    """Open turns whose tokens the change counts as spent because their lease has expired."""


@dataclass(frozen=True, slots=True)
class ClockBounds:
    """Bounds on the store's clock as known by this node."""

    store_earliest_ms: int
    """A time that the store's clock has certainly reached."""
    lease_valid_until: float
    """A time on the node's monotonic clock before which a lease taken now cannot expire."""


@dataclass(frozen=True, slots=True)
class AdvanceLease:
    """Parameters of the lease for future turns."""

    max_turn_tokens: int
    """Maximum number of tokens of one turn."""
    budget: int

    def tokens(self, free: int) -> int:
        """Return how many of the free tokens to lease in advance."""
        if self.max_turn_tokens <= 0:
            return 0
        turns = max(0, min(ADVANCE_TURNS, free // ADVANCE_DIVISOR // self.max_turn_tokens))
        return turns * self.max_turn_tokens


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
    open_turns: dict[str, int] = field(default_factory=dict)
    """Reserved tokens of each open turn, by request id."""
    written_off: set[str] = field(default_factory=set)
    """Open turns whose tokens already count as spent because their lease has expired."""
    unconfirmed: dict[int, RecordChange] = field(default_factory=dict)
    """Unconfirmed changes by sequence number: sent and without a response."""

    def available(self) -> int:
        """Return the tokens free for a new turn, whichever unconfirmed changes were applied."""
        covered_tokens = self.lease
        for change in self.unconfirmed.values():
            granted = sum(request.tokens for request in change.granted)
            covered_tokens = min(covered_tokens, change.tokens + change.used - granted)
        return covered_tokens - self.used - sum(self.open_turns.values())

    def try_reserve(self, request: ReservationRequest, turn_deadline_at: float) -> bool:
        """Reserve tokens from the lease for a turn that ends by `turn_deadline_at`."""
        if request.request_id in self.open_turns:
            return True
        if turn_deadline_at > self.valid_until or self.available() < request.tokens:
            return False
        self.open_turns[request.request_id] = request.tokens
        return True

    def settle(self, request_id: str, used: int) -> None:
        """Close a turn and count what it used; a second call has no effect."""
        if self.open_turns.pop(request_id, None) is None:
            return
        if request_id in self.written_off:
            self.written_off.discard(request_id)
        else:
            self.used += used

    @property
    def needs_store_update(self) -> bool:
        """Whether the store must be updated once the program is idle."""
        return self.lease > 0 or self.used > 0 or bool(self.unconfirmed)

    def plan(
        self,
        waiting: tuple[ReservationRequest, ...],
        advance_lease: AdvanceLease | None,
        clock_bounds: ClockBounds,
    ) -> RecordChange:
        """Return the change that reports used tokens and leases what `waiting` needs.

        With `advance_lease` it also leases tokens for future turns; without it, all other tokens
        are returned.
        """
        own = self.record.leases.get(self.node)
        is_expired = own is not None and own.expires_ms <= clock_bounds.store_earliest_ms
        base = self.record.with_expired_leases_spent(clock_bounds.store_earliest_ms)
        held_elsewhere = base.leased_to_others(self.node)
        reported = 0 if is_expired else self.used
        spent = base.spent + reported
        decisions = _ReservationDecisions(0 if is_expired else self._leased_open_tokens())
        for request in waiting:
            decisions.decide(request, spent, held_elsewhere)
        tokens = decisions.open_tokens
        if advance_lease is not None:
            tokens += advance_lease.tokens(advance_lease.budget - spent - held_elsewhere - tokens)
        sequence = next(self.sequences)
        lease = Lease(tokens, clock_bounds.store_earliest_ms + LEASE_MS, sequence)
        return RecordChange(
            sequence=sequence,
            version=self.version,
            record=base.with_lease(self.node, reported, lease),
            tokens=tokens,
            used=self.used,
            granted=tuple(decisions.granted),
            exhausted=decisions.exhausted,
            blocked=decisions.blocked,
            valid_until=clock_bounds.lease_valid_until,
            written_off=frozenset(self.open_turns) if is_expired else frozenset(),
        )

    def mark_sent(self, change: RecordChange) -> None:
        """Record that a change is sent: from now on it may have been applied."""
        self.unconfirmed[change.sequence] = change

    def mark_refused(self, change: RecordChange) -> None:
        """Record that a change was not applied and never will be."""
        self.unconfirmed.pop(change.sequence, None)

    def mark_applied(self, change: RecordChange, version: int) -> None:
        """Record that a change was applied; no other unconfirmed change can be applied later."""
        self.record, self.version = change.record, version
        self._adopt_change(change)
        self.unconfirmed.clear()

    def reconcile(self, record: BudgetRecord, version: int) -> RecordChange | None:
        """Adopt the stored record and return the unconfirmed change that it contains, if any."""
        self.record, self.version = record, version
        own = record.leases.get(self.node)
        applied = self.unconfirmed.get(own.sequence) if own is not None else None
        if own is None:
            self._write_off()
        elif applied is not None:
            self._adopt_change(applied)
        self.unconfirmed.clear()
        return applied

    def _leased_open_tokens(self) -> int:
        return sum(
            tokens
            for request_id, tokens in self.open_turns.items()
            if request_id not in self.written_off
        )

    def _adopt_change(self, change: RecordChange) -> None:
        self.lease = change.tokens
        self.used -= change.used
        self.written_off.update(change.written_off & self.open_turns.keys())
        self.valid_until = change.valid_until

    def _write_off(self) -> None:
        """Count the full lease as spent, after it has disappeared from the record."""
        self.lease = 0
        self.used = 0
        self.valid_until = 0.0
        self.written_off.update(self.open_turns)


@dataclass(slots=True)
class _ReservationDecisions:
    """Decisions on the waiting reservations, made in the order of the requests."""

    open_tokens: int
    """Leased tokens of open turns plus those of the reservations granted so far."""
    granted: list[ReservationRequest] = field(default_factory=list)
    exhausted: dict[str, Exhausted] = field(default_factory=dict)
    blocked: dict[str, Blocked] = field(default_factory=dict)

    def decide(self, request: ReservationRequest, spent: int, held_elsewhere: int) -> None:
        """Grant, block or reject one reservation."""
        needed = spent + self.open_tokens + request.tokens
        if needed > request.budget:
            self.exhausted[request.request_id] = Exhausted(spent + self.open_tokens)
        elif needed + held_elsewhere > request.budget:
            self.blocked[request.request_id] = Blocked(held_elsewhere)
        else:
            self.granted.append(request)
            self.open_tokens += request.tokens
