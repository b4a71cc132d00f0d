"""Figures of a run for each class and for all classes together."""

from dataclasses import asdict, dataclass
from typing import Any

import numpy as np
from scipy import stats

from foxwinch.bench.schedule.result import SimulationResult
from foxwinch.bench.schedule.runs import ProgramRun
from foxwinch.bench.schedule.workload import Workload

ALL_CLASSES = "all"
CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class LatencyFigures:
    """Program latency in seconds, excluding the programs' own pauses."""

    mean: float
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """Figures of one class in one run."""

    program_latency_seconds: LatencyFigures
    deadline_miss: float
    """Share of programs that missed their deadline, of those neither refused nor abandoned."""
    refused: float
    """Share of programs that ended after repeated refusals."""
    wasted_prefill_tokens: int
    prefill_tokens: int
    wasted_ratio: float
    held_dead_token_seconds: float
    throughput: float
    """Finished programs per second."""
    programs: int
    longest_seconds: float
    """Longest latency; a value near the 99th percentile shows that no program starves."""


def latency_figures(latencies: list[float]) -> LatencyFigures:
    """Return the mean and percentiles, or zeros without latencies."""
    if not latencies:
        return LatencyFigures(0.0, 0.0, 0.0, 0.0)
    p50, p95, p99 = np.percentile(latencies, [50, 95, 99])
    return LatencyFigures(float(np.mean(latencies)), float(p50), float(p95), float(p99))


def run_figures(workload: Workload, result: SimulationResult) -> dict[str, ClassFigures]:
    """Return the figures of each class and of all classes together."""
    figures = {}
    names = [shape.name for shape in workload.deployment.classes]
    for name in (*names, ALL_CLASSES):
        runs = [r for r in result.runs if name in (ALL_CLASSES, r.plan.class_name)]
        figures[name] = _class_figures(workload, result, runs)
    return figures


def measured_latencies(workload: Workload, runs: list[ProgramRun]) -> list[float]:
    """Return the latencies of measured programs that finished or were still running."""
    counted = ("finished", "unfinished")
    return [
        run.latency_seconds
        for run in runs
        if workload.is_measured(run.plan) and run.outcome in counted
    ]


def _class_figures(
    workload: Workload, result: SimulationResult, runs: list[ProgramRun]
) -> ClassFigures:
    deadlines = {s.name: s.deadline_seconds for s in workload.deployment.classes}
    measured = [run for run in runs if workload.is_measured(run.plan)]
    answered = [run for run in measured if run.outcome in ("finished", "unfinished")]
    missed = [r for r in answered if r.latency_seconds > deadlines[r.plan.class_name]]
    refused = [run for run in measured if run.outcome == "refused"]
    ids = {str(run.program_id) for run in runs}
    prefill = _sum_for_programs(result.prefill_tokens, ids)
    wasted = _sum_for_programs(result.wasted_prefill_tokens, ids)
    window = workload.duration_seconds - workload.window.warm_up_seconds
    finished = [run for run in runs if run.outcome == "finished" and _ends_in_window(workload, run)]
    latencies = measured_latencies(workload, runs)
    return ClassFigures(
        program_latency_seconds=latency_figures(latencies),
        deadline_miss=len(missed) / max(1, len(answered)),
        refused=len(refused) / max(1, len(measured)),
        wasted_prefill_tokens=int(wasted),
        prefill_tokens=int(prefill),
        wasted_ratio=wasted / max(1.0, prefill),
        held_dead_token_seconds=_sum_for_programs(result.held_dead_token_seconds, ids),
        throughput=len(finished) / window,
        programs=len(measured),
        longest_seconds=max(latencies, default=0.0),
    )


def _ends_in_window(workload: Workload, run: ProgramRun) -> bool:
    ended = run.ended_at_seconds
    start = workload.window.warm_up_seconds
    return ended is not None and start <= ended < workload.duration_seconds


def _sum_for_programs(by_program: dict[str, Any], ids: set[str]) -> float:
    """Return the sum over programs and their sub-agents, whose IDs are `PROGRAM.NUMBER`."""
    return float(sum(v for program, v in by_program.items() if program.split(".")[0] in ids))


def mean_over_seeds(figures: list[ClassFigures]) -> dict[str, Any]:
    """Return the mean of every figure and half the width of its confidence interval."""
    rows = [_flatten(asdict(figure)) for figure in figures]
    means, widths = {}, {}
    for key in rows[0]:
        values = np.array([row[key] for row in rows], dtype=float)
        means[key] = float(values.mean())
        widths[key] = _half_width(values)
    document = _unflatten(means)
    document["confidence95"] = _unflatten(widths)
    return document


def _half_width(values: np.ndarray[Any, np.dtype[np.float64]]) -> float:
    if len(values) < 2:
        return 0.0
    quantile = stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1)
    return float(quantile * values.std(ddof=1) / np.sqrt(len(values)))


def _flatten(document: dict[str, Any]) -> dict[str, float]:
    flat: dict[str, float] = {}
    for key, value in document.items():
        if isinstance(value, dict):
            flat |= {f"{key}.{inner}": number for inner, number in value.items()}
        else:
            flat[key] = value
    return flat


def _unflatten(flat: dict[str, float]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key, value in flat.items():
        outer, _, inner = key.partition(".")
        if inner:
            document.setdefault(outer, {})[inner] = value
        else:
            document[outer] = value
    return document
