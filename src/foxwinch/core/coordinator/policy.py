"""Settings of the scheduling policy: features that can be turned off, and constants with reasons.

The figures behind the constants stand in docs/design/scheduling.md.
"""

from dataclasses import dataclass
from typing import Literal

Objective = Literal["latency", "cache"]

CACHE_OBJECTIVE_WAIT_SECONDS = 6.0
"""Longest wait for the worker with the prefix under the `cache` objective: 4 % less waste, 3 %
more at the 95th percentile of journeys."""


@dataclass(frozen=True, slots=True)
class Features:
    """Parts of the policy; each can be turned off to measure what it brings."""

    class_order: bool = True
    """Calls of more urgent classes go first."""
    deadline_order: bool = True
    """Calls whose deadline is near go first."""
    critical_path: bool = True
    """Calls of parallel sub-agents are ordered by when their common step began."""
    cache_placement: bool = True
    """Placement weighs cached prefixes."""
    transfers: bool = True
    """Prefixes are copied between workers where that is cheaper than computing them again."""
    wait_for_cache: bool = True
    """A call waits for the worker with its prefix where that is predicted to be cheaper."""
    release_ended: bool = True
    """Cache of ended programs is freed at once."""
    release_moved: bool = True
    """Cache left behind by a program that has moved is freed at once."""
    preemption: bool = True
    """Urgent calls preempt others on a full worker."""
    quiet_lane: bool = True
    """No other call is sent to a worker while it runs an urgent one."""
    admission: bool = True
    """New programs that cannot meet their deadline are refused at once."""


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Everything that shapes decisions."""

    features: Features = Features()
    class_step_seconds: float = 20.0
    """Head start of a class over the next one; the bound on starvation."""
    others_weight: float = 1.0
    """Weight of the delay that a call's prefill causes to the calls beside it, against its own."""
    transfer_margin: float = 1.0
    """A transfer must cost less than this share of the prefill that it saves."""
    quiet_slots_share: float = 0.8
    """Beside urgent calls at most this share of the places is filled with other calls."""
    quiet_prefill_tokens: int = 256
    """Beside urgent calls one other prefill at a time is started, of at most this length."""
    new_lane_seconds: float = 0.15
    """Cost of making one more worker quiet; below it urgent calls gather on few workers."""
    longest_cache_wait_seconds: float = 2.0
    """A call that has waited so long takes any free place: predictions have failed it."""
    refuse_share: float = 0.1
    """A new program is refused when its predicted wait passes this share of its deadline: under
    overload the programs admitted must still meet theirs, and 0.5 let twice as many miss it."""
    refuse_share_step: float = 0.1
    """A class one rank more urgent tolerates so much more of its deadline in waiting, so that the
    least urgent is refused first; at 0.03 two classes were refused at the same queue."""
    scan_limit: int = 16
    """Waiting calls looked at for one free place: bounds the cost of a decision."""


def policy_for(objective: Objective, features: Features | None = None) -> PolicySettings:
    """Return the settings that express what a deployment weighs more."""
    chosen = features if features is not None else Features()
    if objective == "cache":
        return PolicySettings(
            features=chosen, longest_cache_wait_seconds=CACHE_OBJECTIVE_WAIT_SECONDS
        )
    return PolicySettings(features=chosen)
