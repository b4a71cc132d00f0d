"""Goal state and actual state of models on workers, and the orders between them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from foxwinch.identifiers import ModelName, WorkerId


class OrderKind(StrEnum):
    """What an engine is ordered to do; the names of the engine port."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


READS_WEIGHTS = frozenset({OrderKind.LOAD, OrderKind.LOAD_ADAPTER, OrderKind.SET_VERSION})
"""Orders that make the worker read from the rate-limited weight store."""
INTERRUPTS_SERVING = frozenset({OrderKind.UNLOAD, OrderKind.SET_VERSION})
"""Orders during which the worker doesn't count as serving the model."""


@dataclass(frozen=True, slots=True)
class ModelGoal:
    """What the configuration wants of one model."""

    model: ModelName
    version: str
    adapters: frozenset[str]
    minimum_workers: int
    pools: frozenset[str]
    """Pools whose engines may serve the model."""


@dataclass(frozen=True, slots=True)
class WorkerActual:
    """What is known of one worker, from its lagging report and from finished orders."""

    worker: WorkerId
    pool: str
    load: float
    """Running and waiting calls; the worker with the least is the coldest."""
    models: frozenset[ModelName]
    versions: Mapping[ModelName, str] = field(default_factory=dict)
    """Versions that are known; a loaded model without one here is ordered to its version."""
    adapters: frozenset[tuple[ModelName, str]] = frozenset()
    role: str = ""
    leaving: bool = False
    wanted_role: str = ""
    """Role that the configuration wants; empty means that any is right."""


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one worker; sent again under the same token until it is answered."""

    token: str
    worker: WorkerId
    kind: OrderKind
    model: ModelName
    value: str = ""
