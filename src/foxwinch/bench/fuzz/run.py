"""Runs the fuzzer with consecutive seeds until time is over or a property is violated."""

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
"""Shrinking takes minutes per failure, and the seed already replays the failing steps."""


@dataclass(frozen=True, slots=True)
class FuzzReport:
    """Summary of a fuzzer run."""

    seeds: int
    runs: int
    """Upper bound of the clusters started; Hypothesis may end a seed earlier."""
    failed_seed: int | None
    problem: str
    """The violated properties and the steps taken; empty if no property was violated."""


def run_seed(
    document: ClusterConfiguration, seed: int, runs: int = RUNS_PER_SEED, steps: int = STEPS
) -> str:
    """Run one seed; return the violated properties with their steps, or an empty string.

    A seed takes the same steps under the same versions of the code and Hypothesis.
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
    print_line: Callable[[str], None],
) -> FuzzReport:
    """Run consecutive seeds from `first_seed` until the time is over or one fails."""
    ends_at = time.monotonic() + minutes * 60
    seed = first_seed
    while True:
        problem = run_seed(document, seed)
        print_line(f"seed={seed} result={'broken' if problem else 'held'}")
        count = seed - first_seed + 1
        if problem:
            return FuzzReport(count, count * RUNS_PER_SEED, seed, problem)
        if time.monotonic() >= ends_at:
            return FuzzReport(count, count * RUNS_PER_SEED, None, "")
        seed += 1
