"""Figures of a stretch of virtual time."""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from statistics import linear_regression
from typing import Any

from foxwinch.bench.fleet.node import HollowNode
from foxwinch.bench.fleet.world import FleetWorld


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one scenario; None: nothing of the kind happened in it."""

    virtual_seconds: float
    control_bytes_per_second_p50: float
    control_bytes_per_second_p99: float
    control_bytes_per_second_max: float
    control_cpu_fraction_p50: float
    control_cpu_fraction_max: float
    config_seconds_p99: float | None
    config_seconds_max: float | None
    detection_seconds_p50: float | None
    detection_seconds_p99: float | None
    false_suspicions: int
    false_deaths: int
    store_operations_per_second: float
    shard_moves: int
    unowned_shard_seconds: float
    takeover_seconds_p50: float | None
    takeover_seconds_max: float | None

    def to_json(self) -> dict[str, float | int | None]:
        """Return the figures by name, rounded to what they are worth."""
        return {name: _rounded(value) for name, value in asdict(self).items()}


def percentile(values: Sequence[float], fraction: float) -> float | None:
    """Return the value below which that fraction lies (nearest rank); None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def by_size(
    runs: Sequence[Mapping[str, Any]], scenarios: Iterable[str], name: str
) -> list[tuple[int, float]]:
    """Return nodes and figure of the runs, in the first scenario in which most of them have it."""
    best: list[tuple[int, float]] = []
    for scenario in scenarios:
        found = [(run["nodes"], run["scenarios"].get(scenario, {}).get(name)) for run in runs]
        pairs = [(nodes, value) for nodes, value in found if value]
        best = pairs if len(pairs) > len(best) else best
    return best


def exponent(pairs: Sequence[tuple[int, float]]) -> float | None:
    """Fit figures as a power of the number of nodes; None below two sizes."""
    if len(pairs) < 2:
        return None
    logs = [(math.log(nodes), math.log(value)) for nodes, value in pairs]
    return round(linear_regression(*zip(*logs, strict=True)).slope, 3)


class Stretch:
    """Measures from its making to `figures`."""

    def __init__(self, world: FleetWorld) -> None:
        """Remember where every counter stands."""
        self._world = world
        self._began_at_seconds = world.simulator.now
        self._before = {node: _spent(world, node) for node in world.fleet.running()}
        self._detections = len(world.detection_seconds)
        self._suspicions = world.false_suspicions
        self._deaths = world.false_deaths
        self._operations = world.table.operations
        self._revision = world.table.revision
        self._moves = world.book.moves
        self._unowned = world.book.unowned_seconds
        self._takeovers = len(world.book.takeover_seconds)

    def figures(self) -> Figures:
        """Return the figures; those of a node count only if it ran all the time."""
        world = self._world
        seconds = world.simulator.now - self._began_at_seconds
        spent = [
            (node_bytes - before[0], processor - before[1])
            for node, before in self._before.items()
            if node.running
            for node_bytes, processor in [_spent(world, node)]
        ]
        rates = [node_bytes / seconds for node_bytes, _ in spent]
        fractions = [processor / seconds for _, processor in spent]
        detections = world.detection_seconds[self._detections :]
        takeovers = world.book.takeover_seconds[self._takeovers :]
        config = world.config_seconds(self._revision)
        return Figures(
            virtual_seconds=seconds,
            control_bytes_per_second_p50=percentile(rates, 0.5) or 0.0,
            control_bytes_per_second_p99=percentile(rates, 0.99) or 0.0,
            control_bytes_per_second_max=max(rates, default=0.0),
            control_cpu_fraction_p50=percentile(fractions, 0.5) or 0.0,
            control_cpu_fraction_max=max(fractions, default=0.0),
            config_seconds_p99=percentile(config, 0.99),
            config_seconds_max=max(config, default=None),
            detection_seconds_p50=percentile(detections, 0.5),
            detection_seconds_p99=percentile(detections, 0.99),
            false_suspicions=world.false_suspicions - self._suspicions,
            false_deaths=world.false_deaths - self._deaths,
            store_operations_per_second=(world.table.operations - self._operations) / seconds,
            shard_moves=world.book.moves - self._moves,
            unowned_shard_seconds=world.book.unowned_seconds - self._unowned,
            takeover_seconds_p50=percentile(takeovers, 0.5),
            takeover_seconds_max=max(takeovers, default=None),
        )


def _spent(world: FleetWorld, node: HollowNode) -> tuple[int, float]:
    counters = node.engine.counters
    streams = world.fleet.network.stream_bytes[node.place.address]
    return counters.bytes_sent + counters.bytes_received + streams, node.processor_seconds


def _rounded(value: float | int | None) -> float | int | None:
    if not isinstance(value, float) or value == 0.0:
        return value
    return round(value, max(0, 3 - math.floor(math.log10(abs(value)))))
