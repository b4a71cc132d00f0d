"""The token budget of a program as it is stored: what is spent, and what is leased to nodes.

A node takes tokens for some turns ahead in one change of the record and spends them without asking.
What it has leased counts against the budget at its most until the node tells what was used. A lease
that its node does not renew expires and counts as spent for good: the node may have spent it.
"""

from dataclasses import dataclass, field

from foxwinch._generated.records_pb2 import BudgetRecordMessage


@dataclass(frozen=True, slots=True)
class Lease:
    """Tokens that one node may spend."""

    tokens: int
    expires_ms: int
    """On the store's clock."""
    sequence: int
    """Number of the node's last change of this record, by which it finds out what was applied."""


@dataclass(frozen=True, slots=True)
class BudgetRecord:
    """Tokens of one program."""

    spent: int = 0
    leases: dict[str, Lease] = field(default_factory=dict)
    """By node."""

    def leased_to_others(self, node: str) -> int:
        """Return the tokens leased to all nodes but one."""
        return sum(lease.tokens for holder, lease in self.leases.items() if holder != node)

    def expired(self, now_ms: int) -> "BudgetRecord":
        """Return the record with the leases that are over counted as spent."""
        over = sum(lease.tokens for lease in self.leases.values() if lease.expires_ms <= now_ms)
        kept = {node: lease for node, lease in self.leases.items() if lease.expires_ms > now_ms}
        return BudgetRecord(self.spent + over, kept)

    def changed(self, node: str, used: int, lease: Lease) -> "BudgetRecord":
        """Return the record after a node told what it used and took a new lease."""
        return BudgetRecord(self.spent + used, {**self.leases, node: lease})

    def encode(self) -> bytes:
        """Return the record as it is stored."""
        message = BudgetRecordMessage(spent_tokens=self.spent)
        for node, lease in self.leases.items():
            message.leases.add(
                node=node,
                tokens=lease.tokens,
                expires_ms=lease.expires_ms,
                sequence=lease.sequence,
            )
        return message.SerializeToString()

    @classmethod
    def decode(cls, value: bytes) -> "BudgetRecord":
        """Read a stored record; raises `DecodeError` when it is none."""
        message = BudgetRecordMessage.FromString(value)
        leases = {
            entry.node: Lease(entry.tokens, entry.expires_ms, entry.sequence)
            for entry in message.leases
        }
        return cls(message.spent_tokens, leases)
