"""One program's budget as one node keeps it: its lease, its turns under way, its changes in doubt.

Pure: the ledger beside it talks to the store. A change whose answer was lost stays in doubt until
the store's record tells, by the sequence of this node's lease, whether it was applied. Until then
the node spends only what it holds in either case.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from foxwinch.core.records.budget import BudgetRecord, Lease

LEASE_MS = 15_000
"""For which a lease is good: longer than common outages of the store and some turns."""
TURNS_AHEAD = 4
"""Turns, each at its most, that a lease holds beyond those under way."""
OTHERS_SHARE = 2
"""Only one part in so many of what is free is taken ahead: other nodes serve the program too."""


@dataclass(frozen=True, slots=True)
class Reserve:
    """Take `tokens` for a request, within `budget`."""

    request_id: str
    tokens: int
    budget: int


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The reservation does not fit the budget, whatever other nodes give back."""

    committed: int
    """Tokens spent, and those of this node's turns under way at their most."""


@dataclass(frozen=True, slots=True)
class Blocked:
    """The reservation does not fit until other nodes give back what they leased ahead."""

    held_elsewhere: int


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the record by this node, as sent to the store."""

    sequence: int
    version: int
    """Version of the row that it is made from; 0: the row was absent."""
    record: BudgetRecord
    """The record after the change."""
    tokens: int
    """This node's lease after the change."""
    used: int
    """Tokens of this node that count as spent with it, told or with a lease that is over."""
    granted: tuple[Reserve, ...]
    exhausted: dict[str, Exhausted]
    blocked: dict[str, Blocked]
    valid_until: float
    """Until which the lease may be used, on the node's steady clock."""
    written_off: frozenset[str]
    """Turns under way whose tokens count as spent with it, as the lease that held them is over."""


@dataclass(frozen=True, slots=True)
class Times:
    """The store's clock as far as this node knows it."""

    store_earliest_ms: int
    """A time that the store's clock has certainly reached."""
    lease_valid_until: float
    """On the node's steady clock, certainly before a lease taken now is over for the store."""


@dataclass(frozen=True, slots=True)
class Ahead:
    """What to take for turns to come."""

    most: int
    """Tokens that one turn may use."""
    budget: int

    def tokens(self, free: int) -> int:
        """Return how many tokens to take of what is free."""
        if self.most <= 0:
            return 0
        turns = max(0, min(TURNS_AHEAD, free // OTHERS_SHARE // self.most))
        return turns * self.most


@dataclass(slots=True)
class Account:
    """A program's budget at this node."""

    node: str
    sequences: Iterator[int]
    """Numbers that no other change of this node has, in any account of the program."""
    record: BudgetRecord = field(default_factory=BudgetRecord)
    """As last read or written."""
    version: int = 0
    lease: int = 0
    """Tokens leased to this node, less those told as spent."""
    valid_until: float = 0.0
    """Until which the lease may be used, on the node's steady clock."""
    used: int = 0
    """Spent tokens that the store has not been told."""
    open: dict[str, int] = field(default_factory=dict)
    """The most that each turn under way may still spend."""
    written_off: set[str] = field(default_factory=set)
    """Turns under way whose tokens already count as spent, with a lease that was over."""
    doubtful: dict[int, Change] = field(default_factory=dict)
    """Changes by sequence that were sent and not answered."""

    def available(self) -> int:
        """Return the tokens that a new turn may take, whichever doubtful changes were applied."""
        cover = self.lease
        for change in self.doubtful.values():
            granted = sum(reserve.tokens for reserve in change.granted)
            cover = min(cover, change.tokens + change.used - granted)
        return cover - self.used - sum(self.open.values())

    def try_reserve(self, request: Reserve, end_at: float) -> bool:
        """Take tokens from the lease for a turn that is over by `end_at`."""
        if request.request_id in self.open:
            return True
        if end_at > self.valid_until or self.available() < request.tokens:
            return False
        self.open[request.request_id] = request.tokens
        return True

    def settle(self, request_id: str, used: int) -> None:
        """End a turn; settling it again changes nothing."""
        if self.open.pop(request_id, None) is None:
            return
        if request_id in self.written_off:
            self.written_off.discard(request_id)
        else:
            self.used += used

    @property
    def owes(self) -> bool:
        """Whether the store should be told something once the program is quiet."""
        return self.lease > 0 or self.used > 0 or bool(self.doubtful)

    def plan(self, waiting: tuple[Reserve, ...], ahead: Ahead | None, times: Times) -> Change:
        """Return the change that tells what was used and takes what `waiting` needs.

        With `ahead` it also takes tokens for turns to come; without, it gives back all others.
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
        """Note that a change leaves the node: from now on it may have been applied."""
        self.doubtful[change.sequence] = change

    def refused(self, change: Change) -> None:
        """Note that a change was certainly not applied and never will be."""
        self.doubtful.pop(change.sequence, None)

    def written(self, change: Change, version: int) -> None:
        """Note that a change was applied; all others in doubt never will be."""
        self.record, self.version = change.record, version
        self._apply(change)
        self.doubtful.clear()

    def conflicted(self, record: BudgetRecord, version: int) -> Change | None:
        """Take the record as it stands; returns the doubtful change that turns out applied."""
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
        """The lease is gone from the record: all that it held counts as spent."""
        self.lease = 0
        self.used = 0
        self.valid_until = 0.0
        self.written_off.update(self.open)


@dataclass(slots=True)
class _Verdict:
    """Which reservations fit, in their order."""

    under_way: int
    granted: list[Reserve] = field(default_factory=list)
    exhausted: dict[str, Exhausted] = field(default_factory=dict)
    blocked: dict[str, Blocked] = field(default_factory=dict)

    def judge(self, reserve: Reserve, spent: int, others: int) -> None:
        """Decide one reservation."""
        needed = spent + self.under_way + reserve.tokens
        if needed > reserve.budget:
            self.exhausted[reserve.request_id] = Exhausted(spent + self.under_way)
        elif needed + others > reserve.budget:
            self.blocked[reserve.request_id] = Blocked(others)
        else:
            self.granted.append(reserve)
            self.under_way += reserve.tokens
