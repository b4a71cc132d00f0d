"""The policies of an experiment by name, and the variants of foxwinch for the ablation."""

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
WITHOUT = "without-"
SETTINGS = "set:"
"""`set:NAME=VALUE:NAME=VALUE` is foxwinch with other constants, for tuning."""
FEATURES = tuple(field.name for field in fields(Features))
ABLATIONS = tuple(WITHOUT + feature.replace("_", "-") for feature in FEATURES)
OBJECTIVES = ("objective-latency", "objective-cache")


def build_policy(name: str, objective: Objective) -> PoolPolicy:
    """Return a fresh policy; `without-FEATURE` is foxwinch with that feature turned off."""
    if name in BASELINES:
        return BASELINES[name]()
    if name == CLAIRVOYANT:
        return Clairvoyant(objective)
    if name == "objective-latency":
        return PoolScheduler(policy_for("latency"))
    if name == "objective-cache":
        return PoolScheduler(policy_for("cache"))
    if name.startswith(SETTINGS):
        return PoolScheduler(_with_settings(policy_for(objective), name))
    features = Features()
    if name.startswith(WITHOUT):
        off = name.removeprefix(WITHOUT).replace("-", "_")
        features = replace(features, **{off: False})
    return PoolScheduler(policy_for(objective, features))


def _with_settings(policy: PolicySettings, name: str) -> PolicySettings:
    changes: dict[str, Any] = {}
    for part in name.removeprefix(SETTINGS).split(":"):
        field, _, value = part.partition("=")
        changes[field] = type(getattr(policy, field))(float(value))
    return replace(policy, **changes)
