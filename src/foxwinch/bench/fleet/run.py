"""Runs of the fleet at several sizes, each in a process of its own, and their report."""

import json
import multiprocessing
import platform
import random
import resource
import time
from collections.abc import Collection
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from foxwinch.bench.commit import current_commit
from foxwinch.bench.fleet.document import state_with, tenant_change
from foxwinch.bench.fleet.fleet import FleetShape
from foxwinch.bench.fleet.measures import by_size, exponent, percentile
from foxwinch.bench.fleet.scenarios import GROUPS, SCENARIOS, day_compression, warm_up
from foxwinch.bench.fleet.world import FleetWorld
from foxwinch.core.configuration.document import DocumentState

SMALLER_SIZES = (36, 143, 285)
PROCESSES = 2
"""Fleets run at a time: each keeps one core busy."""
DESIGN_TENANTS = 7_800
DOCUMENT_CHANGES = 50
NOT_COVERED = ("retry_ratio_after_zone_return",)
"""Keys that need parts which the simulator does not drive; None in the report."""
SLOPES = (
    "control_bytes_per_second_p50",
    "control_bytes_per_second_max",
    "control_cpu_fraction_p50",
    "control_cpu_fraction_max",
    "config_seconds_p99",
    "detection_seconds_p50",
    "store_operations_per_second",
    "takeover_seconds_p50",
)


@dataclass(frozen=True, slots=True)
class FleetTask:
    """One run of the fleet."""

    nodes: int
    regions: int
    zones: int
    seed: int
    scenarios: tuple[str, ...]


def run_size(task: FleetTask) -> dict[str, Any]:
    """Run the scenarios at one size in this process."""
    started = time.monotonic()
    before_bytes = resident_bytes()
    world = FleetWorld(FleetShape(task.nodes, task.regions, task.zones), task.seed)
    converged = warm_up(world)
    memory = (resident_bytes() - before_bytes) / task.nodes
    figures = {name: SCENARIOS[name](world).to_json() for name in task.scenarios}
    return {
        "nodes": task.nodes,
        "cold_start_seconds": converged,
        "memory_bytes_per_node": round(memory),
        "peakresident_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
        "wall_seconds": round(time.monotonic() - started, 1),
        "scenarios": figures,
    }


def run_fleet(
    shape: FleetShape,
    workers: int,
    programs: int,
    seed: int,
    processes: int = PROCESSES,
    scenarios: Collection[str] = tuple(SCENARIOS),
) -> dict[str, Any]:
    """Run every size up to that of `shape` and return the report.

    `workers` and `programs` are only written into the report until their code is driven here.
    """
    nodes, regions, zones = shape.nodes, shape.regions, shape.zones
    chosen = [tuple(name for name in group if name in scenarios) for group in GROUPS]
    sizes = sorted({size for size in SMALLER_SIZES if size < nodes} | {nodes}, reverse=True)
    tasks = [
        FleetTask(size, regions, zones, seed, group) for size in sizes for group in chosen if group
    ]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(processes, len(tasks)), mp_context=context) as pool:
        parts = list(pool.map(run_size, tasks))
    runs = [merged([p for p in parts if p["nodes"] == size]) for size in sorted(sizes)]
    command = (
        f"foxwinch bench fleet --nodes {nodes} --workers {workers} "
        f"--regions {regions} --zones {zones} --programs {programs} --seed {seed} "
        f"--scenarios {','.join(name for group in chosen for name in group)}"
    )
    return report_of(command, runs)


def report_of(command: str, runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the report of runs in the order of their sizes."""
    return {
        "command": command,
        "commit": current_commit(),
        "machine": {"processor": platform.processor() or platform.machine()},
        "day_compression": day_compression(),
        "covers": ["membership", "gossip", "configuration", "ownership"],
        "not_covered": ["steward", "limits", "programs", "workers"],
        **worst(runs[-1]),
        **dict.fromkeys(NOT_COVERED),
        "configuration_at_design_size": design_document(),
        "slopes": slopes(runs),
        "runs": runs,
    }


def merged(parts: list[dict[str, Any]]) -> dict[str, Any]:
    """Join the groups of one size: all their scenarios, the largest of the other figures."""
    whole: dict[str, Any] = {"scenarios": {}}
    for part in parts:
        for name, value in part.items():
            if name == "scenarios":
                whole["scenarios"].update(value)
            else:
                whole[name] = max(whole.get(name, value), value)
    return whole


def worst(run: dict[str, Any]) -> dict[str, Any]:
    """Return the worst figure of all scenarios of one run under each key."""
    found: dict[str, Any] = {"memory_bytes_per_node": run["memory_bytes_per_node"]}
    for figures in run["scenarios"].values():
        for name, value in figures.items():
            if value is not None and name != "virtual_seconds":
                found[name] = max(found.get(name, value), value)
    return found


def slopes(runs: list[dict[str, Any]]) -> dict[str, float | None]:
    """Return each figure's exponent, in the scenario that most sizes ran."""
    return {name: exponent(by_size(runs, SCENARIOS, name)) for name in SLOPES}


def design_document() -> dict[str, float]:
    """Measure one node's cost of a change in a document of the design size."""
    before_bytes = resident_bytes()
    state = state_with(DESIGN_TENANTS)
    memory = resident_bytes() - before_bytes
    draw = random.Random(1)
    seconds = []
    for _ in range(DOCUMENT_CHANGES):
        delta = tenant_change(draw, DESIGN_TENANTS)
        started = time.perf_counter()
        changed = state.apply(delta)
        seconds.append(time.perf_counter() - started)
        assert isinstance(changed, DocumentState)
        state = changed
    return {
        "tenants": DESIGN_TENANTS,
        "memory_bytes": memory,
        "apply_seconds_p50": round(percentile(seconds, 0.5) or 0.0, 6),
        "apply_seconds_max": round(max(seconds), 6),
    }


def to_text(report: dict[str, Any]) -> str:
    """Return the report as JSON with a line for each figure."""
    return json.dumps(report, indent=1) + "\n"


def resident_bytes() -> int:
    """Return the memory that this process holds."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()
