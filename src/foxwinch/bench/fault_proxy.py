"""A fault-injecting proxy for TCP and UDP on loopback whose faults can be changed while it runs.

Put it in front of any listener (a peer endpoint, a backend, the platform) and point the clients at
`FaultProxy.address`. A node advertises the proxy of its peer endpoint with `peer_advertised`.
"""

import asyncio
import random
import socket
import struct
from dataclasses import dataclass, replace
from typing import Any

from foxwinch.bench.fault_streams import Gate, Pump
from foxwinch.identifiers import PeerAddress

BIND_ATTEMPTS = 20
LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that turns a close into a reset."""


@dataclass(frozen=True, slots=True)
class ProxyFaults:
    """Faults applied to the traffic; none by default."""

    delay_seconds: float = 0.0
    """Delay of each direction."""
    jitter_seconds: float = 0.0
    loss: float = 0.0
    """Fraction of datagrams lost; streams are not affected, where a lost packet is only a delay."""
    bytes_per_second: float | None = None
    """Bandwidth limit of each stream and direction."""
    block_to_target: bool = False
    """Nothing reaches the target: datagrams are dropped, streams stall half-open."""
    block_to_client: bool = False
    """Nothing from the target reaches the client."""
    refuse: bool = False
    """New connections are reset; datagrams are dropped."""


class FaultProxy:
    """A listener for TCP and UDP on the same port in front of one target."""

    def __init__(
        self, target: PeerAddress, host: str = "127.0.0.1", port: int = 0, seed: int = 0
    ) -> None:
        """Forward to `target`, which may be changed while the proxy runs."""
        self.target = target
        self.faults = ProxyFaults()
        self.blocked_sources: set[str] = set()
        """IP addresses of clients whose traffic is blocked in both directions."""
        self.dropped_datagrams = 0
        self._random = random.Random(seed)
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._datagrams: _ClientEndpoint | None = None
        self._connections: set[_ProxiedConnection] = set()

    @property
    def address(self) -> PeerAddress:
        """Address for clients; the port is known after the start."""
        return PeerAddress(self._host, self._port)

    async def start(self) -> None:
        """Bind TCP and UDP."""
        requested_port = self._port
        for attempt in range(BIND_ATTEMPTS):
            try:
                await self._bind()
                return
            except OSError:
                self._port = requested_port
                if requested_port or attempt == BIND_ATTEMPTS - 1:
                    raise

    async def stop(self) -> None:
        """Close every connection and both sockets."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        for connection in list(self._connections):
            connection.close()

    def set_faults(self, **changes: Any) -> None:
        """Change some of the faults, also for open connections."""
        self.faults = replace(self.faults, **changes)
        self._update_gates()

    def heal(self) -> None:
        """Clear all faults; streams that are blocked resume, those stalled by `stall` do not."""
        self.faults = ProxyFaults()
        self.blocked_sources.clear()
        self._update_gates()

    def block_source(self, host: str) -> None:
        """Block one client's traffic in both directions."""
        self.blocked_sources.add(host)
        self._update_gates()

    def unblock_source(self, host: str) -> None:
        """Let one client's traffic through again."""
        self.blocked_sources.discard(host)
        self._update_gates()

    def reset(self) -> None:
        """Reset every open connection on both sides."""
        for connection in list(self._connections):
            connection.reset()

    def stall(self) -> None:
        """Stop forwarding on every open connection for good, without a close; new ones work."""
        for connection in list(self._connections):
            connection.stall()

    def is_blocked(self, source: str, to_target: bool) -> bool:
        """Return whether the traffic of a client is blocked in one direction."""
        faults = self.faults
        blocked = faults.block_to_target if to_target else faults.block_to_client
        return blocked or source in self.blocked_sources

    def delay_seconds(self) -> float:
        """Return a random delay for one chunk or datagram."""
        return self.faults.delay_seconds + self._random.random() * self.faults.jitter_seconds

    def drops_datagram(self, source: str, to_target: bool) -> bool:
        """Return whether a datagram is lost, and count it if so."""
        is_lost = (
            self.faults.refuse
            or self.is_blocked(source, to_target)
            or self._random.random() < self.faults.loss
        )
        self.dropped_datagrams += is_lost
        return is_lost

    async def _bind(self) -> None:
        self._server = await asyncio.start_server(self._handle_connection, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        try:
            _, self._datagrams = await loop.create_datagram_endpoint(
                lambda: _ClientEndpoint(self), (self._host, self._port)
            )
        except OSError:
            self._server.close()
            raise

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse:
            _reset(writer)
            return
        try:
            target = await asyncio.open_connection(self.target.host, self.target.port)
        except OSError:
            _reset(writer)
            return
        connection = _ProxiedConnection(self, (reader, writer), target)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def _update_gates(self) -> None:
        for connection in list(self._connections):
            connection.update_gates()


StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _ProxiedConnection:
    """A client connection and its connection to the target."""

    def __init__(self, proxy: FaultProxy, client: StreamPair, target: StreamPair) -> None:
        self._proxy = proxy
        self._writers = (client[1], target[1])
        self._source = str(client[1].get_extra_info("peername")[0])
        self._gates = (Gate(), Gate())
        self._is_stalled = False
        self.update_gates()
        self._pumps = (
            Pump(client[0], target[1], self._gates[0], proxy.delay_seconds, self._rate),
            Pump(target[0], client[1], self._gates[1], proxy.delay_seconds, self._rate),
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Forward until both directions have ended."""
        self._tasks = [asyncio.create_task(pump.run()) for pump in self._pumps]
        try:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        finally:
            self.close()

    def update_gates(self) -> None:
        """Open or close the gates according to the faults of the proxy."""
        for gate, to_target in zip(self._gates, (True, False), strict=True):
            blocked = self._is_stalled or self._proxy.is_blocked(self._source, to_target)
            gate.set_open(not blocked)

    def stall(self) -> None:
        """Stop forwarding in both directions for good, including the end of the stream."""
        self._is_stalled = True
        self.update_gates()

    def close(self) -> None:
        """Close both sides gracefully."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()

    def reset(self) -> None:
        """Reset both sides."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            _reset(writer)

    def _rate(self) -> float | None:
        return self._proxy.faults.bytes_per_second


class _ClientEndpoint(asyncio.DatagramProtocol):
    """Receives datagrams of clients; each client has a socket of its own to the target."""

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy
        self._transport: asyncio.DatagramTransport | None = None
        self._targets: dict[Any, _TargetEndpoint] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self._proxy.drops_datagram(addr[0], to_target=True):
            return
        endpoint = self._targets.get(addr)
        if endpoint is None or endpoint.target != self._proxy.target:
            if endpoint is not None:
                endpoint.close()
            endpoint = _TargetEndpoint(self._proxy, self, addr)
            self._targets[addr] = endpoint
        endpoint.send_later(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore: the datagram is lost."""

    def send_to_client(self, data: bytes, client: Any) -> None:
        """Forward a datagram of the target to the client."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, client)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
        for endpoint in self._targets.values():
            endpoint.close()


class _TargetEndpoint(asyncio.DatagramProtocol):
    """The socket to the target on behalf of one client."""

    def __init__(self, proxy: FaultProxy, clients: _ClientEndpoint, client: Any) -> None:
        self.target = proxy.target
        self._proxy = proxy
        self._clients = clients
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._pending: list[bytes] = []
        address = (self.target.host, self.target.port)
        self._opening_task = self._loop.create_task(
            self._loop.create_datagram_endpoint(lambda: self, remote_addr=address)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        for data in self._pending:
            self._send(data)
        self._pending.clear()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self._proxy.drops_datagram(self._client[0], to_target=False):
            return
        self._loop.call_later(
            self._proxy.delay_seconds(), self._clients.send_to_client, data, self._client
        )

    def error_received(self, exc: Exception) -> None:
        """Ignore: the datagram is lost."""

    def send_later(self, data: bytes) -> None:
        """Send to the target after the delay."""
        self._loop.call_later(self._proxy.delay_seconds(), self._send, data)

    def close(self) -> None:
        self._opening_task.cancel()
        if self._transport is not None:
            self._transport.close()

    def _send(self, data: bytes) -> None:
        if self._transport is None:
            self._pending.append(data)
        elif not self._transport.is_closing():
            self._transport.sendto(data)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    # The peer may have closed the connection already.
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
