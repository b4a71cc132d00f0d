"""What several attempts of one call say together."""

from foxwinch.outcomes import Refused, RunState

CERTAINTY = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)
"""From no effect to a certain one: the furthest of all attempts is true of the call."""


def with_earlier(end: Refused, earlier: Refused | None) -> Refused:
    """Return the last refusal with a run state that is true of all attempts.

    A call of which one attempt may have run is never told to be `not_run`.
    """
    if earlier is None or CERTAINTY.index(end.run_state) >= CERTAINTY.index(earlier.run_state):
        return end
    return Refused(end.reason, earlier.run_state, end.detail, end.retry_after_seconds)
