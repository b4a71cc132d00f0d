"""The ports of a deployed node: HTTP to back ends and platform, sockets to fellow nodes."""

from dataclasses import dataclass

import aiohttp

from foxwinch.backends.engine_http import HttpEngine
from foxwinch.identifiers import NodeId
from foxwinch.node.clock import SystemClock
from foxwinch.node.membership_service import parse_address
from foxwinch.node.node import new_node_identity
from foxwinch.node.ports import NO_PEER_ADDRESS, NodePorts
from foxwinch.node.worker_directory import WorkerDirectory
from foxwinch.peer.ports import PeerAddress
from foxwinch.peer.service import PeerService
from foxwinch.settings.process import NodeSettings

CONNECT_SECONDS = 3.0
"""For a connection to a back end or the platform to be made."""


@dataclass(frozen=True, slots=True)
class OpenPorts:
    """Open ports with what must be closed after them."""

    node: NodeId
    ports: NodePorts
    directory: WorkerDirectory
    session: aiohttp.ClientSession
    peers: PeerService | None

    async def close(self) -> None:
        """Close every connection."""
        if self.peers is not None:
            await self.peers.stop()
        await self.session.close()


async def open_ports(settings: NodeSettings, alone: bool = False) -> OpenPorts:
    """Open the ports that the settings name; `alone` opens no peer side."""
    clock = SystemClock()
    node = new_node_identity(settings, clock)
    directory = WorkerDirectory()
    peers = None
    if not alone:
        peers = PeerService(node, settings.host, settings.peer_port, settings.peer_tls)
        await peers.start()
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
    )
    ports = NodePorts(
        clock=clock,
        engine=HttpEngine(session, directory.url_of),
        peers=peers,
        peer_address=_advertised(settings, peers),
    )
    return OpenPorts(node, ports, directory, session, peers)


def _advertised(settings: NodeSettings, peers: PeerService | None) -> PeerAddress:
    """Return the address that other nodes are told."""
    if peers is None:
        return NO_PEER_ADDRESS
    given = parse_address(settings.peer_advertised) if settings.peer_advertised else None
    return given or peers.address
