"""Goal state and actual state of the models on workers, and the orders that change them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from foxwinch.identifiers import ModelName, WorkerId


class OrderKind(StrEnum):
    """Kind of an order, with the value used by the engine port."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


READS_WEIGHTS = frozenset({OrderKind.LOAD, OrderKind.LOAD_ADAPTER, OrderKind.SET_VERSION})
"""Orders that read from the rate-limited weight store."""
INTERRUPTS_SERVING = frozenset({OrderKind.UNLOAD, OrderKind.SET_VERSION})
"""Orders during which the worker does not count as serving the model."""


@dataclass(frozen=True, slots=True)
class ModelGoal:
    """Configured goal state of one model."""

    model: ModelName
    version: str
    adapters: frozenset[str]
    minimum_workers: int
    pools: frozenset[str]
    """Pools whose engines may serve the model."""


@dataclass(frozen=True, slots=True)
class WorkerActual:
    """Known state of one worker, from its lagging report and from completed orders."""

    worker: WorkerId
    pool: str
    load: float
    """Number of running and waiting calls."""
    models: frozenset[ModelName]
    versions: Mapping[ModelName, str] = field(default_factory=dict)
    """Known versions; a loaded model without a known version gets an order to set it."""
    adapters: frozenset[tuple[ModelName, str]] = frozenset()
    role: str = ""
    leaving: bool = False
    target_role: str = ""
    """Configured role, or empty if any role is accepted."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one worker, resent under the same token until it is answered."""

    token: str
    worker: WorkerId
    kind: OrderKind
    model: ModelName
    value: str = ""
