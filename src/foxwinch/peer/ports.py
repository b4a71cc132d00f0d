"""Ports between nodes: kept request streams and gossip datagrams.

Implemented by TCP and UDP in a deployed node and by an in-memory network in tests, where time is
virtual. Payloads are serialized protobuf messages; `method` names the handler.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import NodeId
from foxwinch.identifiers import PeerAddress as PeerAddress
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class PeerContext:
    """Who sent a request and how long the answer is of use."""

    sender: NodeId
    deadline_seconds: float


UnaryHandler = Callable[[PeerContext, bytes], Awaitable[bytes | Refused]]
StreamHandler = Callable[[PeerContext, bytes], AsyncIterator[bytes | Refused]]
DatagramHandler = Callable[[PeerAddress, bytes], None]


class PeerPort(Protocol):
    """What a node asks of the network between nodes."""

    async def call(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> bytes | Refused:
        """Send a request and wait for its one answer.

        A refusal `PEER_UNREACHABLE` with `not_run` means that the request was never sent; with
        `unknown` that its answer was lost.
        """
        ...

    def stream(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncIterator[bytes | Refused]:
        """Send a request and iterate over its answers; closing the iterator cancels it."""
        ...

    def send_datagram(self, address: PeerAddress, payload: bytes) -> None:
        """Send a datagram that may be lost, doubled or reordered."""
        ...

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Serve `method` with one answer."""
        ...

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Serve `method` with a stream of answers."""
        ...

    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Give every datagram that arrives to `handler`."""
        ...


def parse_address(text: str) -> PeerAddress | None:
    """Read `ip:port`, with brackets around an IPv6 number; None when it is no such thing."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        return None
    return PeerAddress(host.strip("[]"), int(port))
