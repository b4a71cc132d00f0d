"""The targets at load 0.85 and what a run gave."""

from dataclasses import dataclass
from typing import Any

from foxwinch.bench.schedule.deployments import DEPLOYMENTS
from foxwinch.bench.schedule.policies import BASELINES, CLAIRVOYANT, FOXWINCH

PRIME_SHARE = 0.5
URGENT_SHARE = 1.3
MEAN_SHARE = 1.1
LEAST_LOADED_WASTE_SHARE = 0.25
AFFINITY_WASTE_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Target:
    """One target: a figure of foxwinch over a reference, and the most (or least) it may be."""

    name: str
    reached_value: float
    limit: float
    at_least: bool = False
    clairvoyant: float | None = None
    """The same figure of the clairvoyant reference."""

    @property
    def is_reached(self) -> bool:
        """Tell whether the target is met."""
        if self.at_least:
            return self.reached_value >= self.limit
        return self.reached_value <= self.limit


def targets_of(document: dict[str, Any], load: str) -> list[Target]:
    """Return every target that the policies of a run allow to judge."""
    policies = document["loads"].get(load, {})
    baselines = {name: policies[name] for name in BASELINES if name in policies}
    if FOXWINCH not in policies or not baselines:
        return []
    ours = policies[FOXWINCH]
    reference = policies.get(CLAIRVOYANT)
    shape = DEPLOYMENTS[document["deployment"]]
    unloaded = document["unloaded_latency_seconds"]
    found = [
        _prime(shape.prime_class, ours, baselines, reference),
        _urgent(shape.urgent_class, ours, unloaded, reference),
    ]
    for entry in shape.classes:
        best = min(_latency(classes, entry.name, "mean") for classes in baselines.values())
        mean = _latency(ours, entry.name, "mean") / best
        found.append(Target(f"{entry.name}: mean over best baseline's", mean, MEAN_SHARE))
    found += _waste(ours, baselines)
    held = ours["all"]["held_dead_token_seconds"]
    bound = ours["all"]["release_bound_token_seconds"]
    found.append(Target("held for ended programs over one release's lag", held / bound, 1.0))
    best = max(classes["all"]["throughput"] for classes in baselines.values())
    throughput = ours["all"]["throughput"] / best
    found.append(Target("throughput over best baseline's", throughput, 1.0, at_least=True))
    return found


def _latency(classes: dict[str, Any], name: str, figure: str) -> float:
    return float(classes[name]["program_latency_seconds"][figure])


def _prime(
    name: str,
    ours: dict[str, Any],
    baselines: dict[str, Any],
    reference: dict[str, Any] | None,
) -> Target:
    best = min(_latency(classes, name, "p95") for classes in baselines.values())
    clairvoyant = _latency(reference, name, "p95") / best if reference else None
    reached = _latency(ours, name, "p95") / best
    title = f"{name}: 95th percentile over best baseline's"
    return Target(title, reached, PRIME_SHARE, clairvoyant=clairvoyant)


def _urgent(
    name: str, ours: dict[str, Any], unloaded: dict[str, Any], reference: dict[str, Any] | None
) -> Target:
    alone = unloaded[name]["p99"]
    clairvoyant = _latency(reference, name, "p99") / alone if reference else None
    reached = _latency(ours, name, "p99") / alone
    title = f"{name}: 99th percentile over unloaded"
    return Target(title, reached, URGENT_SHARE, clairvoyant=clairvoyant)


def _waste(ours: dict[str, Any], baselines: dict[str, Any]) -> list[Target]:
    limits = {"least-loaded": LEAST_LOADED_WASTE_SHARE, "prefix-affinity": AFFINITY_WASTE_SHARE}
    found = []
    for name, limit in limits.items():
        if name in baselines:
            theirs = baselines[name]["all"]["wasted_ratio"]
            share = ours["all"]["wasted_ratio"] / theirs
            found.append(Target(f"wasted prefill over {name}'s", share, limit))
    return found
