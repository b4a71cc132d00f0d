"""Distinct types of identifiers, so that type checking finds mix-ups."""

from dataclasses import dataclass
from typing import NewType

ProgramId = NewType("ProgramId", str)
"""A program, that is one conversation or task; globally unique, chosen by a caller or a node."""
CallId = NewType("CallId", str)
"""A call of a program: a model call, a tool call or the start of a sub-agent."""
TenantName = NewType("TenantName", str)
"""A tenant of the cluster configuration."""
ClassName = NewType("ClassName", str)
"""A priority class of the cluster configuration."""
ModelName = NewType("ModelName", str)
"""A model of the cluster configuration."""
ToolName = NewType("ToolName", str)
"""A tool of the cluster configuration."""
WorkerId = NewType("WorkerId", str)
"""A backend worker."""
NodeId = NewType("NodeId", str)
"""A node process; a restarted node has a new id."""
ZoneName = NewType("ZoneName", str)
"""A failure zone inside a region."""
RegionName = NewType("RegionName", str)
"""A region, that is a set of zones with low latency between them."""
Epoch = NewType("Epoch", int)
"""A fencing token: a higher epoch invalidates all lower ones."""
Revision = NewType("Revision", int)
"""A monotonically increasing revision of the cluster configuration."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of a node's peer endpoint, the same for TCP and UDP."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"
