"""Predetermined behaviour of the programs in a workload, which policies do not see."""

from dataclasses import dataclass

from foxwinch.emulator.engine_parameters import EngineParameters


@dataclass(frozen=True, slots=True)
class CallPlan:
    """One model call and the pause after it."""

    fresh_tokens: int
    """Prompt tokens added to the history, such as a question or a tool result."""
    output_tokens: int
    tool: str
    """Tool called afterwards; `user` waits for the user, empty ends the program."""
    pause_seconds: float
    children: tuple[tuple["CallPlan", ...], ...] = ()
    """Sub-agents that run in parallel after the call; each inherits the current history."""


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """Behaviour of one program."""

    number: int
    class_name: str
    arrival_seconds: float
    system_prefix: int
    """Number of the shared system prompt."""
    system_tokens: int
    calls: tuple[CallPlan, ...]
    abandoned_call_index: int | None = None
    """Index of the call during or after which the caller abandons the program, or None."""
    abandon_delay_seconds: float | None = None
    """Time from the submission of that call to the abandonment; None abandons after its pause."""
    loops: bool = False
    """Whether the program repeats a call until it is stopped, without a final output."""


def call_work_seconds(parameters: EngineParameters, fresh_tokens: int, output_tokens: int) -> float:
    """Return the engine seconds of a call with cached history in a full batch."""
    shared_step = parameters.step_base_seconds / parameters.maximum_running
    prefill = fresh_tokens * parameters.prefill_token_seconds
    return prefill + output_tokens * (parameters.decode_sequence_seconds + shared_step)


def program_work_seconds(parameters: EngineParameters, plan: ProgramPlan) -> float:
    """Return the engine seconds of a program in full batches, with nothing computed twice."""
    total = 0.0
    for call in plan.calls:
        total += call_work_seconds(parameters, call.fresh_tokens, call.output_tokens)
        for child in call.children:
            for step in child:
                total += call_work_seconds(parameters, step.fresh_tokens, step.output_tokens)
    return total


def unloaded_call_seconds(
    parameters: EngineParameters, fresh_tokens: int, output_tokens: int
) -> float:
    """Return the latency of a single call on an idle engine that has its history cached."""
    steps = -(-fresh_tokens // parameters.step_tokens)
    prefill = steps * parameters.step_base_seconds + fresh_tokens * parameters.prefill_token_seconds
    step = parameters.step_base_seconds + parameters.decode_sequence_seconds
    return prefill + (output_tokens - 1) * step


def unloaded_program_seconds(parameters: EngineParameters, plan: ProgramPlan) -> float:
    """Return the latency of a program on idle engines, excluding its own pauses."""
    total = 0.0
    for call in plan.calls:
        total += unloaded_call_seconds(parameters, call.fresh_tokens, call.output_tokens)
        total += max((_child_seconds(parameters, child) for child in call.children), default=0.0)
    return total


def _child_seconds(parameters: EngineParameters, child: tuple[CallPlan, ...]) -> float:
    running = sum(unloaded_call_seconds(parameters, c.fresh_tokens, c.output_tokens) for c in child)
    return running + sum(c.pause_seconds for c in child[:-1])
