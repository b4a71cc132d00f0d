"""Pool of persistent connections to other nodes, one per address, opened on first use."""

import asyncio

from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.limits import CONNECT_TIMEOUT_SECONDS, RECONNECT_PAUSE_SECONDS
from foxwinch.peer.outbound import OutboundConnection
from foxwinch.peer.ports import PeerAddress
from foxwinch.peer.tls import PeerTls

ANY_HOST = frozenset({"0.0.0.0", "::"})


class ConnectionPool:
    """Opens, shares and closes outbound connections."""

    def __init__(self, node: NodeId, host: str, tls: PeerTls | None) -> None:
        """Connect as `node` from the local address `host`, unless that is a wildcard address."""
        self._node = node
        self._tls = tls
        self._local = None if host in ANY_HOST else (host, 0)
        self._open: dict[PeerAddress, OutboundConnection] = {}
        self._opening: dict[PeerAddress, asyncio.Task[OutboundConnection | Refused]] = {}
        self._refused_until_seconds: dict[PeerAddress, float] = {}

    async def get(self, address: PeerAddress, wait_seconds: float) -> OutboundConnection | Refused:
        """Return a connection to `address`; a refusal means that nothing was sent."""
        connection = self._open.get(address)
        if connection is not None and not connection.closed:
            return connection
        now = asyncio.get_running_loop().time()
        if self._refused_until_seconds.get(address, 0.0) > now:
            return _unreachable(address, "the last connection attempt failed; waiting to reconnect")
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.get_running_loop().create_task(self._connect(address))
            self._opening[address] = opening
        try:
            async with asyncio.timeout(wait_seconds):
                return await asyncio.shield(opening)
        except TimeoutError:
            return _unreachable(address, "not connected before the deadline")

    async def close(self) -> None:
        """Close all connections and cancel pending connection attempts."""
        for task in list(self._opening.values()):
            task.cancel()
        for connection in list(self._open.values()):
            connection.close()
        self._open.clear()

    async def _connect(self, address: PeerAddress) -> OutboundConnection | Refused:
        loop = asyncio.get_running_loop()
        cause = "the protocol versions are incompatible or the peer closed the connection"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: OutboundConnection(self._node),
                    address.host,
                    address.port,
                    local_addr=self._local,
                    ssl=self._tls.client if self._tls else None,
                )
                if await self._wait_for_handshake(connection):
                    self._add(address, connection)
                    return connection
        except TimeoutError:
            cause = f"not connected within {CONNECT_TIMEOUT_SECONDS} s"
        except OSError as error:  # includes TLS failures
            cause = error.strerror or type(error).__name__
        finally:
            self._opening.pop(address, None)
        self._delay_reconnect(address, loop.time())
        return _unreachable(address, cause)

    async def _wait_for_handshake(self, connection: OutboundConnection) -> bool:
        try:
            return await asyncio.shield(connection.handshake)
        except asyncio.CancelledError:
            connection.abort()
            raise

    def _add(self, address: PeerAddress, connection: OutboundConnection) -> None:
        for known in [a for a, c in self._open.items() if c.closed]:
            del self._open[known]
        self._open[address] = connection

    def _delay_reconnect(self, address: PeerAddress, now: float) -> None:
        stale = [a for a, until in self._refused_until_seconds.items() if until <= now]
        for known in stale:
            del self._refused_until_seconds[known]
        self._refused_until_seconds[address] = now + RECONNECT_PAUSE_SECONDS


def _unreachable(address: PeerAddress, cause: str) -> Refused:
    return not_run(
        Reason.PEER_UNREACHABLE, f"no connection to {address}: {cause}", RECONNECT_PAUSE_SECONDS
    )
