"""What a simulation gives; figures are made of it elsewhere."""

from dataclasses import dataclass, field

from foxwinch.bench.schedule.runs import ProgramRun


@dataclass(frozen=True, slots=True)
class TimelinePoint:
    """The pool at one moment."""

    at_seconds: float
    running: tuple[int, ...]
    cache_blocks: tuple[int, ...]
    unfinished_calls: int


@dataclass(slots=True)
class SimulationResult:
    """What one run gave."""

    runs: list[ProgramRun]
    prefill_tokens: dict[str, int]
    wasted_prefill_tokens: dict[str, int]
    held_dead_token_seconds: dict[str, float]
    ended_tokens: int
    """Cache tokens held for programs at the moment they ended."""
    busy_seconds: float
    timeline: list[TimelinePoint] = field(default_factory=list)
