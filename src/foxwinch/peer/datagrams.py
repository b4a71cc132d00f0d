"""UDP endpoint of the peer protocol."""

import asyncio
from typing import Any

from foxwinch.peer.handlers import HandlerTable
from foxwinch.peer.limits import MAX_DATAGRAM_BYTES
from foxwinch.peer.ports import PeerAddress


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams of at most `MAX_DATAGRAM_BYTES`."""

    def __init__(self, handlers: HandlerTable) -> None:
        """Deliver received datagrams to `handlers`."""
        self._handlers = handlers
        self._transport: asyncio.DatagramTransport | None = None
        self.oversize_total = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Deliver a datagram; oversized ones are dropped and counted."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self.oversize_total += 1
            return
        self._handlers.deliver(PeerAddress(addr[0], addr[1]), data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error, since datagrams may be lost."""

    def send(self, address: PeerAddress, payload: bytes) -> None:
        """Send a datagram; raise `ValueError` if it is larger than `MAX_DATAGRAM_BYTES`."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(payload)} bytes; allowed: {MAX_DATAGRAM_BYTES}")
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(payload, (address.host, address.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
