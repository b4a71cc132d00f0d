"""`foxwinch node`: the process of one node, from startup to graceful shutdown."""

import asyncio
import signal
from collections.abc import Callable

import uvloop
from aiomisc import Service, entrypoint

from foxwinch.log import EventLog
from foxwinch.node.http_ports import OpenPorts, open_ports
from foxwinch.node.http_service import HttpService
from foxwinch.node.node import Node, build_node
from foxwinch.node.tls import server_context
from foxwinch.operator.server import OperatorServer
from foxwinch.service_tasks import TaskFailedError, stop_on_failure
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
CALLER_PROTOCOLS = ("http/1.1",)
OPERATOR_PROTOCOLS = ("h2",)
READY_TIMEOUT_SECONDS = 20.0
"""Time after which a node announces its addresses even if not ready, so operators can query it."""
READY_POLL_INTERVAL_SECONDS = 0.05
log = EventLog("process")


class NodeProcess(Service):
    """A node with its listeners for callers and operators."""

    def __init__(
        self,
        settings: NodeSettings,
        proposed: ClusterConfiguration | None,
        standalone: bool = False,
    ) -> None:
        """Configure a node from `settings`.

        `proposed` becomes the active configuration if the cluster has none yet. With
        `standalone`, the node has no peer endpoint.
        """
        super().__init__()
        self._settings = settings
        self._proposed = proposed
        self._standalone = standalone
        self._open_ports: OpenPorts | None = None
        self._node: Node | None = None
        self._api: HttpService | None = None
        self._operator_api: OperatorServer | None = None

    async def start(self) -> None:
        """Open the ports, start the node, then its listeners."""
        settings = self._settings
        self._open_ports = await open_ports(settings, self._standalone)
        node = build_node(
            settings, self._open_ports.ports, self._proposed, node=self._open_ports.node
        )
        self._node = node
        self._open_ports.directory.follow(node.configuration)
        await node.start()
        self._api = HttpService(
            node.caller_application(),
            host=settings.host,
            port=settings.caller_port,
            tls=server_context(settings.caller_tls, CALLER_PROTOCOLS),
            limits=settings.caller_limits,
        )
        await self._api.start()
        self._operator_api = OperatorServer(
            node.parts.operator.handlers,
            settings.operator_key_hashes,
            settings.host,
            settings.operator_port,
            server_context(settings.operator_tls, OPERATOR_PROTOCOLS),
        )
        await self._operator_api.start()

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the started process, keyed by the names that it prints."""
        assert self._api is not None
        assert self._operator_api is not None
        assert self._open_ports is not None
        scheme = "https" if self._settings.caller_tls else "http"
        return {
            "caller_url": f"{scheme}://{_join_host_port(self._api.host, self._api.bound_port)}",
            "operator_address": _join_host_port(self._operator_api.host, self._operator_api.port),
            "peer_address": str(self._open_ports.ports.peer_address),
        }

    async def wait_ready(self) -> None:
        """Wait until the node accepts work, at most `READY_TIMEOUT_SECONDS`."""
        assert self._node is not None
        not_ready_because = self._node.parts.operator.readiness.not_ready_because
        clock = self._node.context.ports.clock
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while not_ready_because() is not None:
                    await clock.sleep(READY_POLL_INTERVAL_SECONDS)
        except TimeoutError:
            log.warning("not_ready", cause=not_ready_because())

    async def run(self) -> bool:
        """Wait for a signal or an operator's drain, then drain; return False on drain timeout.

        Raises TaskFailedError after the drain if a failed background task caused it.
        """
        assert self._node is not None
        assert self._operator_api is not None
        stop_requested = self._node.context.stop_requested
        loop = asyncio.get_running_loop()
        failures: list[TaskFailedError] = []

        def on_failure(failure: TaskFailedError) -> None:
            failures.append(failure)
            stop_requested.set()

        stop_on_failure(loop, on_failure)
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, stop_requested.set)
        await stop_requested.wait()
        self._operator_api.set_serving(False)
        is_drained = await self._node.drain()
        if failures:
            raise failures[0]
        return is_drained

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the listeners and the node, then close the ports."""
        if self._api is not None:
            await self._api.stop()
        if self._operator_api is not None:
            await self._operator_api.stop()
        if self._node is not None:
            await self._node.stop()
        if self._open_ports is not None:
            await self._open_ports.close()


def run_node(
    settings: NodeSettings,
    proposed: ClusterConfiguration | None,
    announce: Callable[[dict[str, str]], None],
) -> bool:
    """Run one node until it is stopped; return False if its drain timed out.

    `announce` receives the addresses once the node is ready.
    """
    process = NodeProcess(settings, proposed)
    loop = uvloop.new_event_loop()
    # Without an explicit loop, `entrypoint` would start a thread pool.
    with entrypoint(process, loop=loop, log_config=False, catch_signals=()):
        loop.run_until_complete(process.wait_ready())
        announce(process.addresses())
        is_drained = loop.run_until_complete(process.run())
    loop.close()
    return is_drained


def _join_host_port(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
