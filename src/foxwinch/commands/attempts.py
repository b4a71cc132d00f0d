"""What several attempts of one call say together."""

from foxwinch.outcomes import Reason, Refused, RunState

CERTAINTY = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)
"""From no effect to a certain one: the furthest of all attempts is true of the call."""


def with_earlier(end: Refused, earlier: Refused | None) -> Refused:
    """Return the last refusal with a run state that is true of all attempts.

    A call of which one attempt may have run is never told to be `not_run`.
    """
    if earlier is None or CERTAINTY.index(end.run_state) >= CERTAINTY.index(earlier.run_state):
        return end
    return Refused(end.reason, earlier.run_state, end.detail, end.retry_after_seconds)


def before_first(rerun: bool) -> Refused | None:
    """Return what is known before this owner's first attempt.

    A call that an earlier owner has admitted may have run there, whatever becomes of it here.
    """
    if not rerun:
        return None
    detail = "an earlier owner of the program may have run the call"
    return Refused(Reason.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail)
