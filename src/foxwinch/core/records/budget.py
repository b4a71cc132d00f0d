"""The token budget of a program: what is spent, reserved by requests and leased to nodes.

A record changes only by whole operations under the version of its row. Each operation can be
applied again without effect, so that a change whose answer was lost may simply be repeated.
"""

from dataclasses import dataclass, field, replace

from foxwinch._generated.records_pb2 import BudgetRecordMessage

MAXIMUM_RESERVATIONS = 400
"""Open requests of one program; a record stays far below the size of a row."""


@dataclass(frozen=True, slots=True)
class BudgetRecord:
    """Tokens of one program."""

    spent: int = 0
    reservations: dict[str, int] = field(default_factory=dict)
    """Tokens by request id: the most that the request may still generate."""

    @property
    def committed(self) -> int:
        """Tokens that are spent or may yet be."""
        return self.spent + sum(self.reservations.values())

    def encode(self) -> bytes:
        """Return the record as it is stored."""
        message = BudgetRecordMessage(spent_tokens=self.spent)
        for request_id, tokens in self.reservations.items():
            message.reservations.add(request_id=request_id, tokens=tokens)
        return message.SerializeToString()

    @classmethod
    def decode(cls, value: bytes) -> "BudgetRecord":
        """Read a stored record; raises `DecodeError` when it is none."""
        message = BudgetRecordMessage.FromString(value)
        reservations = {entry.request_id: entry.tokens for entry in message.reservations}
        return cls(message.spent_tokens, reservations)


@dataclass(frozen=True, slots=True)
class Reserve:
    """Take `tokens` for a request, within `budget`."""

    request_id: str
    tokens: int
    budget: int


@dataclass(frozen=True, slots=True)
class Settle:
    """Give back what a request did not use."""

    request_id: str
    used: int


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The reservation does not fit the budget."""

    committed: int
    """Tokens spent and reserved when it was refused."""


def reserve(record: BudgetRecord, operation: Reserve) -> BudgetRecord | Exhausted:
    """Apply a reservation; one that is there already stays as it is."""
    if operation.request_id in record.reservations:
        return record
    if record.committed + operation.tokens > operation.budget:
        return Exhausted(record.committed)
    if len(record.reservations) >= MAXIMUM_RESERVATIONS:
        return Exhausted(record.committed)
    reservations = {**record.reservations, operation.request_id: operation.tokens}
    return replace(record, reservations=reservations)


def settle(record: BudgetRecord, operation: Settle) -> BudgetRecord:
    """Apply a settlement; one whose reservation is not there was applied before."""
    if operation.request_id not in record.reservations:
        return record
    reservations = dict(record.reservations)
    del reservations[operation.request_id]
    return BudgetRecord(record.spent + operation.used, reservations)
