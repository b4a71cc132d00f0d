"""Names and numbers that identify things, as distinct types so that they are not mixed up."""

from dataclasses import dataclass
from typing import NewType

ProgramId = NewType("ProgramId", str)
"""A program: one conversation or task. Globally unique, chosen by the caller or a node."""
CallId = NewType("CallId", str)
"""One call of a program: a model call, a tool call or the start of a sub-agent."""
TenantName = NewType("TenantName", str)
"""A tenant of the cluster configuration."""
ClassName = NewType("ClassName", str)
"""A priority class of the cluster configuration."""
ModelName = NewType("ModelName", str)
"""A model of the cluster configuration."""
ToolName = NewType("ToolName", str)
"""A tool of the cluster configuration."""
WorkerId = NewType("WorkerId", str)
"""A back-end worker (an engine process)."""
NodeId = NewType("NodeId", str)
"""One life of one node process: a restarted process has a new identity."""
ZoneName = NewType("ZoneName", str)
"""A failure zone inside a region."""
RegionName = NewType("RegionName", str)
"""A region: a set of zones joined by good links."""
Epoch = NewType("Epoch", int)
"""A fencing number: the holder of a higher epoch makes every lower one void."""
Revision = NewType("Revision", int)
"""A monotonic revision of the cluster configuration."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a node's peer side listens (TCP and UDP on the same port)."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"
