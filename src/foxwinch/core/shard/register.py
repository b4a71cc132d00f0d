"""Epoch registers of fenced resources on one replica: what it has learnt and promised."""

from dataclasses import dataclass
from typing import Generic, TypeVar

from foxwinch.core.shard.epochs import NO_EPOCH, term_of
from foxwinch.identifiers import Epoch

RowT = TypeVar("RowT")


@dataclass(frozen=True, slots=True)
class RegisterState(Generic[RowT]):
    """A register: the row of the highest term learnt, and the highest epoch promised."""

    row: RowT | None = None
    row_epoch: Epoch = NO_EPOCH
    promised: Epoch = NO_EPOCH

    def learn(self, row: RowT, epoch: Epoch) -> "RegisterState[RowT]":
        """Return the state after learning a row that the table accepted under `epoch`."""
        if epoch <= self.row_epoch:
            return self
        return RegisterState(row, epoch, max(self.promised, epoch))

    def promise(self, epoch: Epoch) -> "RegisterState[RowT] | None":
        """Return the state after promising `epoch`, or None when it must be refused.

        An epoch is promised once only, so no two nodes collect a majority for the same one; and
        only inside the term that this replica has learnt, so a stale group raises nothing.
        """
        if epoch <= self.promised or term_of(epoch) != term_of(self.row_epoch):
            return None
        return RegisterState(self.row, self.row_epoch, epoch)
