"""Performance targets at load 0.85 and their evaluation."""

from dataclasses import dataclass
from typing import Any

from foxwinch.bench.schedule.deployments import DEPLOYMENTS
from foxwinch.bench.schedule.policies import BASELINES, CLAIRVOYANT, FOXWINCH

MAX_PRIMARY_P95_RATIO = 0.5
MAX_URGENT_P99_RATIO = 1.3
MAX_MEAN_RATIO = 1.1
MAX_WASTE_RATIO_TO_LEAST_LOADED = 0.25
MAX_WASTE_RATIO_TO_AFFINITY = 0.7


@dataclass(frozen=True, slots=True)
class Target:
    """Ratio of a foxwinch figure to a reference value, with its upper or lower limit."""

    name: str
    measured_value: float
    limit: float
    at_least: bool = False
    clairvoyant: float | None = None
    """The same ratio for the clairvoyant reference."""

    @property
    def is_reached(self) -> bool:
        """Whether the measured value is within the limit."""
        if self.at_least:
            return self.measured_value >= self.limit
        return self.measured_value <= self.limit


def evaluate_targets(document: dict[str, Any], load: str) -> list[Target]:
    """Return every target that can be evaluated with the policies of a run."""
    policies = document["loads"].get(load, {})
    baselines = {name: policies[name] for name in BASELINES if name in policies}
    if FOXWINCH not in policies or not baselines:
        return []
    own_figures = policies[FOXWINCH]
    reference = policies.get(CLAIRVOYANT)
    shape = DEPLOYMENTS[document["deployment"]]
    unloaded = document["unloaded_latency_seconds"]
    targets = [
        _primary_class_target(shape.primary_class, own_figures, baselines, reference),
        _urgent_class_target(shape.urgent_class, own_figures, unloaded, reference),
    ]
    for entry in shape.classes:
        best = min(_latency(classes, entry.name, "mean") for classes in baselines.values())
        mean = _latency(own_figures, entry.name, "mean") / best
        targets.append(Target(f"{entry.name}: mean over best baseline's", mean, MAX_MEAN_RATIO))
    targets += _waste_targets(own_figures, baselines)
    held = own_figures["all"]["held_dead_token_seconds"]
    bound = own_figures["all"]["release_bound_token_seconds"]
    targets.append(Target("held for ended programs over one release's lag", held / bound, 1.0))
    best = max(classes["all"]["throughput"] for classes in baselines.values())
    throughput = own_figures["all"]["throughput"] / best
    targets.append(Target("throughput over best baseline's", throughput, 1.0, at_least=True))
    return targets


def _latency(classes: dict[str, Any], name: str, figure: str) -> float:
    return float(classes[name]["program_latency_seconds"][figure])


def _primary_class_target(
    name: str,
    own_figures: dict[str, Any],
    baselines: dict[str, Any],
    reference: dict[str, Any] | None,
) -> Target:
    best = min(_latency(classes, name, "p95") for classes in baselines.values())
    clairvoyant = _latency(reference, name, "p95") / best if reference else None
    ratio = _latency(own_figures, name, "p95") / best
    title = f"{name}: 95th percentile over best baseline's"
    return Target(title, ratio, MAX_PRIMARY_P95_RATIO, clairvoyant=clairvoyant)


def _urgent_class_target(
    name: str,
    own_figures: dict[str, Any],
    unloaded: dict[str, Any],
    reference: dict[str, Any] | None,
) -> Target:
    unloaded_p99 = unloaded[name]["p99"]
    clairvoyant = _latency(reference, name, "p99") / unloaded_p99 if reference else None
    ratio = _latency(own_figures, name, "p99") / unloaded_p99
    title = f"{name}: 99th percentile over unloaded"
    return Target(title, ratio, MAX_URGENT_P99_RATIO, clairvoyant=clairvoyant)


def _waste_targets(own_figures: dict[str, Any], baselines: dict[str, Any]) -> list[Target]:
    limits = {
        "least-loaded": MAX_WASTE_RATIO_TO_LEAST_LOADED,
        "prefix-affinity": MAX_WASTE_RATIO_TO_AFFINITY,
    }
    targets = []
    for name, limit in limits.items():
        if name in baselines:
            baseline_ratio = baselines[name]["all"]["wasted_ratio"]
            share = own_figures["all"]["wasted_ratio"] / baseline_ratio
            targets.append(Target(f"wasted prefill over {name}'s", share, limit))
    return targets
