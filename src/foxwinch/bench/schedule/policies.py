"""Policies of an experiment by name, including the variants of foxwinch for the ablation."""

from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any

from foxwinch.bench.schedule.baselines import (
    ClassPriority,
    LeastLoaded,
    PrefixAffinity,
    RoundRobin,
)
from foxwinch.bench.schedule.clairvoyant import Clairvoyant
from foxwinch.bench.schedule.pool_policy import PoolPolicy
from foxwinch.core.coordinator.policy import Features, Objective, PolicySettings, policy_for
from foxwinch.core.coordinator.scheduler import PoolScheduler

FOXWINCH = "foxwinch"
CLAIRVOYANT = "clairvoyant"
BASELINES: dict[str, Callable[[], PoolPolicy]] = {
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "prefix-affinity": PrefixAffinity,
    "class-priority": ClassPriority,
}
POLICY_NAMES = (FOXWINCH, *BASELINES, CLAIRVOYANT)
WITHOUT_PREFIX = "without-"
SETTINGS_PREFIX = "set:"
"""Prefix of tuning variants: `set:NAME=VALUE:NAME=VALUE` overrides policy settings."""
FEATURES = tuple(field.name for field in fields(Features))
ABLATIONS = tuple(WITHOUT_PREFIX + feature.replace("_", "-") for feature in FEATURES)
OBJECTIVES = ("objective-latency", "objective-cache")


def build_policy(name: str, objective: Objective) -> PoolPolicy:
    """Return a new policy; `without-FEATURE` is foxwinch with that feature disabled."""
    if name in BASELINES:
        return BASELINES[name]()
    if name == CLAIRVOYANT:
        return Clairvoyant(objective)
    if name == "objective-latency":
        return PoolScheduler(policy_for("latency"))
    if name == "objective-cache":
        return PoolScheduler(policy_for("cache"))
    if name.startswith(SETTINGS_PREFIX):
        return PoolScheduler(_with_settings(policy_for(objective), name))
    features = Features()
    if name.startswith(WITHOUT_PREFIX):
        disabled = name.removeprefix(WITHOUT_PREFIX).replace("-", "_")
        features = replace(features, **{disabled: False})
    return PoolScheduler(policy_for(objective, features))


def _with_settings(policy: PolicySettings, name: str) -> PolicySettings:
    changes: dict[str, Any] = {}
    for part in name.removeprefix(SETTINGS_PREFIX).split(":"):
        field, _, value = part.partition("=")
        changes[field] = type(getattr(policy, field))(float(value))
    return replace(policy, **changes)
