"""Epochs as pairs of a term and a step.

The table raises the term by compare-and-set. While it is down, a majority of the replicas that the
table recorded last raises the step. Every raise of the term voids every step below it, so the two
ways of raising never give two holders the same epoch.
"""

from foxwinch.identifiers import Epoch

STEP_BITS = 20
"""About a million raises fit between two raises of the term."""
_STEP_MASK = (1 << STEP_BITS) - 1

NO_EPOCH = Epoch(0)
"""Lower than every epoch that was ever given out."""


def term_of(epoch: Epoch) -> int:
    """Return the part that only the table raises."""
    return epoch >> STEP_BITS


def step_of(epoch: Epoch) -> int:
    """Return the part that a majority of the replicas raises."""
    return epoch & _STEP_MASK


def next_term(epoch: Epoch) -> Epoch:
    """Return the first epoch above every epoch of this term."""
    return Epoch((term_of(epoch) + 1) << STEP_BITS)


def next_step(epoch: Epoch) -> Epoch:
    """Return the epoch one step higher inside the same term.

    Raises OverflowError when a term has no step left, which a bounded retry never reaches.
    """
    if step_of(epoch) == _STEP_MASK:
        raise OverflowError("no step left in this term")
    return Epoch(epoch + 1)


def majority(members: int) -> int:
    """Return the smallest number of members that is more than half of them."""
    return members // 2 + 1


def seal_quorum(members: int) -> int:
    """Return how many members meet every majority in at least one of them."""
    return members - majority(members) + 1
