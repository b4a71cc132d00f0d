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
READY_SECONDS = 20.0
"""Time after which a node announces its addresses even if not ready, so operators can query it."""
READY_POLL_SECONDS = 0.05
log = EventLog("process")


class NodeProcess(Service):
    """A node with its listeners for callers and operators."""

    def __init__(
        self,
        settings: NodeSettings,
        proposed: ClusterConfiguration | None,
        alone: bool = False,
    ) -> None:
        """Configure a node from `settings`.

        `proposed` becomes the active configuration if the cluster has none yet. With `alone`, the
        node has no peer endpoint.
        """
        super().__init__()
        self._settings = settings
        self._proposed = proposed
        self._alone = alone
        self._open: OpenPorts | None = None
        self._node: Node | None = None
        self._callers: HttpService | None = None
        self._operators: OperatorServer | None = None

    async def start(self) -> None:
        """Open the ports, start the node, then its listeners."""
        settings = self._settings
        self._open = await open_ports(settings, self._alone)
        node = build_node(settings, self._open.ports, self._proposed, node=self._open.node)
        self._node = node
        self._open.directory.follow(node.configuration)
        await node.start()
        self._callers = HttpService(
            node.caller_application(),
            host=settings.host,
            port=settings.caller_port,
            tls=server_context(settings.caller_tls, CALLER_PROTOCOLS),
            limits=settings.caller_limits,
        )
        await self._callers.start()
        self._operators = OperatorServer(
            node.parts.operator.handlers,
            settings.operator_key_hashes,
            settings.host,
            settings.operator_port,
            server_context(settings.operator_tls, OPERATOR_PROTOCOLS),
        )
        await self._operators.start()

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the started process, keyed by the names that it prints."""
        assert self._callers is not None
        assert self._operators is not None
        assert self._open is not None
        scheme = "https" if self._settings.caller_tls else "http"
        return {
            "caller_url": f"{scheme}://{_with_port(self._callers.host, self._callers.bound_port)}",
            "operator_address": _with_port(self._operators.host, self._operators.port),
            "peer_address": str(self._open.ports.peer_address),
        }

    async def wait_ready(self) -> None:
        """Wait until the node accepts work, at most `READY_SECONDS`."""
        assert self._node is not None
        not_ready_because = self._node.parts.operator.readiness.not_ready_because
        clock = self._node.context.ports.clock
        try:
            async with asyncio.timeout(READY_SECONDS):
                while not_ready_because() is not None:
                    await clock.sleep(READY_POLL_SECONDS)
        except TimeoutError:
            log.warning("not_ready", cause=not_ready_because())

    async def run(self) -> bool:
        """Wait for a signal or an operator's drain, then drain; return False on drain timeout.

        Raises TaskFailedError after the drain if a failed background task caused it.
        """
        assert self._node is not None
        assert self._operators is not None
        stop_requested = self._node.context.stop_requested
        loop = asyncio.get_running_loop()
        failures: list[TaskFailedError] = []

        def stop_after(failure: TaskFailedError) -> None:
            failures.append(failure)
            stop_requested.set()

        stop_on_failure(loop, stop_after)
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop_requested.set)
        await stop_requested.wait()
        self._operators.set_serving(False)
        whole = await self._node.drain()
        if failures:
            raise failures[0]
        return whole

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the listeners and the node, then close the ports."""
        if self._callers is not None:
            await self._callers.stop()
        if self._operators is not None:
            await self._operators.stop()
        if self._node is not None:
            await self._node.stop()
        if self._open is not None:
            await self._open.close()


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
        whole = loop.run_until_complete(process.run())
    loop.close()
    return whole


def _with_port(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
