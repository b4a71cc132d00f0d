"""The ports that one node is given: the only way by which its parts reach anything outside."""

from dataclasses import dataclass

from foxwinch.backends.ports import EnginePort, ToolPort
from foxwinch.clock import Clock
from foxwinch.peer.ports import PeerAddress, PeerPort
from foxwinch.records.ports import RecordStore
from foxwinch.storage.ports import MachinePort

NO_PEER_ADDRESS = PeerAddress("127.0.0.1", 0)
"""Address of a node without a peer side."""


@dataclass(frozen=True, slots=True)
class NodePorts:
    """Ports of one node, opened before it is built and closed after it has stopped."""

    clock: Clock
    engine: EnginePort
    tools: ToolPort | None = None
    records: RecordStore | None = None
    """None: no shared store is configured; all is kept in memory."""
    machines: MachinePort | None = None
    peers: PeerPort | None = None
    """None: a node without fellow nodes."""
    peer_address: PeerAddress = NO_PEER_ADDRESS
    """Where `peers` listens, with the real port."""
