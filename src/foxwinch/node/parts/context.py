"""What every part of a node is built from."""

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
    """A running part: it starts its tasks, and stops them without leaving one behind."""

    async def start(self) -> None:
        """Start; returns once the service can be used."""
        ...

    async def stop(self) -> None:
        """Stop all tasks; harmless when not started."""
        ...


@runtime_checkable
class DrainingService(NodeService, Protocol):
    """A service that has something to hand over before a planned stop."""

    async def drain(self) -> None:
        """Hand over what is held and return when nothing is; cancelled at the drain limit."""
        ...


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Identity, settings and ports of the node being built."""

    node: NodeId
    settings: NodeSettings
    ports: NodePorts
    registry: CollectorRegistry
    """Metrics of this node; never the default registry."""
    proposed: ClusterConfiguration | None = None
    """Configuration to propose when the cluster holds none yet."""
    gate: AdmissionGate = field(default_factory=AdmissionGate)
    """Closed while the node drains."""
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)
    """Set by a signal or an operator: the process begins the planned stop."""
