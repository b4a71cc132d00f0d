"""Run a scheduling experiment and write its JSON file and report."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from foxwinch.bench.schedule.decision_cost import DecisionCost, measure_decisions
from foxwinch.bench.schedule.experiment import (
    Trial,
    TrialResult,
    run_trials,
    summarize,
    unloaded_figures,
)
from foxwinch.bench.schedule.policies import ABLATIONS, OBJECTIVES, POLICY_NAMES
from foxwinch.bench.schedule.report import write_report
from foxwinch.bench.schedule.workload import STANDARD_WINDOW

TARGET_LOAD = 0.85
"""Load at which targets apply, the ablation runs and distributions are plotted."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """Options of an experiment."""

    deployment: str
    loads: tuple[float, ...]
    seeds: tuple[int, ...]
    policies: tuple[str, ...] = ()
    """Policies to run; empty selects foxwinch, every baseline and the clairvoyant reference."""
    measured_seconds: float = STANDARD_WINDOW.measured_seconds
    """Length of the measured arrival window; warm-up and cool-down scale with it."""
    ablation: bool = False
    decisions: bool = False
    json_file: Path | None = None
    report_directory: Path | None = None


def run_experiment(experiment: Experiment) -> dict[str, Any]:
    """Run the trials with a progress bar; write the JSON file and the report if requested."""
    trials = _trials(experiment)
    console = Console(stderr=True)
    with Progress(console=console) as bar:
        task = bar.add_task(f"{experiment.deployment}: {len(trials)} runs", total=len(trials))

        def progress(result: TrialResult) -> None:
            trial = result.trial
            bar.update(task, advance=1, description=f"{trial.policy} {trial.load:g}/{trial.seed}")

        results = run_trials(trials, progress)
    document = experiment_document(experiment, results)
    if experiment.json_file is not None:
        experiment.json_file.write_text(encode_document(document), encoding="utf-8")
    costs: list[DecisionCost] = measure_decisions() if experiment.decisions else []
    if experiment.report_directory is not None:
        write_report(experiment.report_directory, document, results, costs)
    _print_table(document)
    return document


def experiment_document(experiment: Experiment, results: list[TrialResult]) -> dict[str, Any]:
    """Return the content of the JSON file; the same trials give the same document."""
    unloaded = unloaded_figures(experiment.deployment, experiment.seeds)
    return {
        "deployment": experiment.deployment,
        "seeds": list(experiment.seeds),
        "measured_seconds": experiment.measured_seconds,
        "unloaded_latency_seconds": {name: asdict(f) for name, f in unloaded.items()},
        "loads": summarize(results),
    }


def encode_document(document: dict[str, Any]) -> str:
    """Return the document as JSON with sorted keys."""
    return json.dumps(document, indent=1, sort_keys=True) + "\n"


def _trials(experiment: Experiment) -> list[Trial]:
    policies = experiment.policies or POLICY_NAMES
    target = TARGET_LOAD if TARGET_LOAD in experiment.loads else experiment.loads[-1]
    window = STANDARD_WINDOW.scaled_to(experiment.measured_seconds)
    trials = []
    for load in experiment.loads:
        names = list(policies)
        if experiment.ablation and load == target:
            names += [name for name in (*ABLATIONS, *OBJECTIVES) if name not in names]
        for name in names:
            for seed in experiment.seeds:
                keep = load == target and seed == experiment.seeds[0]
                trials.append(Trial(experiment.deployment, load, seed, name, keep, window))
    return trials


def _print_table(document: dict[str, Any]) -> None:
    table = Table(title=f"{document['deployment']}: program latency in seconds")
    for column in ("load", "policy", "class", "mean", "p95", "p99", "missed", "refused", "wasted"):
        table.add_column(column, justify="left" if column in ("policy", "class") else "right")
    for load, policies in document["loads"].items():
        for policy, classes in policies.items():
            for name, figures in classes.items():
                latency = figures["program_latency_seconds"]
                numbers = [latency["mean"], latency["p95"], latency["p99"]]
                shares = [figures["deadline_miss"], figures["refused"], figures["wasted_ratio"]]
                cells = [f"{n:.2f}" for n in numbers] + [f"{s:.3f}" for s in shares]
                table.add_row(load, policy, name, *cells)
    Console(width=110).print(table)
