"""Programs of a deployment, by seed.

Load is offered engine work over capacity: the sum over programs of the time that one engine would
need for their fresh prompt tokens and answers in full batches, with nothing computed twice, over
engines x duration. The same seed gives the same programs at every load, closer together.
"""

import math
import random
from dataclasses import dataclass, replace

from foxwinch.bench.schedule.deployments import ClassShape, DeploymentShape, PauseShape
from foxwinch.bench.schedule.plans import CallPlan, ProgramPlan, program_work_seconds
from foxwinch.emulator.engine_parameters import EngineParameters

PEAK_BEGINS = 0.4
PEAK_ENDS = 0.5
"""Part of the whole time in which the peak of arrivals falls."""
LOOP_CALLS = 5
"""Repeated calls after which a looping program is stopped."""
CHILDREN = (2, 4)
CHILD_CALLS = (1, 2)


@dataclass(frozen=True, slots=True)
class Window:
    """Parts of a run, in seconds."""

    warm_up_seconds: float = 200.0
    """Programs that arrive earlier load the engines and are not measured."""
    measured_seconds: float = 500.0
    cool_down_seconds: float = 100.0
    """Arrivals go on for so long afterwards, so that the load stays."""

    @property
    def duration_seconds(self) -> float:
        """Time of the last arrival."""
        return self.warm_up_seconds + self.measured_seconds + self.cool_down_seconds

    def scaled_to(self, measured_seconds: float) -> "Window":
        """Return a window of the same proportions."""
        scale = measured_seconds / self.measured_seconds
        return Window(
            self.warm_up_seconds * scale, measured_seconds, self.cool_down_seconds * scale
        )


STANDARD_WINDOW = Window()


@dataclass(frozen=True, slots=True)
class Workload:
    """Programs in order of arrival."""

    deployment: DeploymentShape
    load: float
    seed: int
    window: Window
    programs: tuple[ProgramPlan, ...]

    def is_measured(self, plan: ProgramPlan) -> bool:
        """Tell whether the program counts for the figures."""
        begins = self.window.warm_up_seconds
        return begins <= plan.arrival_seconds < begins + self.window.measured_seconds

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
    """Draw programs until their work fills the load; the peak bends their arrival times."""
    source = random.Random(f"{deployment.name}/{seed}")
    duration = window.duration_seconds
    budget = load * deployment.engines * duration
    plans: list[ProgramPlan] = []
    work = 0.0
    while work < budget:
        plan = _draw_program(source, deployment, len(plans))
        plans.append(plan)
        work += program_work_seconds(parameters, plan)
    placed = _place_arrivals(plans, deployment, duration, seed)
    return Workload(deployment, load, seed, window, placed)


def _place_arrivals(
    plans: list[ProgramPlan], deployment: DeploymentShape, duration: float, seed: int
) -> tuple[ProgramPlan, ...]:
    source = random.Random(f"{deployment.name}/{seed}/arrivals")
    factors = {shape.name: shape.peak_factor for shape in deployment.classes}
    timed = []
    for plan in plans:
        at = _arrival_share(source.random(), factors[plan.class_name]) * duration
        timed.append(replace(plan, arrival_seconds=at))
    return tuple(sorted(timed, key=lambda plan: plan.arrival_seconds))


def _arrival_share(uniform: float, factor: float) -> float:
    """Map a uniform number to a time whose density is `factor` times higher in the peak."""
    before, inside = PEAK_BEGINS, (PEAK_ENDS - PEAK_BEGINS) * factor
    mass = uniform * (before + inside + 1.0 - PEAK_ENDS)
    if mass < before:
        return mass
    if mass < before + inside:
        return PEAK_BEGINS + (mass - before) / factor
    return PEAK_ENDS + mass - before - inside


def _draw_program(source: random.Random, deployment: DeploymentShape, number: int) -> ProgramPlan:
    shapes = deployment.classes
    shape = source.choices(shapes, [s.share for s in shapes])[0]
    calls = _draw_calls(source, deployment, shape)
    loops = source.random() < shape.loop_share
    if loops:
        repeated = replace(calls[-1], tool=shape.tools[0], pause_seconds=0.5, children=())
        calls = calls[:-1] + [repeated] * (LOOP_CALLS - 1) + [calls[-1]]
    abandoned = abandoned_during = None
    if source.random() < shape.abandoned_share:
        abandoned = source.randrange(len(calls))
        if source.random() < 0.5 or abandoned == len(calls) - 1:
            abandoned_during = source.uniform(0.2, 3.0)
    return ProgramPlan(
        number=number,
        class_name=shape.name,
        arrival_seconds=0.0,
        system_prefix=source.choice(shape.system_prefixes),
        system_tokens=shape.system_tokens,
        calls=tuple(calls),
        abandoned_after=abandoned,
        abandoned_during=abandoned_during,
        loops=loops,
    )


def _draw_calls(
    source: random.Random, deployment: DeploymentShape, shape: ClassShape
) -> list[CallPlan]:
    calls: list[CallPlan] = []
    turns = source.randint(*shape.turns)
    for turn in range(turns):
        fresh = source.randint(*(shape.turn_tokens if turn else shape.first_tokens))
        if source.random() < shape.tool_share:
            tool = source.choice(shape.tools)
            calls.append(_draw_call(source, deployment, shape, fresh, tool))
            fresh = source.randint(*shape.tool_tokens)
        children: tuple[tuple[CallPlan, ...], ...] = ()
        if source.random() < shape.parallel_share:
            count = source.randint(*CHILDREN)
            children = tuple(_draw_child(source, deployment, shape) for _ in range(count))
        last = turn == turns - 1 and not children
        tool = "" if last else "user" if shape.talks else shape.tools[0]
        if children:
            asked = _draw_call(source, deployment, shape, fresh, "")
            calls.append(replace(asked, children=children))
            fresh = source.randint(60, 120) * len(children)
            tool = "" if turn == turns - 1 else tool
        calls.append(_draw_call(source, deployment, shape, fresh, tool))
    return calls


def _draw_child(
    source: random.Random, deployment: DeploymentShape, shape: ClassShape
) -> tuple[CallPlan, ...]:
    count = source.randint(*CHILD_CALLS)
    calls = []
    for index in range(count):
        fresh = source.randint(*(shape.tool_tokens if index else shape.turn_tokens))
        tool = shape.tools[0] if index < count - 1 else ""
        calls.append(_draw_call(source, deployment, shape, fresh, tool))
    return tuple(calls)


def _draw_call(
    source: random.Random,
    deployment: DeploymentShape,
    shape: ClassShape,
    fresh: int,
    tool: str,
) -> CallPlan:
    pause = _draw_pause(source, deployment.pauses[tool]) if tool else 0.0
    return CallPlan(fresh, source.randint(*shape.output_tokens), tool, pause)


def _draw_pause(source: random.Random, shape: PauseShape) -> float:
    drawn = source.lognormvariate(math.log(shape.median_seconds), shape.sigma)
    return min(drawn, shape.longest_seconds)
