"""Combine the run states of several attempts of one call."""

from foxwinch.outcomes import Reason, Refused, RunState

CERTAINTY = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)
"""Run states in rising order; a call has the highest run state of its attempts."""


def with_earlier(end: Refused, earlier: Refused | None) -> Refused:
    """Return the last refusal with the highest run state of all attempts.

    If any attempt may have run, the call is never reported as `not_run`.
    """
    if earlier is None or CERTAINTY.index(end.run_state) >= CERTAINTY.index(earlier.run_state):
        return end
    return Refused(end.reason, earlier.run_state, end.detail, end.retry_after_seconds)


def before_first(rerun: bool) -> Refused | None:
    """Return the outcome of attempts before this owner's first one, or None if there were none.

    A call that an earlier owner admitted may have run there, regardless of its outcome here.
    """
    if not rerun:
        return None
    detail = "an earlier owner of the program may have run the call"
    return Refused(Reason.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail)
