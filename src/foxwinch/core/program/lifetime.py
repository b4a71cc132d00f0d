"""Automatic abandonment of programs: idle timeout, wall time limit or end of the parent."""

from foxwinch.core.program.admission import remaining_wall_seconds
from foxwinch.core.program.state import Program

IDLE = "idle"
PARENT_ENDED = "parent_ended"
WALL_TIME = "wall_time"


def abandonment_reason(program: Program, now_seconds: float) -> str | None:
    """Return why a live program counts as abandoned at `now_seconds` (wall time), or None."""
    if program.finished is not None:
        return None
    if program.parent is not None and program.parent.finished is not None:
        return PARENT_ENDED
    if program.active is not None or program.waiting:
        return None
    if remaining_wall_seconds(program, now_seconds) <= 0:
        return WALL_TIME
    if _idle_seconds(program, now_seconds) > program.created.idle_seconds:
        return IDLE
    return None


def _idle_seconds(program: Program, now_seconds: float) -> float:
    return now_seconds - program.last_active_seconds
