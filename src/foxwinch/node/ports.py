"""Ports of a node: the only access of its subsystems to the outside."""

from dataclasses import dataclass

from foxwinch.backends.ports import EnginePort, ToolPort
from foxwinch.clock import Clock
from foxwinch.peer.ports import PeerAddress, PeerPort
from foxwinch.records.ports import RecordStore
from foxwinch.storage.ports import MachinePort

NO_PEER_ADDRESS = PeerAddress("127.0.0.1", 0)
"""Address of a node without a peer endpoint."""


@dataclass(frozen=True, slots=True)
class NodePorts:
    """Ports of a node, opened before it is built and closed after it has stopped."""

    clock: Clock
    engine: EnginePort
    tools: ToolPort | None = None
    records: RecordStore | None = None
    """Shared store; None means that all state is kept in memory."""
    machines: MachinePort | None = None
    peers: PeerPort | None = None
    """Connections to peers; None means that the node has no peers."""
    peer_address: PeerAddress = NO_PEER_ADDRESS
    """Address of `peers`, with the bound port."""
