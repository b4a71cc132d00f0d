"""Urgency of a call at its worker, from its route's priority and its program's deadline.

Workers admit more urgent calls first and displace the least urgent ones first. A route of higher
priority never ranks behind a route of lower priority of the same service. Within a priority,
programs that can still meet their deadline come before those that cannot: a late result has a lower
value, however late it is.
"""

MOST_URGENT = 0
LEAST_URGENT = 9
HIGHEST_PRIORITY_URGENCY = 2
"""Urgency of priority 0; the values above it are reserved for calls that must not wait."""
PRIORITY_STEP = 3
"""Distance between consecutive priorities; it leaves room for the deadline state of a program."""
LATE_PENALTY = 1
"""Penalty of a late program within its priority; it must be below `PRIORITY_STEP`."""


def urgency_of(priority: int, late: bool = False) -> int:
    """Return the urgency of a call, where 0 is the most urgent.

    `late` means that the call's program can no longer meet its deadline.
    """
    urgency = HIGHEST_PRIORITY_URGENCY + PRIORITY_STEP * priority + (LATE_PENALTY if late else 0)
    return min(LEAST_URGENT, max(MOST_URGENT, urgency))
