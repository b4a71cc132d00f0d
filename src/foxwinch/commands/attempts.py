"""Combine the run states of several attempts of one call."""

from foxwinch.outcomes import Reason, Refused, RunState

RUN_STATE_ORDER = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)
"""Run states in rising order; a call has the highest run state of its attempts."""


def merge_attempts(last: Refused, earlier: Refused | None) -> Refused:
    """Return the last refusal with the highest run state of all attempts.

    If any attempt may have run, the call is never reported as `not_run`.
    """
    if earlier is None or RUN_STATE_ORDER.index(last.run_state) >= RUN_STATE_ORDER.index(
        earlier.run_state
    ):
        return last
    return Refused(last.reason, earlier.run_state, last.detail, last.retry_after_seconds)


def earlier_owner_attempt(rerun: bool) -> Refused | None:
    """Return the outcome of attempts before this owner's first one, or None if there were none.

    A call that an earlier owner admitted may have run there, regardless of its outcome here.
    """
    if not rerun:
        return None
    detail = "an earlier owner of the program may have run the call"
    return Refused(Reason.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail)
