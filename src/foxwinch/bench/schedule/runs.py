"""Runtime state of simulated programs: chains of calls on a shared history."""

from dataclasses import dataclass, field

from foxwinch.bench.schedule.context import Context
from foxwinch.bench.schedule.plans import CallPlan, ProgramPlan
from foxwinch.identifiers import CallId, ProgramId


@dataclass(slots=True)
class ProgramRun:
    """State and outcome of one program of the workload."""

    plan: ProgramPlan
    program_id: ProgramId
    paused_seconds: float = 0.0
    """Total of the program's own pauses, which do not count towards its latency."""
    service_seconds: float = 0.0
    chains: dict[ProgramId, "Chain"] = field(default_factory=dict)
    """The program's own chain and those of its running sub-agents."""
    running_children: int = 0
    children_started: int = 0
    refusals: int = 0
    ended_at_seconds: float | None = None
    outcome: str = "unfinished"
    """One of `finished`, `refused`, `abandoned`, `stopped` (a loop) and `unfinished`."""

    @property
    def latency_seconds(self) -> float:
        """Time from arrival to end, excluding the program's own pauses."""
        assert self.ended_at_seconds is not None
        return self.ended_at_seconds - self.plan.arrival_seconds - self.paused_seconds


@dataclass(slots=True)
class Chain:
    """Sequential calls of a program or of one of its sub-agents."""

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
        """Whether the chain belongs to a sub-agent."""
        return self.program_id != self.run.program_id

    @property
    def plan(self) -> CallPlan:
        """The current call."""
        return self.calls[self.position]

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens of the current call."""
        return self.context.tokens + self.plan.fresh_tokens
