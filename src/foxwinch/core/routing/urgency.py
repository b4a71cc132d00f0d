"""How urgent a call is to its worker, from the rank of its route.

Workers admit more urgent calls ahead of others and displace the least urgent ones first. A route of
a higher rank is never put behind one of a lower rank of the same service.
"""

MOST_URGENT = 0
LEAST_URGENT = 9
FIRST_RANK_URGENCY = 2
"""Leaves room above for calls that must not wait at all."""
STEP = 3
"""Between neighbouring ranks; leaves room for the state of a program."""


def urgency_of(priority: int) -> int:
    """Return the urgency (0 is the most urgent) of a call whose route has rank `priority`."""
    return min(LEAST_URGENT, max(MOST_URGENT, FIRST_RANK_URGENCY + STEP * priority))
