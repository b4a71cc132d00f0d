"""How urgent a call is to its worker: by the rank of its route, and by the state of its program.

Workers admit more urgent calls ahead of others and displace the least urgent ones first. A route of
a higher rank is never put behind one of a lower rank of the same service. Within a rank, programs
that can still be over in time come before those that cannot: a late end earns less, whenever it
comes.
"""

MOST_URGENT = 0
LEAST_URGENT = 9
FIRST_RANK_URGENCY = 2
"""Leaves room above for calls that must not wait at all."""
STEP = 3
"""Between neighbouring ranks; leaves room for the state of a program."""
LATE_STEP = 1
"""How far a late program is put behind those of its rank that are in time; below `STEP`."""


def urgency_of(priority: int, late: bool = False) -> int:
    """Return the urgency (0 is the most urgent) of a call whose route has rank `priority`.

    `late` tells that its program cannot be over in time any more.
    """
    urgency = FIRST_RANK_URGENCY + STEP * priority + (LATE_STEP if late else 0)
    return min(LEAST_URGENT, max(MOST_URGENT, urgency))
