"""Plots of an experiment."""

from pathlib import Path
from typing import Any

import matplotlib as mpl
import numpy as np

from foxwinch.bench.schedule.experiment import TrialResult

mpl.use("Agg")

from matplotlib import pyplot as plt

DOTS_PER_INCH = 110


def plot_distributions(path: Path, results: list[TrialResult], policies: list[str]) -> None:
    """Plot the latency distribution of each class, with one line per policy."""
    kept = [r for r in results if r.samples and r.trial.policy in policies]
    names = list(kept[0].samples)
    figure, axes = plt.subplots(1, len(names), figsize=(5 * len(names), 4), squeeze=False)
    for axis, name in zip(axes[0], names, strict=True):
        for result in kept:
            values = np.sort(result.samples[name])
            if len(values):
                shares = np.arange(1, len(values) + 1) / len(values)
                axis.plot(values, shares, label=result.trial.policy)
        axis.set_xscale("log")
        axis.set_title(name)
        axis.set_xlabel("program latency, s")
        axis.set_ylabel("share of programs")
    axes[0][0].legend(fontsize=7)
    _save(figure, path)


def plot_against_load(path: Path, document: dict[str, Any], class_name: str) -> None:
    """Plot the 95th percentile latency of a class against load."""
    figure, axis = plt.subplots(figsize=(6, 4))
    lines: dict[str, list[tuple[float, float]]] = {}
    for load, policies in document["loads"].items():
        for policy, classes in policies.items():
            p95 = classes[class_name]["program_latency_seconds"]["p95"]
            lines.setdefault(policy, []).append((float(load), p95))
    for policy, points in lines.items():
        axis.plot(*zip(*points, strict=True), marker="o", label=policy)
    axis.set_yscale("log")
    axis.set_xlabel("offered load")
    axis.set_ylabel(f"95th percentile of {class_name}, s")
    axis.legend(fontsize=7)
    _save(figure, path)


def plot_waste(path: Path, policies: dict[str, Any]) -> None:
    """Plot the wasted share of prefill tokens for each policy."""
    figure, axis = plt.subplots(figsize=(6, 4))
    ratios = [classes["all"]["wasted_ratio"] for classes in policies.values()]
    axis.barh(list(policies), ratios)
    axis.set_xlabel("prefill tokens computed again, share of all")
    _save(figure, path)


def plot_timeline(path: Path, result: TrialResult) -> None:
    """Plot the running calls and used cache blocks of each engine over time."""
    times = [point.at_seconds for point in result.timeline]
    figure, (upper, lower) = plt.subplots(2, 1, figsize=(9, 6), sharex=True)
    upper.stackplot(times, np.array([p.running for p in result.timeline]).T)
    upper.plot(times, [p.unfinished_calls for p in result.timeline], "k", linewidth=0.8)
    upper.set_ylabel("calls: running, all (black)")
    for index in range(len(result.timeline[0].running)):
        lower.plot(times, [p.cache_blocks[index] for p in result.timeline], linewidth=0.7)
    lower.set_ylabel("blocks in use, by engine")
    lower.set_xlabel("time, s")
    _save(figure, path)


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
