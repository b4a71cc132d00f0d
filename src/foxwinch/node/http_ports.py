"""Adapters of a deployed node: HTTP to backends and platform, sockets to peers."""

from dataclasses import dataclass

import aiohttp

from foxwinch.backends.engine_http import HttpEngine
from foxwinch.backends.tools_http import HttpTools
from foxwinch.clock import Clock, SystemClock
from foxwinch.http_client import new_session
from foxwinch.identifiers import NodeId
from foxwinch.node.node import new_node_id
from foxwinch.node.ports import NO_PEER_ADDRESS, NodePorts
from foxwinch.peer.ports import PeerAddress, parse_address
from foxwinch.peer.service import PeerService
from foxwinch.settings.process import NodeSettings, PlatformSettings
from foxwinch.storage.machines_http import HttpMachineList
from foxwinch.storage.rate_limit import RateLimiter
from foxwinch.storage.records_http import HttpRecordStore
from foxwinch.workers.worker_directory import WorkerDirectory

BURST_SECONDS = 2.0
"""Burst of requests to the platform, as seconds of the request rate."""


@dataclass(frozen=True, slots=True)
class OpenPorts:
    """Open ports and the resources to close with them."""

    node: NodeId
    ports: NodePorts
    directory: WorkerDirectory
    sessions: tuple[aiohttp.ClientSession, ...]
    peers: PeerService | None

    async def close(self) -> None:
        """Close every connection."""
        if self.peers is not None:
            await self.peers.stop()
        for session in self.sessions:
            await session.close()


async def open_ports(settings: NodeSettings, standalone: bool = False) -> OpenPorts:
    """Open the ports for `settings`; with `standalone`, no peer endpoint is opened."""
    clock = SystemClock()
    node = new_node_id(settings, clock)
    directory = WorkerDirectory()
    peers = None
    if not standalone:
        peers = PeerService(node, settings.host, settings.peer_port, settings.peer_tls)
        await peers.start()
    session = new_session()
    tool_session = new_session(keep_alive=False)
    platform = settings.platform
    ports = NodePorts(
        clock=clock,
        engine=HttpEngine(session, directory.url_of),
        tools=HttpTools(tool_session, directory.urls_of_tool),
        records=_record_store(platform, session, clock),
        machines=HttpMachineList(session, platform.machines_url) if platform.machines_url else None,
        peers=peers,
        peer_address=_advertised_address(settings, peers),
    )
    return OpenPorts(node, ports, directory, (session, tool_session), peers)


def _advertised_address(settings: NodeSettings, peers: PeerService | None) -> PeerAddress:
    """Return the peer address that is advertised to other nodes."""
    if peers is None:
        return NO_PEER_ADDRESS
    configured = parse_address(settings.peer_advertised) if settings.peer_advertised else None
    return configured or peers.address


def _record_store(
    platform: PlatformSettings, session: aiohttp.ClientSession, clock: Clock
) -> HttpRecordStore | None:
    if platform.store_url is None:
        return None
    limiter = _rate_limiter(clock, platform.store_requests_per_second)
    return HttpRecordStore(session, platform.store_url, limiter)


def _rate_limiter(clock: Clock, requests_per_second: float) -> RateLimiter:
    burst = max(1.0, requests_per_second * BURST_SECONDS)
    return RateLimiter(clock, requests_per_second, burst)
