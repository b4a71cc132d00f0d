"""Write the report of an experiment as a Markdown page with plots."""

from pathlib import Path
from typing import Any

from foxwinch.bench.schedule.decision_cost import DecisionCost
from foxwinch.bench.schedule.deployments import DEPLOYMENTS
from foxwinch.bench.schedule.experiment import TrialResult
from foxwinch.bench.schedule.plots import (
    plot_against_load,
    plot_distributions,
    plot_timeline,
    plot_waste,
)
from foxwinch.bench.schedule.policies import FOXWINCH, OBJECTIVES, POLICY_NAMES, WITHOUT_PREFIX
from foxwinch.bench.schedule.targets import evaluate_targets


def write_report(
    directory: Path,
    document: dict[str, Any],
    results: list[TrialResult],
    costs: list[DecisionCost],
) -> None:
    """Write `report.md` and its plots into the directory."""
    directory.mkdir(parents=True, exist_ok=True)
    shape = DEPLOYMENTS[document["deployment"]]
    kept = [result for result in results if result.samples]
    load = f"{kept[0].trial.load:g}"
    policies = [name for name in POLICY_NAMES if name in document["loads"][load]]
    plot_distributions(directory / "distributions.png", results, policies)
    plot_against_load(directory / "load.png", document, shape.primary_class)
    plot_waste(directory / "waste.png", document["loads"][load])
    timeline = next((r for r in kept if r.trial.policy == FOXWINCH), kept[0])
    plot_timeline(directory / "timeline.png", timeline)
    parts = [
        f"# Scheduling policies: {document['deployment']}\n",
        f"Seeds {document['seeds']}; figures are means over seeds ± half the width of the 95 %"
        " confidence interval. Latency leaves a program's own pauses out.\n",
        _unloaded(document),
        *(_load_table(document, name, POLICY_NAMES) for name in document["loads"]),
        _targets(document, load),
        _ablation(document, load),
        _decisions(costs),
        f"## Plots at load {load}\n\n![distributions](distributions.png)\n\n![load](load.png)\n\n"
        "![waste](waste.png)\n\n![timeline](timeline.png)\n",
    ]
    text = "\n".join(part for part in parts if part)
    (directory / "report.md").write_text(text, encoding="utf-8")


def _unloaded(document: dict[str, Any]) -> str:
    lines = ["## On idle engines\n", "| class | mean | p95 | p99 |", "| --- | --- | --- | --- |"]
    for name, figures in document["unloaded_latency_seconds"].items():
        numbers = " | ".join(f"{figures[key]:.2f}" for key in ("mean", "p95", "p99"))
        lines.append(f"| {name} | {numbers} |")
    return "\n".join(lines) + "\n"


def _load_table(document: dict[str, Any], load: str, policies: tuple[str, ...]) -> str:
    lines = [
        f"## Load {load}\n",
        "| policy | class | mean | p50 | p95 | p99 | longest | missed | refused | wasted"
        " | held dead, token s | programs/s |",
        "| --- " * 12 + "|",
    ]
    for policy in policies:
        for name, figures in document["loads"][load].get(policy, {}).items():
            lines.append(_row(policy, name, figures))
    return "\n".join(lines) + "\n"


def _row(policy: str, name: str, figures: dict[str, Any]) -> str:
    latency = figures["program_latency_seconds"]
    widths = figures["confidence95"]["program_latency_seconds"]
    cells = [f"{latency[k]:.2f} ± {widths[k]:.2f}" for k in ("mean", "p50", "p95", "p99")]
    cells.append(f"{figures['longest_seconds']:.1f}")
    cells += [f"{figures[k]:.3f}" for k in ("deadline_miss", "refused", "wasted_ratio")]
    cells.append(f"{figures['held_dead_token_seconds']:.0f}")
    cells.append(f"{figures['throughput']:.3f}")
    return f"| {policy} | {name} | " + " | ".join(cells) + " |"


def _targets(document: dict[str, Any], load: str) -> str:
    targets = evaluate_targets(document, load)
    if not targets:
        return ""
    lines = [
        f"## Targets at load {load}\n",
        "| target | measured | limit | reached | clairvoyant |",
        "| --- " * 5 + "|",
    ]
    for target in targets:
        sign = "≥" if target.at_least else "≤"
        clairvoyant = "" if target.clairvoyant is None else f"{target.clairvoyant:.2f}"
        reached = "yes" if target.is_reached else "**no**"
        lines.append(
            f"| {target.name} | {target.measured_value:.3f} | {sign} {target.limit:g}"
            f" | {reached} | {clairvoyant} |"
        )
    return "\n".join(lines) + "\n"


def _ablation(document: dict[str, Any], load: str) -> str:
    policies = document["loads"][load]
    variants = [n for n in policies if n.startswith(WITHOUT_PREFIX) or n in OBJECTIVES]
    if not variants:
        return ""
    classes = [shape.name for shape in DEPLOYMENTS[document["deployment"]].classes]
    heads = [f"{name} mean | {name} p95" for name in classes]
    lines = [
        f"## Ablation at load {load}\n",
        "| policy | " + " | ".join(heads) + " | refused | wasted | programs/s |",
        "| --- " * (2 * len(classes) + 4) + "|",
    ]
    for policy in (FOXWINCH, *variants):
        if policy not in policies:
            continue
        cells = []
        for name in classes:
            latency = policies[policy][name]["program_latency_seconds"]
            cells += [f"{latency['mean']:.2f}", f"{latency['p95']:.2f}"]
        overall = policies[policy]["all"]
        cells += [f"{overall[k]:.3f}" for k in ("refused", "wasted_ratio", "throughput")]
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _decisions(costs: list[DecisionCost]) -> str:
    if not costs:
        return ""
    lines = [
        "## Time of a decision on this machine\n",
        "| workers | queued | arrival, µs | finished call, µs |",
        "| --- | --- | --- | --- |",
    ]
    for cost in costs:
        lines.append(
            f"| {cost.workers} | {cost.queued} | {cost.arrival_microseconds:.0f}"
            f" | {cost.finish_microseconds:.0f} |"
        )
    return "\n".join(lines) + "\n"
