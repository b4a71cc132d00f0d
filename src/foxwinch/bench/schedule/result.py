"""Raw result of a simulation."""

from dataclasses import dataclass, field

from foxwinch.bench.schedule.runs import ProgramRun


@dataclass(frozen=True, slots=True)
class TimelinePoint:
    """Load of the pool at one point in time."""

    at_seconds: float
    running: tuple[int, ...]
    cache_blocks: tuple[int, ...]
    unfinished_calls: int


@dataclass(slots=True)
class SimulationResult:
    """Result of one simulation run."""

    runs: list[ProgramRun]
    prefill_tokens: dict[str, int]
    wasted_prefill_tokens: dict[str, int]
    held_dead_token_seconds: dict[str, float]
    ended_tokens: int
    """Cache tokens held for programs at the time they ended."""
    busy_seconds: float
    timeline: list[TimelinePoint] = field(default_factory=list)
