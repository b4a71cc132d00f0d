"""The ports of a deployed node: HTTP to back ends and platform, sockets to fellow nodes."""

from dataclasses import dataclass

import aiohttp

from foxwinch.backends.engine_http import HttpEngine
from foxwinch.identifiers import NodeId
from foxwinch.node.clock import SystemClock
from foxwinch.node.node import new_node_identity
from foxwinch.node.ports import NodePorts
from foxwinch.node.worker_directory import WorkerDirectory
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

    async def close(self) -> None:
        """Close every connection."""
        await self.session.close()


async def open_ports(settings: NodeSettings) -> OpenPorts:
    """Open the ports that the settings name."""
    clock = SystemClock()
    node = new_node_identity(settings, clock)
    directory = WorkerDirectory()
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
    )
    ports = NodePorts(clock=clock, engine=HttpEngine(session, directory.url_of))
    return OpenPorts(node, ports, directory, session)
