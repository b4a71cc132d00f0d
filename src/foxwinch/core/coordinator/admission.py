"""Admission control: new programs that cannot meet their deadline are rejected immediately."""

from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.policy import PolicySettings
from foxwinch.outcomes import Reason, Refused, not_run

MIN_RETRY_SECONDS = 1.0
"""A retry within the duration of a call would get the same result."""


def check_admission(
    policy: PolicySettings,
    call: PoolCall,
    lowest_rank: int,
    predicted_wait_seconds: float,
    now: float,
) -> Refused | None:
    """Return the rejection of a new program's first call, or None if it is admitted."""
    budget = call.deadline_at_seconds - now
    share = policy.refuse_share + policy.refuse_share_step * (lowest_rank - call.class_rank)
    allowed = share * max(budget, 0.0)
    if predicted_wait_seconds <= allowed:
        return None
    retry_after = max(MIN_RETRY_SECONDS, predicted_wait_seconds - allowed)
    detail = (
        f"predicted wait of {predicted_wait_seconds:.1f} s for class {call.class_name}"
        f" exceeds {allowed:.1f} s; the call was not run"
    )
    return not_run(Reason.OVERLOADED, detail, retry_after)
