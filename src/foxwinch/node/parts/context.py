"""Context and service protocols shared by the subsystems of a node."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol, runtime_checkable

from prometheus_client import CollectorRegistry

from foxwinch.identifiers import NodeId
from foxwinch.node.admission_gate import AdmissionGate
from foxwinch.node.ports import NodePorts
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings


class NodeService(Protocol):
    """A service that starts background tasks and stops all of them."""

    async def start(self) -> None:
        """Start the service; return once it is usable."""
        ...

    async def stop(self) -> None:
        """Stop all tasks; does nothing if the service was not started."""
        ...


@runtime_checkable
class DrainingService(NodeService, Protocol):
    """A service that hands over state before a graceful shutdown."""

    async def drain(self) -> None:
        """Hand over all state, then return; cancelled at the drain timeout."""
        ...


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Id, settings and ports of the node being built."""

    node: NodeId
    settings: NodeSettings
    ports: NodePorts
    registry: CollectorRegistry
    """Metrics registry of this node, distinct from the default registry."""
    proposed: ClusterConfiguration | None = None
    """Configuration to propose if the cluster has none yet."""
    gate: AdmissionGate = field(default_factory=AdmissionGate)
    """Closed while the node drains."""
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)
    """Set by a signal or an operator to start the graceful shutdown."""
