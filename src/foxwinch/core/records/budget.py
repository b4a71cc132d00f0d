"""The stored token budget of a program: spent tokens and the leases of nodes.

A node leases tokens for several turns in one change of the record and spends them without further
store calls. The full lease counts against the budget until the node reports its use. A lease that
is not renewed expires and counts as spent permanently, because the node may have spent it.
"""

from dataclasses import dataclass, field

from foxwinch._generated.records_pb2 import BudgetRecordMessage


@dataclass(frozen=True, slots=True)
class Lease:
    """Tokens that one node may spend."""

    tokens: int
    expires_ms: int
    """Expiry time on the store's clock."""
    sequence: int
    """Sequence number of the node's last change, by which it detects which change was applied."""


@dataclass(frozen=True, slots=True)
class BudgetRecord:
    """Spent and leased tokens of one program."""

    spent: int = 0
    leases: dict[str, Lease] = field(default_factory=dict)
    """Leases by node."""

    def leased_to_others(self, node: str) -> int:
        """Return the tokens leased to nodes other than `node`."""
        return sum(lease.tokens for holder, lease in self.leases.items() if holder != node)

    def with_expired_leases_spent(self, now_ms: int) -> "BudgetRecord":
        """Return the record with expired leases counted as spent."""
        expired_tokens = sum(
            lease.tokens for lease in self.leases.values() if lease.expires_ms <= now_ms
        )
        valid_leases = {
            node: lease for node, lease in self.leases.items() if lease.expires_ms > now_ms
        }
        return BudgetRecord(self.spent + expired_tokens, valid_leases)

    def with_lease(self, node: str, used: int, lease: Lease) -> "BudgetRecord":
        """Return the record after a node reported its use and took a new lease."""
        return BudgetRecord(self.spent + used, {**self.leases, node: lease})

    def encode(self) -> bytes:
        """Return the stored form of the record."""
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
        """Decode a stored record; raise `DecodeError` if it is malformed."""
        message = BudgetRecordMessage.FromString(value)
        leases = {
            entry.node: Lease(entry.tokens, entry.expires_ms, entry.sequence)
            for entry in message.leases
        }
        return cls(message.spent_tokens, leases)
