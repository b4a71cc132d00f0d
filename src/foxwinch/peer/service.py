"""Peer communication of a deployed node over TCP and UDP on one port number."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Refused
from foxwinch.peer.connections import ConnectionPool
from foxwinch.peer.datagrams import DatagramEndpoint
from foxwinch.peer.handlers import HandlerTable
from foxwinch.peer.inbound import InboundConnection
from foxwinch.peer.limits import MAX_INBOUND_CONNECTIONS
from foxwinch.peer.ports import DatagramHandler, PeerAddress, StreamHandler, UnaryHandler
from foxwinch.peer.tls import PeerTls, build_peer_tls
from foxwinch.settings.process import TlsSettings

BIND_ATTEMPTS = 20
"""Attempts to bind if the system chooses the port, since the UDP port that matches a free TCP port
may be in use."""


class PeerService:
    """Implements `foxwinch.peer.ports.PeerPort` over TCP and UDP between `start` and `stop`."""

    def __init__(
        self, node: NodeId, host: str = "127.0.0.1", port: int = 0, tls: TlsSettings | None = None
    ) -> None:
        """Serve as `node` on `host:port`; with port 0 the system chooses a port.

        `tls` enables mutual authentication of all TCP connections. Datagrams are not encrypted.
        """
        self._node = node
        self._host = host
        self._port = port
        self._tls: PeerTls | None = build_peer_tls(tls) if tls else None
        self._handlers = HandlerTable()
        self._pool = ConnectionPool(node, host, self._tls)
        self._inbound: set[InboundConnection] = set()
        self._server: asyncio.Server | None = None
        self._datagrams: DatagramEndpoint | None = None

    async def start(self) -> None:
        """Bind both sockets; raise `OSError` if the port is in use."""
        for attempt in range(BIND_ATTEMPTS):
            try:
                await self._bind()
                return
            except OSError:
                if self._port or attempt == BIND_ATTEMPTS - 1:
                    raise

    async def stop(self, exception: Exception | None = None) -> None:
        """Close all connections and both sockets."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        await self._pool.close()
        for connection in list(self._inbound):
            connection.close()

    @property
    def address(self) -> PeerAddress:
        """Listening address; `start` replaces port 0 by the bound port."""
        return PeerAddress(self._host, self._bound_port())

    @property
    def inbound_connections(self) -> int:
        """Number of open connections from other nodes."""
        return len(self._inbound)

    async def call(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> bytes | Refused:
        """Send a unary request and return its response."""
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + deadline_seconds
        connection = await self._pool.get(address, deadline_seconds)
        if isinstance(connection, Refused):
            return connection
        return await connection.call(method, payload, max(0.0, deadline_at - loop.time()))

    async def stream(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncIterator[bytes | Refused]:
        """Send a streaming request and yield its responses; closing the iterator cancels it."""
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + deadline_seconds
        connection = await self._pool.get(address, deadline_seconds)
        if isinstance(connection, Refused):
            yield connection
            return
        answers = connection.stream(method, payload, max(0.0, deadline_at - loop.time()))
        async with aclosing(answers):
            async for answer in answers:
                yield answer

    def send_datagram(self, address: PeerAddress, payload: bytes) -> None:
        """Send a datagram, which may be lost, duplicated or reordered."""
        if self._datagrams is not None:
            self._datagrams.send(address, payload)

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Register the handler of a unary method."""
        self._handlers.handle(method, handler)

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Register the handler of a streaming method."""
        self._handlers.handle_stream(method, handler)

    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Add a handler that receives every datagram."""
        self._handlers.handle_datagrams(handler)

    async def _bind(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: InboundConnection(self._node, self._handlers, self._on_opened, self._on_closed),
            self._host,
            self._port,
            ssl=self._tls.server if self._tls else None,
        )
        self._server = server
        try:
            _, self._datagrams = await loop.create_datagram_endpoint(
                lambda: DatagramEndpoint(self._handlers), (self._host, self._bound_port())
            )
        except OSError:
            server.close()
            self._server = None
            raise

    def _bound_port(self) -> int:
        if self._server is None or not self._server.sockets:
            return self._port
        return int(self._server.sockets[0].getsockname()[1])

    def _on_opened(self, connection: InboundConnection) -> bool:
        if len(self._inbound) >= MAX_INBOUND_CONNECTIONS:
            return False
        self._inbound.add(connection)
        return True

    def _on_closed(self, connection: InboundConnection) -> None:
        self._inbound.discard(connection)
