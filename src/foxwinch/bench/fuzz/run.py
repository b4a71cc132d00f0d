"""Runs the fuzzing: seed after seed, until the time is over or a property is broken."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import hypothesis
from hypothesis import HealthCheck, Phase

from foxwinch.bench.fuzz.machine import machine_for, run_machine
from foxwinch.bench.fuzz.world import PropertyBrokenError
from foxwinch.settings.cluster import ClusterConfiguration

STEPS = 20
RUNS_PER_SEED = 5
PHASES = (Phase.generate,)
"""Shrinking takes minutes a failure; the seed replays the steps as they are."""


@dataclass(frozen=True, slots=True)
class FuzzReport:
    """What a run of the fuzzing did."""

    seeds: int
    runs: int
    """Clusters started, at most; Hypothesis may stop a seed earlier."""
    failed_seed: int | None
    problem: str
    """The broken properties and the steps taken; empty when none was."""


def run_seed(
    document: ClusterConfiguration, seed: int, runs: int = RUNS_PER_SEED, steps: int = STEPS
) -> str:
    """Run one seed; returns the broken properties with their steps, or an empty string.

    The same seed takes the same steps with the same version of the code and of Hypothesis.
    """
    machine = hypothesis.seed(seed)(machine_for(document))
    settings = hypothesis.settings(
        max_examples=runs,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=PHASES,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_machine(machine, settings)
    except PropertyBrokenError as error:
        notes = getattr(error, "__notes__", [])
        return "\n".join([str(error), *notes])
    return ""


def run_for(
    document: ClusterConfiguration,
    first_seed: int,
    minutes: float,
    tell: Callable[[str], None],
) -> FuzzReport:
    """Run seeds from `first_seed` on until the time is over or one fails."""
    ends_at = time.monotonic() + minutes * 60
    seed = first_seed
    while True:
        problem = run_seed(document, seed)
        tell(f"seed={seed} result={'broken' if problem else 'held'}")
        count = seed - first_seed + 1
        if problem:
            return FuzzReport(count, count * RUNS_PER_SEED, seed, problem)
        if time.monotonic() >= ends_at:
            return FuzzReport(count, count * RUNS_PER_SEED, None, "")
        seed += 1
