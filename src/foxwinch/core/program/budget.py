"""Program budgets: amounts are reserved before a call and settled after it.

A program's ledger includes its child programs: a child's call is reserved in the child's ledger and
in those of all ancestors, all or none.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import ProgramBudget, Spending


@dataclass(frozen=True, slots=True)
class Amount:
    """Tokens, calls and cost, reserved or spent."""

    tokens: int = 0
    calls: int = 0
    cost: float = 0.0

    def plus(self, other: "Amount") -> "Amount":
        """Return the sum."""
        return Amount(self.tokens + other.tokens, self.calls + other.calls, self.cost + other.cost)

    def minus(self, other: "Amount") -> "Amount":
        """Return the difference, clamped at zero."""
        return Amount(
            max(0, self.tokens - other.tokens),
            max(0, self.calls - other.calls),
            max(0.0, self.cost - other.cost),
        )

    def to_record(self) -> Spending:
        """Return the journal representation."""
        return Spending(tokens=self.tokens, calls=self.calls, cost=self.cost)

    @staticmethod
    def from_record(spending: Spending) -> "Amount":
        """Create an amount from its journal representation."""
        return Amount(spending.tokens, spending.calls, spending.cost)


@dataclass(frozen=True, slots=True)
class Shortage:
    """The resource that a reservation exceeds."""

    field: str
    """`tokens`, `calls` or `cost`."""
    requested: float
    available: float


@dataclass(slots=True)
class Ledger:
    """Budget, reservations and spending of one program."""

    budget: ProgramBudget
    spent: Amount = Amount()
    reserved: Amount = Amount()

    def shortage(self, amount: Amount) -> Shortage | None:
        """Return the first resource that a reservation exceeds, or None if it fits."""
        committed = self.spent.plus(self.reserved)
        checks: tuple[tuple[str, float, float], ...] = (
            ("calls", amount.calls, self.budget.calls - committed.calls),
            ("tokens", amount.tokens, self.budget.tokens - committed.tokens),
            ("cost", amount.cost, self.budget.cost - committed.cost),
        )
        for field, requested, available in checks:
            if requested > available:
                return Shortage(field, requested, max(0, available))
        return None


def reserve(ledgers: Sequence[Ledger], amount: Amount) -> Shortage | None:
    """Reserve in all ledgers, or in none and return the shortage if one is exceeded."""
    for ledger in ledgers:
        shortage = ledger.shortage(amount)
        if shortage is not None:
            return shortage
    force_reserve(ledgers, amount)
    return None


def force_reserve(ledgers: Sequence[Ledger], amount: Amount) -> None:
    """Reserve an amount without checks, for an intent that is already committed."""
    for ledger in ledgers:
        ledger.reserved = ledger.reserved.plus(amount)


def settle(ledgers: Sequence[Ledger], reserved: Amount, spent: Amount) -> None:
    """Release a reservation and add what was spent."""
    for ledger in ledgers:
        ledger.reserved = ledger.reserved.minus(reserved)
        ledger.spent = ledger.spent.plus(spent)
