"""The size that the system is designed for, and what follows from it by arithmetic."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DesignSize:
    """The design size; rates are a second unless their names say otherwise."""

    nodes: int = 570
    workers: int = 5_100
    accelerators: int = 21_000
    requests_per_second: float = 18_000.0
    tokens_per_second: float = 7_500_000.0
    programs: int = 820_000
    tenants: int = 7_800
    models: int = 9
    regions: int = 8
    zones: int = 22
    changes_per_day: int = 11_000
    machine_failures_per_day: int = 85
    restarts_per_day: int = 1_500
    turns_per_program: int = 130
    tokens_per_program: int = 240_000
    first_token_seconds: float = 1.8
    token_gap_seconds: float = 0.034
    """Between tokens, for 95 in 100."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What one node may cost, and what must be kept."""

    control_bytes_per_second: float = 6_000.0
    control_cpu_fraction: float = 0.04
    memory_bytes: float = 256_000_000.0
    configuration_seconds: float = 11.0


@dataclass(frozen=True, slots=True)
class PerNode:
    """The part of one node, all nodes being equal."""

    requests_per_second: float
    tokens_per_second: float
    programs: float
    workers: float
    nodes_per_region: float
    shards_per_region_node: float


def per_node(size: DesignSize, shards_per_region: int) -> PerNode:
    """Divide the design size among its nodes."""
    region_nodes = size.nodes / size.regions
    return PerNode(
        requests_per_second=size.requests_per_second / size.nodes,
        tokens_per_second=size.tokens_per_second / size.nodes,
        programs=size.programs / size.nodes,
        workers=size.workers / size.nodes,
        nodes_per_region=region_nodes,
        shards_per_region_node=shards_per_region / region_nodes,
    )
