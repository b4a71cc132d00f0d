"""Runs the fuzzer from a seed; the same seed takes the same steps."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from foxwinch.bench.cluster_fuzz.machine import ClusterMachine
from foxwinch.bench.cluster_fuzz.oracle import PropertyError
from foxwinch.bench.cluster_fuzz.planted import Decorate, restore

STEPS = 20
"""Number of steps of one cluster."""


@dataclass(frozen=True, slots=True)
class FuzzFailure:
    """A violated property, or another error that ended the run."""

    seed: int
    broken: str
    """Name of the property, or of the error's class."""
    detail: str
    steps: str
    """The steps in their order, as Hypothesis prints them."""


def run_seed(
    number: int,
    clusters: int = 1,
    steps: int = STEPS,
    decorate: Decorate | None = None,
    shrink: bool = False,
) -> FuzzFailure | None:
    """Run `clusters` clusters from a seed; `shrink` minimises the failing steps, which is slow."""
    phases = (Phase.generate, Phase.shrink) if shrink else (Phase.generate,)
    machine = type("SeededMachine", (ClusterMachine,), {"decorate": _static(decorate)})
    try:
        run_state_machine_as_test(
            seed(number)(machine),
            settings=settings(
                # The first example of Hypothesis is the minimal one, a cluster without steps.
                max_examples=clusters + 1,
                stateful_step_count=steps,
                deadline=None,
                database=None,
                phases=phases,
                suppress_health_check=list(HealthCheck),
            ),
        )
    except Exception as error:
        name = error.name if isinstance(error, PropertyError) else type(error).__name__
        notes = "\n".join(getattr(error, "__notes__", ()))
        return FuzzFailure(number, name, str(error), notes)
    finally:
        restore()
    return None


def run_for(
    first_seed: int, minutes: float, print_line: Callable[[str], None]
) -> FuzzFailure | None:
    """Run consecutive seeds until the time is over or one fails; 0 minutes run a single seed."""
    ends_at = time.monotonic() + minutes * 60.0
    number = first_seed
    while True:
        failure = run_seed(number)
        print_line(f"seed={number} result={'broken' if failure else 'held'}")
        number += 1
        if failure is not None or time.monotonic() >= ends_at:
            return failure


def _static(decorate: Decorate | None) -> Callable[..., object] | None:
    return None if decorate is None else staticmethod(decorate)
