"""What a program of the workload will do; known to the simulation, unknown to the policies."""

from dataclasses import dataclass

from foxwinch.emulator.engine_parameters import EngineParameters


@dataclass(frozen=True, slots=True)
class CallPlan:
    """One model call and the pause after it."""

    fresh_tokens: int
    """Prompt tokens beyond the history: a question, a tool's result."""
    output_tokens: int
    tool: str
    """Tool called afterwards; `user` waits for the user; empty when the program ends here."""
    pause_seconds: float
    children: tuple[tuple["CallPlan", ...], ...] = ()
    """Sub-agents that run in parallel after the call; each starts from the history so far."""


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """One program."""

    number: int
    class_name: str
    arrival_seconds: float
    system_prefix: int
    """Which of the shared system prompts it starts with."""
    system_tokens: int
    calls: tuple[CallPlan, ...]
    abandoned_after: int | None = None
    """Index of the call that the caller gives up in or after, or None."""
    abandoned_during: float | None = None
    """Seconds into that call at which it is given up; None: in the pause after it."""
    loops: bool = False
    """True when it repeats itself until it is stopped; it gives no answer."""


def call_work_seconds(parameters: EngineParameters, fresh_tokens: int, output_tokens: int) -> float:
    """Return the engine time of a call whose history is cached, in a full batch."""
    shared_step = parameters.step_base_seconds / parameters.maximum_running
    prefill = fresh_tokens * parameters.prefill_token_seconds
    return prefill + output_tokens * (parameters.decode_sequence_seconds + shared_step)


def program_work_seconds(parameters: EngineParameters, plan: ProgramPlan) -> float:
    """Return the engine time of a program without any waste, in full batches."""
    total = 0.0
    for call in plan.calls:
        total += call_work_seconds(parameters, call.fresh_tokens, call.output_tokens)
        for child in call.children:
            for step in child:
                total += call_work_seconds(parameters, step.fresh_tokens, step.output_tokens)
    return total


def call_alone_seconds(
    parameters: EngineParameters, fresh_tokens: int, output_tokens: int
) -> float:
    """Return the latency of a call alone on an engine that has its history cached."""
    steps = -(-fresh_tokens // parameters.step_tokens)
    prefill = steps * parameters.step_base_seconds + fresh_tokens * parameters.prefill_token_seconds
    step = parameters.step_base_seconds + parameters.decode_sequence_seconds
    return prefill + (output_tokens - 1) * step


def program_alone_seconds(parameters: EngineParameters, plan: ProgramPlan) -> float:
    """Return the latency of a program on idle engines, its own pauses not counted."""
    total = 0.0
    for call in plan.calls:
        total += call_alone_seconds(parameters, call.fresh_tokens, call.output_tokens)
        total += max((_child_seconds(parameters, child) for child in call.children), default=0.0)
    return total


def _child_seconds(parameters: EngineParameters, child: tuple[CallPlan, ...]) -> float:
    running = sum(call_alone_seconds(parameters, c.fresh_tokens, c.output_tokens) for c in child)
    return running + sum(c.pause_seconds for c in child[:-1])
