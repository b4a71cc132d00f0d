"""A fault-injecting proxy for TCP and UDP on loopback, programmed while it runs.

Stand it before any listener (a node's peer side, a back end, the platform) and point the clients
at `FaultProxy.address`. A node's peer side is told the proxy's address as `peer_advertised`.
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
"""Socket option that turns a close into a reset."""


@dataclass(frozen=True, slots=True)
class ProxyFaults:
    """What happens to the traffic; the default is nothing."""

    delay_seconds: float = 0.0
    """One way, in each direction."""
    jitter_seconds: float = 0.0
    loss: float = 0.0
    """Fraction of datagrams lost. On streams a lost packet would only be a delay."""
    bytes_per_second: float | None = None
    """Throttle of each stream and direction."""
    block_to_target: bool = False
    """Nothing reaches the target: datagrams vanish, streams stall half-open."""
    block_to_client: bool = False
    """Nothing comes back from the target."""
    refuse: bool = False
    """New connections are reset; datagrams vanish."""


class FaultProxy:
    """One listener, TCP and UDP on the same port, before one target."""

    def __init__(
        self, target: PeerAddress, host: str = "127.0.0.1", port: int = 0, seed: int = 0
    ) -> None:
        """Forward to `target`, which may be changed while running."""
        self.target = target
        self.faults = ProxyFaults()
        self.blocked_sources: set[str] = set()
        """IP numbers of clients whose traffic is blocked in both directions."""
        self.dropped_datagrams = 0
        self._random = random.Random(seed)
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._datagrams: _ClientSide | None = None
        self._links: set[_Link] = set()

    @property
    def address(self) -> PeerAddress:
        """Where clients connect; the real port after the start."""
        return PeerAddress(self._host, self._port)

    async def start(self) -> None:
        """Bind TCP and UDP."""
        wanted = self._port
        for attempt in range(BIND_ATTEMPTS):
            try:
                await self._bind()
                return
            except OSError:
                self._port = wanted
                if wanted or attempt == BIND_ATTEMPTS - 1:
                    raise

    async def stop(self) -> None:
        """Close every connection and both sockets."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        for link in list(self._links):
            link.close()

    def program(self, **changes: Any) -> None:
        """Change some of the faults; they hold for open connections as well."""
        self.faults = replace(self.faults, **changes)
        self._notify()

    def heal(self) -> None:
        """Take every fault back; stalled streams go on."""
        self.faults = ProxyFaults()
        self.blocked_sources.clear()
        self._notify()

    def block_source(self, host: str) -> None:
        """Block one client's traffic in both directions."""
        self.blocked_sources.add(host)
        self._notify()

    def unblock_source(self, host: str) -> None:
        """Let one client's traffic through again."""
        self.blocked_sources.discard(host)
        self._notify()

    def reset(self) -> None:
        """Break every open connection by a reset on both sides."""
        for link in list(self._links):
            link.reset()

    def silence(self) -> None:
        """Let every open connection go silent for good, without a reset; new ones work."""
        for link in list(self._links):
            link.silence()

    def is_blocked(self, source: str, to_target: bool) -> bool:
        """Tell whether traffic of a client is blocked in one direction."""
        faults = self.faults
        blocked = faults.block_to_target if to_target else faults.block_to_client
        return blocked or source in self.blocked_sources

    def delay_seconds(self) -> float:
        """Draw the delay of one chunk or datagram."""
        return self.faults.delay_seconds + self._random.random() * self.faults.jitter_seconds

    def drops_datagram(self, source: str, to_target: bool) -> bool:
        """Draw whether a datagram is lost, and count it."""
        lost = (
            self.faults.refuse
            or self.is_blocked(source, to_target)
            or self._random.random() < self.faults.loss
        )
        self.dropped_datagrams += lost
        return lost

    async def _bind(self) -> None:
        self._server = await asyncio.start_server(self._accepted, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        try:
            _, self._datagrams = await loop.create_datagram_endpoint(
                lambda: _ClientSide(self), (self._host, self._port)
            )
        except OSError:
            self._server.close()
            raise

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.refuse:
            _reset(writer)
            return
        try:
            target = await asyncio.open_connection(self.target.host, self.target.port)
        except OSError:
            _reset(writer)
            return
        link = _Link(self, (reader, writer), target)
        self._links.add(link)
        try:
            await link.run()
        finally:
            self._links.discard(link)

    def _notify(self) -> None:
        for link in list(self._links):
            link.faults_changed()


Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Link:
    """One client's connection with the one to the target."""

    def __init__(self, proxy: FaultProxy, client: Ends, target: Ends) -> None:
        self._proxy = proxy
        self._writers = (client[1], target[1])
        self._source = str(client[1].get_extra_info("peername")[0])
        self._gates = (Gate(), Gate())
        self._silent = False
        self.faults_changed()
        self._pumps = (
            Pump(client[0], target[1], self._gates[0], proxy.delay_seconds, self._rate),
            Pump(target[0], client[1], self._gates[1], proxy.delay_seconds, self._rate),
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Pump until both directions have ended."""
        self._tasks = [asyncio.create_task(pump.run()) for pump in self._pumps]
        try:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        finally:
            self.close()

    def faults_changed(self) -> None:
        """Open or shut the gates as the proxy is programmed."""
        for gate, to_target in zip(self._gates, (True, False), strict=True):
            blocked = self._silent or self._proxy.is_blocked(self._source, to_target)
            gate.set_open(not blocked)

    def silence(self) -> None:
        """Carry nothing any more in either direction, not even an end."""
        self._silent = True
        self.faults_changed()

    def close(self) -> None:
        """End both sides in order."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()

    def reset(self) -> None:
        """End both sides by a reset."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            _reset(writer)

    def _rate(self) -> float | None:
        return self._proxy.faults.bytes_per_second


class _ClientSide(asyncio.DatagramProtocol):
    """Receives the clients' datagrams; each client has a socket of its own to the target."""

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy
        self._transport: asyncio.DatagramTransport | None = None
        self._targets: dict[Any, _TargetSide] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self._proxy.drops_datagram(addr[0], to_target=True):
            return
        side = self._targets.get(addr)
        if side is None or side.target != self._proxy.target:
            if side is not None:
                side.close()
            side = _TargetSide(self._proxy, self, addr)
            self._targets[addr] = side
        side.send_later(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore: the datagram is lost."""

    def answer(self, data: bytes, client: Any) -> None:
        """Send a datagram of the target to its client."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, client)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
        for side in self._targets.values():
            side.close()


class _TargetSide(asyncio.DatagramProtocol):
    """The socket that speaks to the target on behalf of one client."""

    def __init__(self, proxy: FaultProxy, clients: _ClientSide, client: Any) -> None:
        self.target = proxy.target
        self._proxy = proxy
        self._clients = clients
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._waiting: list[bytes] = []
        address = (self.target.host, self.target.port)
        self._opening = self._loop.create_task(
            self._loop.create_datagram_endpoint(lambda: self, remote_addr=address)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        for data in self._waiting:
            self._send(data)
        self._waiting.clear()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self._proxy.drops_datagram(self._client[0], to_target=False):
            return
        self._loop.call_later(self._proxy.delay_seconds(), self._clients.answer, data, self._client)

    def error_received(self, exc: Exception) -> None:
        """Ignore: the datagram is lost."""

    def send_later(self, data: bytes) -> None:
        """Send to the target after the delay."""
        self._loop.call_later(self._proxy.delay_seconds(), self._send, data)

    def close(self) -> None:
        self._opening.cancel()
        if self._transport is not None:
            self._transport.close()

    def _send(self, data: bytes) -> None:
        if self._transport is None:
            self._waiting.append(data)
        elif not self._transport.is_closing():
            self._transport.sendto(data)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
