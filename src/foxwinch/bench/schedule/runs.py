"""Programs as they run in a simulation: chains of calls over a history."""

from dataclasses import dataclass, field

from foxwinch.bench.schedule.context import Context
from foxwinch.bench.schedule.plans import CallPlan, ProgramPlan
from foxwinch.identifiers import CallId, ProgramId


@dataclass(slots=True)
class ProgramRun:
    """One program of the workload and what became of it."""

    plan: ProgramPlan
    program_id: ProgramId
    paused_seconds: float = 0.0
    """Its own pauses, which do not count for its latency."""
    service_seconds: float = 0.0
    chains: dict[ProgramId, "Chain"] = field(default_factory=dict)
    """The program's own chain and those of its sub-agents that still run."""
    children_left: int = 0
    children_started: int = 0
    refusals: int = 0
    ended_at_seconds: float | None = None
    outcome: str = "unfinished"
    """`finished`, `refused`, `abandoned`, `stopped` (a loop) or `unfinished`."""

    @property
    def latency_seconds(self) -> float:
        """Time from arrival to end without own pauses."""
        assert self.ended_at_seconds is not None
        return self.ended_at_seconds - self.plan.arrival_seconds - self.paused_seconds


@dataclass(slots=True)
class Chain:
    """Calls one after another: a program's own or a sub-agent's."""

    run: ProgramRun
    program_id: ProgramId
    context: Context
    calls: tuple[CallPlan, ...]
    position: int = 0
    call_id: CallId | None = None
    """The call that is queued or running."""
    engine: int | None = None
    dispatched_at_seconds: float = 0.0

    @property
    def is_child(self) -> bool:
        """Tell whether this is a sub-agent's."""
        return self.program_id != self.run.program_id

    @property
    def plan(self) -> CallPlan:
        """The current call."""
        return self.calls[self.position]

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the current call's prompt."""
        return self.context.tokens + self.plan.fresh_tokens
