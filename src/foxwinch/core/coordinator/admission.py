"""Early refusal: a new program that cannot meet its deadline is told so at once."""

from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.policy import PolicySettings
from foxwinch.outcomes import Reason, Refused, not_run

MIN_RETRY_SECONDS = 1.0
"""Asking again sooner than a call lasts cannot find another answer."""


def refusal(
    policy: PolicySettings,
    call: PoolCall,
    lowest_rank: int,
    predicted_wait_seconds: float,
    now: float,
) -> Refused | None:
    """Return the refusal of a new program's first call, or None when it is admitted."""
    budget = call.deadline_at_seconds - now
    share = policy.refuse_share + policy.refuse_share_step * (lowest_rank - call.class_rank)
    allowed = share * max(budget, 0.0)
    if predicted_wait_seconds <= allowed:
        return None
    retry_after = max(MIN_RETRY_SECONDS, predicted_wait_seconds - allowed)
    detail = (
        f"predicted wait {predicted_wait_seconds:.1f} s of class {call.class_name}"
        f" is more than {allowed:.1f} s; nothing was run"
    )
    return not_run(Reason.OVERLOADED, detail, retry_after)
