"""Generate the programs of a deployment from a seed.

Load is the offered engine work divided by engines x duration. The work of a program is the time
that one engine needs for its new prompt tokens and output tokens in full batches, with nothing
computed twice. At every load, the same seed gives the same programs at a different arrival rate.
"""

import math
import random
from dataclasses import dataclass, replace

from foxwinch.bench.schedule.deployments import ClassShape, DeploymentShape, PauseShape
from foxwinch.bench.schedule.plans import CallPlan, ProgramPlan, program_work_seconds
from foxwinch.emulator.engine_parameters import EngineParameters

PEAK_START = 0.4
PEAK_END = 0.5
"""End of the arrival peak; both bounds are fractions of the run duration."""
LOOP_CALLS = 5
"""Number of repeated calls after which a looping program is stopped."""
CHILD_COUNT_RANGE = (2, 4)
CHILD_CALL_COUNT_RANGE = (1, 2)


@dataclass(frozen=True, slots=True)
class Window:
    """Phases of a run."""

    warm_up_seconds: float = 200.0
    """Initial phase whose programs load the engines but are not measured."""
    measured_seconds: float = 500.0
    cool_down_seconds: float = 100.0
    """Final phase in which arrivals continue, to keep up the load for measured programs."""

    @property
    def duration_seconds(self) -> float:
        """Time of the last arrival."""
        return self.warm_up_seconds + self.measured_seconds + self.cool_down_seconds

    def scaled_to(self, measured_seconds: float) -> "Window":
        """Return a window of the same proportions with another measured phase."""
        scale = measured_seconds / self.measured_seconds
        return Window(
            self.warm_up_seconds * scale, measured_seconds, self.cool_down_seconds * scale
        )


STANDARD_WINDOW = Window()


@dataclass(frozen=True, slots=True)
class Workload:
    """Programs of a run in order of arrival."""

    deployment: DeploymentShape
    load: float
    seed: int
    window: Window
    programs: tuple[ProgramPlan, ...]

    def is_measured(self, plan: ProgramPlan) -> bool:
        """Return whether the program counts towards the figures."""
        start = self.window.warm_up_seconds
        return start <= plan.arrival_seconds < start + self.window.measured_seconds

    @property
    def duration_seconds(self) -> float:
        """Time of the last arrival."""
        return self.window.duration_seconds


def build_workload(
    deployment: DeploymentShape,
    load: float,
    seed: int,
    parameters: EngineParameters,
    window: Window = STANDARD_WINDOW,
) -> Workload:
    """Draw programs until their work reaches the load, then draw their arrival times."""
    rng = random.Random(f"{deployment.name}/{seed}")
    duration = window.duration_seconds
    budget = load * deployment.engines * duration
    plans: list[ProgramPlan] = []
    work = 0.0
    while work < budget:
        plan = _draw_program(rng, deployment, len(plans))
        plans.append(plan)
        work += program_work_seconds(parameters, plan)
    programs = _draw_arrivals(plans, deployment, duration, seed)
    return Workload(deployment, load, seed, window, programs)


def _draw_arrivals(
    plans: list[ProgramPlan], deployment: DeploymentShape, duration: float, seed: int
) -> tuple[ProgramPlan, ...]:
    rng = random.Random(f"{deployment.name}/{seed}/arrivals")
    factors = {shape.name: shape.peak_factor for shape in deployment.classes}
    timed = []
    for plan in plans:
        at = _arrival_share(rng.random(), factors[plan.class_name]) * duration
        timed.append(replace(plan, arrival_seconds=at))
    return tuple(sorted(timed, key=lambda plan: plan.arrival_seconds))


def _arrival_share(uniform: float, factor: float) -> float:
    """Map a uniform number to a time whose density is `factor` times higher in the peak."""
    before, inside = PEAK_START, (PEAK_END - PEAK_START) * factor
    mass = uniform * (before + inside + 1.0 - PEAK_END)
    if mass < before:
        return mass
    if mass < before + inside:
        return PEAK_START + (mass - before) / factor
    return PEAK_END + mass - before - inside


def _draw_program(rng: random.Random, deployment: DeploymentShape, number: int) -> ProgramPlan:
    shapes = deployment.classes
    shape = rng.choices(shapes, [s.share for s in shapes])[0]
    calls = _draw_calls(rng, deployment, shape)
    loops = rng.random() < shape.loop_share
    if loops:
        repeated = replace(calls[-1], tool=shape.tools[0], pause_seconds=0.5, children=())
        calls = calls[:-1] + [repeated] * (LOOP_CALLS - 1) + [calls[-1]]
    abandoned = abandon_delay_seconds = None
    if rng.random() < shape.abandoned_share:
        abandoned = rng.randrange(len(calls))
        if rng.random() < 0.5 or abandoned == len(calls) - 1:
            abandon_delay_seconds = rng.uniform(0.2, 3.0)
    return ProgramPlan(
        number=number,
        class_name=shape.name,
        arrival_seconds=0.0,
        system_prefix=rng.choice(shape.system_prefixes),
        system_tokens=shape.system_tokens,
        calls=tuple(calls),
        abandoned_call_index=abandoned,
        abandon_delay_seconds=abandon_delay_seconds,
        loops=loops,
    )


def _draw_calls(
    rng: random.Random, deployment: DeploymentShape, shape: ClassShape
) -> list[CallPlan]:
    calls: list[CallPlan] = []
    turns = rng.randint(*shape.turns)
    for turn in range(turns):
        fresh = rng.randint(*(shape.turn_tokens if turn else shape.first_tokens))
        if rng.random() < shape.tool_share:
            tool = rng.choice(shape.tools)
            calls.append(_draw_call(rng, deployment, shape, fresh, tool))
            fresh = rng.randint(*shape.tool_tokens)
        children: tuple[tuple[CallPlan, ...], ...] = ()
        if rng.random() < shape.parallel_share:
            count = rng.randint(*CHILD_COUNT_RANGE)
            children = tuple(_draw_child(rng, deployment, shape) for _ in range(count))
        last = turn == turns - 1 and not children
        tool = "" if last else "user" if shape.is_interactive else shape.tools[0]
        if children:
            parent_call = _draw_call(rng, deployment, shape, fresh, "")
            calls.append(replace(parent_call, children=children))
            fresh = rng.randint(60, 120) * len(children)
            tool = "" if turn == turns - 1 else tool
        calls.append(_draw_call(rng, deployment, shape, fresh, tool))
    return calls


def _draw_child(
    rng: random.Random, deployment: DeploymentShape, shape: ClassShape
) -> tuple[CallPlan, ...]:
    count = rng.randint(*CHILD_CALL_COUNT_RANGE)
    calls = []
    for index in range(count):
        fresh = rng.randint(*(shape.tool_tokens if index else shape.turn_tokens))
        tool = shape.tools[0] if index < count - 1 else ""
        calls.append(_draw_call(rng, deployment, shape, fresh, tool))
    return tuple(calls)


def _draw_call(
    rng: random.Random,
    deployment: DeploymentShape,
    shape: ClassShape,
    fresh: int,
    tool: str,
) -> CallPlan:
    pause = _draw_pause(rng, deployment.pauses[tool]) if tool else 0.0
    return CallPlan(fresh, rng.randint(*shape.output_tokens), tool, pause)


def _draw_pause(rng: random.Random, shape: PauseShape) -> float:
    drawn = rng.lognormvariate(math.log(shape.median_seconds), shape.sigma)
    return min(drawn, shape.longest_seconds)
