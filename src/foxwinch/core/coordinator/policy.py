"""Settings of the scheduling policy: optional features and constants.

The measurements behind the constants are documented in docs/design/scheduling.md.
"""

from dataclasses import dataclass
from typing import Literal

Objective = Literal["latency", "cache"]

CACHE_OBJECTIVE_WAIT_SECONDS = 6.0
"""Limit of the wait for the worker with the prefix under the `cache` objective. It reduces waste by
4 % and increases the 95th percentile of journey latency by 3 %."""


@dataclass(frozen=True, slots=True)
class Features:
    """Features of the policy, each of which can be disabled to measure its effect."""

    class_order: bool = True
    """Order waiting calls by class urgency."""
    deadline_order: bool = True
    """Prioritize calls whose deadline is near."""
    critical_path: bool = True
    """Order calls of parallel sub-agents by the start of their common step."""
    cache_placement: bool = True
    """Include cached prefixes in the placement cost."""
    transfers: bool = True
    """Copy prefixes between workers where this is cheaper than recomputing them."""
    wait_for_cache: bool = True
    """Let a call wait for the worker with its prefix where this is predicted to be cheaper."""
    release_ended: bool = True
    """Free the cache of ended programs immediately."""
    release_moved: bool = True
    """Free the cache on the previous workers of a program immediately after it moves."""
    preemption: bool = True
    """Let urgent calls preempt others on a full worker."""
    quiet_lane: bool = True
    """Send no other calls to a worker while they would slow its urgent calls."""
    admission: bool = True
    """Reject new programs that cannot meet their deadline."""


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Parameters of scheduling decisions."""

    features: Features = Features()
    class_step_seconds: float = 20.0
    """Head start of a class over the next lower one, which bounds starvation."""
    others_weight: float = 1.0
    """Weight of the delay that a call causes to other calls on the worker, relative to its own."""
    transfer_margin: float = 1.0
    """A transfer must cost less than this share of the prefill time that it saves."""
    quiet_slots_share: float = 0.8
    """Maximum share of occupied slots at which a worker with urgent calls accepts other calls."""
    quiet_prefill_tokens: int = 256
    """Maximum length of a prefill that other calls may start, one at a time, on a worker with
    urgent calls."""
    new_lane_seconds: float = 0.15
    """Cost of sending an urgent call to a worker without any; it concentrates urgent calls on few
    workers."""
    longest_cache_wait_seconds: float = 2.0
    """A call that has waited longer takes any free slot, because the prediction was wrong."""
    refuse_share: float = 0.1
    """A new program is rejected if its predicted wait exceeds this share of its deadline. Admitted
    programs must still meet their deadlines under overload; with 0.5 twice as many missed them."""
    refuse_share_step: float = 0.1
    """Additional share for each rank of urgency, so that the least urgent class is rejected first.
    With 0.03 two classes were rejected at the same queue length."""
    scan_limit: int = 16
    """Waiting calls examined per decision, which bounds its cost."""


def policy_for(objective: Objective, features: Features | None = None) -> PolicySettings:
    """Return the policy settings for the objective of a deployment."""
    chosen = features if features is not None else Features()
    if objective == "cache":
        return PolicySettings(
            features=chosen, longest_cache_wait_seconds=CACHE_OBJECTIVE_WAIT_SECONDS
        )
    return PolicySettings(features=chosen)
