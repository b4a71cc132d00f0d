"""In-memory model of the platform's transactional table service."""

from dataclasses import dataclass

from cachetools import LRUCache
from sortedcontainers import SortedDict

from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.storage.ports import (
    Committed,
    Condition,
    ConditionFailed,
    Row,
    RowPage,
    Transaction,
    Write,
)

REMEMBERED_TOKENS = 100_000
"""Request tokens whose outcome is kept; a real service keeps them for some minutes."""


@dataclass(frozen=True, slots=True)
class _Remembered:
    transaction: Transaction
    outcome: Committed | ConditionFailed


class TableModel:
    """Rows with versions, conditional transactions, and outcomes kept by request token.

    A row that was deleted and written anew starts at version 1 again.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.rows: SortedDict = SortedDict()
        self._tokens: LRUCache[str, _Remembered] = LRUCache(REMEMBERED_TOKENS)
        self.commits = 0
        """Transactions that took effect; a repeated token does not count."""

    def transact(self, transaction: Transaction) -> Committed | ConditionFailed | Refused:
        """Apply a transaction once; the same token again returns the first outcome."""
        known = self._tokens.get(transaction.token)
        if known is not None:
            if known.transaction != transaction:
                return not_run(Reason.INVALID_REQUEST, "token was used for another transaction")
            return known.outcome
        outcome = self._failed_condition(transaction.conditions) or self._commit(transaction)
        self._tokens[transaction.token] = _Remembered(transaction, outcome)
        return outcome

    def read(self, key: str) -> Row | None:
        """Return a row, or None when it is absent."""
        row: Row | None = self.rows.get(key)
        return row

    def scan(self, prefix: str, start: str, limit: int) -> RowPage:
        """Return up to `limit` rows with a prefix, from key `start` on."""
        rows: list[Row] = []
        for key in self.rows.irange(minimum=max(prefix, start)):
            if not key.startswith(prefix):
                break
            if len(rows) == limit:
                return RowPage(tuple(rows), key)
            rows.append(self.rows[key])
        return RowPage(tuple(rows), None)

    def _failed_condition(self, conditions: tuple[Condition, ...]) -> ConditionFailed | None:
        for condition in conditions:
            version = self._version(condition.key)
            if version != condition.version:
                return ConditionFailed(condition.key, version)
        return None

    def _commit(self, transaction: Transaction) -> Committed:
        self.commits += 1
        return Committed(tuple(self._write(write) for write in transaction.writes))

    def _write(self, write: Write) -> int:
        if write.value is None:
            self.rows.pop(write.key, None)
            return 0
        version = self._version(write.key) + 1
        self.rows[write.key] = Row(write.key, write.value, version)
        return version

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return 0 if row is None else int(row.version)
