"""Interface for requests, streams and datagrams between nodes.

Implemented over TCP and UDP in a deployed node and by an in-memory network with virtual time in
tests. Payloads are serialized protobuf messages; `method` names the handler.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import NodeId
from foxwinch.identifiers import PeerAddress as PeerAddress
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class PeerContext:
    """Sender of a request and the seconds remaining until its deadline."""

    sender: NodeId
    deadline_seconds: float


UnaryHandler = Callable[[PeerContext, bytes], Awaitable[bytes | Refused]]
StreamHandler = Callable[[PeerContext, bytes], AsyncIterator[bytes | Refused]]
DatagramHandler = Callable[[PeerAddress, bytes], None]


class PeerPort(Protocol):
    """Network between nodes, as used by the components of a node."""

    async def call(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> bytes | Refused:
        """Send a unary request and return its response.

        `PEER_UNREACHABLE` with run state `not_run` means that the request was never sent, and
        with `unknown` that its response was lost.
        """
        ...

    def stream(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncIterator[bytes | Refused]:
        """Send a streaming request and yield its responses; closing the iterator cancels it."""
        ...

    def send_datagram(self, address: PeerAddress, payload: bytes) -> None:
        """Send a datagram, which may be lost, duplicated or reordered."""
        ...

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Register the handler of a unary method."""
        ...

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Register the handler of a streaming method."""
        ...

    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Add a handler that receives every datagram."""
        ...


def parse_address(text: str) -> PeerAddress | None:
    """Parse `ip:port` with brackets around an IPv6 address; return None if it is malformed."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        return None
    return PeerAddress(host.strip("[]"), int(port))
