"""Trials of policies on the same arrivals, run in parallel processes."""

from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from typing import Any

from foxwinch.bench.schedule.clairvoyant import Clairvoyant
from foxwinch.bench.schedule.deployments import DEPLOYMENTS
from foxwinch.bench.schedule.figures import (
    ClassFigures,
    latency_figures,
    mean_over_seeds,
    measured_latencies,
    run_figures,
)
from foxwinch.bench.schedule.plans import unloaded_program_seconds
from foxwinch.bench.schedule.policies import build_policy
from foxwinch.bench.schedule.pool import RELEASE_LAG_SECONDS
from foxwinch.bench.schedule.result import SimulationResult, TimelinePoint
from foxwinch.bench.schedule.simulation import Simulation
from foxwinch.bench.schedule.workload import (
    STANDARD_WINDOW,
    Window,
    Workload,
    build_workload,
)
from foxwinch.core.coordinator.policy import Objective
from foxwinch.emulator.engine_parameters import load_engine_parameters

PROCESSES = 4


@dataclass(frozen=True, slots=True)
class Trial:
    """One run of one policy on one workload."""

    deployment: str
    load: float
    seed: int
    policy: str
    keep_samples: bool = False
    window: Window = STANDARD_WINDOW


@dataclass(frozen=True, slots=True)
class TrialResult:
    """Figures of one run; samples and timeline are filled if `keep_samples` is set."""

    trial: Trial
    classes: dict[str, ClassFigures]
    utilization: float
    release_bound_token_seconds: float
    """Token seconds held if every cache release takes exactly the release lag."""
    samples: dict[str, list[float]] = field(default_factory=dict)
    timeline: list[TimelinePoint] = field(default_factory=list)


def run_trial(trial: Trial) -> TrialResult:
    """Run one trial deterministically."""
    parameters = load_engine_parameters()
    shape = DEPLOYMENTS[trial.deployment]
    workload = build_workload(shape, trial.load, trial.seed, parameters, trial.window)
    objective: Objective = "cache" if shape.objective == "cache" else "latency"
    policy = build_policy(trial.policy, objective)
    simulation = Simulation(workload, parameters, policy, trial.keep_samples)
    if isinstance(policy, Clairvoyant):
        policy.remaining_seconds = simulation.remaining_seconds
        policy.answer_tokens = simulation.answer_tokens
    result = simulation.run()
    end = max(run.ended_at_seconds or 0.0 for run in result.runs)
    return TrialResult(
        trial=trial,
        classes=run_figures(workload, result),
        utilization=result.busy_seconds / (shape.engines * end),
        release_bound_token_seconds=result.ended_tokens * RELEASE_LAG_SECONDS,
        samples=_samples(workload, result) if trial.keep_samples else {},
        timeline=result.timeline,
    )


def _samples(workload: Workload, result: SimulationResult) -> dict[str, list[float]]:
    samples = {}
    for class_shape in workload.deployment.classes:
        runs = [run for run in result.runs if run.plan.class_name == class_shape.name]
        samples[class_shape.name] = measured_latencies(workload, runs)
    return samples


def run_trials(
    trials: Sequence[Trial], progress: Callable[[TrialResult], None], processes: int = PROCESSES
) -> list[TrialResult]:
    """Run trials in parallel and return the results in the order of the trials."""
    results: dict[Trial, TrialResult] = {}
    with ProcessPoolExecutor(max_workers=processes) as pool:
        for future in as_completed([pool.submit(run_trial, trial) for trial in trials]):
            result = future.result()
            results[result.trial] = result
            progress(result)
    return [results[trial] for trial in trials]


def unloaded_figures(deployment: str, seeds: Sequence[int]) -> dict[str, Any]:
    """Return each class's latency on idle engines with cached histories, over all seeds.

    Programs that loop or have an abandoned call are left out.
    """
    parameters = load_engine_parameters()
    shape = DEPLOYMENTS[deployment]
    latencies: dict[str, list[float]] = {s.name: [] for s in shape.classes}
    for seed in seeds:
        workload = build_workload(shape, 0.5, seed, parameters)
        for plan in workload.programs:
            if not plan.loops and plan.abandoned_call_index is None:
                seconds = unloaded_program_seconds(parameters, plan)
                latencies[plan.class_name].append(seconds)
    return {name: latency_figures(values) for name, values in latencies.items()}


def summarize(results: Sequence[TrialResult]) -> dict[str, Any]:
    """Return the mean figures over seeds, nested by load, policy and class."""
    grouped: dict[tuple[float, str], list[TrialResult]] = {}
    for result in results:
        grouped.setdefault((result.trial.load, result.trial.policy), []).append(result)
    document: dict[str, Any] = {}
    for (load, policy), seed_results in grouped.items():
        classes = {
            name: mean_over_seeds([trial_result.classes[name] for trial_result in seed_results])
            for name in seed_results[0].classes
        }
        classes["all"]["utilization"] = sum(r.utilization for r in seed_results) / len(seed_results)
        bound = sum(r.release_bound_token_seconds for r in seed_results) / len(seed_results)
        classes["all"]["release_bound_token_seconds"] = bound
        document.setdefault(f"{load:g}", {})[policy] = classes
    return document
