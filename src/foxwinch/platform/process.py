"""`foxwinch serve`: the process of one node on the platform, from startup to graceful shutdown."""

import asyncio
import signal
import time
from pathlib import Path

import uvloop
from aiohttp import web
from aiomisc import Service, entrypoint

from foxwinch.clock import SystemClock
from foxwinch.log import EventLog
from foxwinch.log_sink import log_to_standard_output
from foxwinch.platform.ingress import Ingress
from foxwinch.platform.names import CONFIGURATION_KEY, CONFIGURATION_TABLE, WORKERS_TABLE
from foxwinch.platform.settings import ServeSettings, load_serve_settings
from foxwinch.platform.store_client import PlatformStore
from foxwinch.platform.translation import decode_configuration_row, decode_worker_row
from foxwinch.platform.worker_client import HttpWorkerClient
from foxwinch.records.store_state import ObservedStore
from foxwinch.records.watch import watch_wait_seconds
from foxwinch.service_tasks import TaskFailedError, stop_on_failure
from foxwinch.serving.metrics import ServingMetrics
from foxwinch.serving.node import ServingNode
from foxwinch.serving.routing import RoutingTables
from foxwinch.settings.base import SettingsError

KEEPALIVE_TIMEOUT_SECONDS = 75.0
"""Keep-alive timeout; longer than any caller keeps an idle connection before it reuses it."""
EXPIRY_HEARTBEATS = 3
"""Missed heartbeats after which the store drops a worker's entry."""
SHUTDOWN_MARGIN_SECONDS = 0.7
"""Time reserved for shutdown before the platform kills the process."""
MAX_HEADER_BYTES = 65_536
BACKLOG = 1_024
log = EventLog("process")


class ServeProcess(Service):
    """A serving node with its HTTP listeners."""

    def __init__(self, settings: ServeSettings, settings_path: Path | None) -> None:
        """Configure a node from `settings`; SIGHUP reloads `settings_path`."""
        super().__init__()
        self._settings = settings
        self._settings_path = settings_path
        self._created_at = time.monotonic()
        self._runners: list[web.AppRunner] = []
        self._sites: list[web.TCPSite] = []
        self._store: PlatformStore | None = None
        self._workers: HttpWorkerClient | None = None
        self._node: ServingNode | None = None
        self._addresses: dict[str, str] = {}
        self._stop_requested = asyncio.Event()
        self._failure: TaskFailedError | None = None

    async def start(self) -> None:
        """Build the node, open its listeners, then start it."""
        settings = self._settings
        stop_on_failure(asyncio.get_running_loop(), self._stop_on_task_failure)
        clock = SystemClock()
        metrics = ServingMetrics()
        self._store = PlatformStore(settings.store.address, metrics)
        store = ObservedStore(self._store, clock)
        self._workers = HttpWorkerClient()
        routing = RoutingTables(
            store,
            clock,
            metrics,
            configuration_table=CONFIGURATION_TABLE,
            configuration_key=CONFIGURATION_KEY,
            workers_table=WORKERS_TABLE,
            decode_configuration=decode_configuration_row,
            decode_worker=decode_worker_row,
            wait_seconds=watch_wait_seconds(settings.store.notice_ms / 1e3),
            expiry_seconds=EXPIRY_HEARTBEATS * settings.store.heartbeat_ms / 1e3,
        )
        self._node = ServingNode(
            name=settings.name,
            zone=settings.zone,
            store=store,
            workers=self._workers,
            routing=routing,
            clock=clock,
            metrics=metrics,
            grace_seconds=settings.grace_seconds - SHUTDOWN_MARGIN_SECONDS,
        )
        self._install_signals()
        ingress = Ingress(self._node, clock)
        await self._listen("callers", ingress.application(), settings.listen.callers)
        await self._listen("ready", ingress.readiness_application(), settings.listen.ready)
        if settings.listen.metrics is not None:
            application = _metrics_application(metrics)
            await self._listen("metrics", application, settings.listen.metrics)
        host, _, port = settings.listen.peers.rpartition(":")
        notices_address = await self._node.notices.open(host, int(port))
        self._node.start(notices_address)
        log.info(
            "started",
            node=settings.name,
            zone=settings.zone,
            callers=self.address_of("callers"),
            ready=self.address_of("ready"),
            notices=notices_address,
            took_ms=int(1e3 * (time.monotonic() - self._created_at)),
        )

    @property
    def node(self) -> ServingNode:
        """Return the started node."""
        assert self._node is not None
        return self._node

    def address_of(self, listener: str) -> str:
        """Return `ip:port` of a listener: `callers`, `ready` or `metrics`."""
        return self._addresses[listener]

    async def run(self) -> None:
        """Wait for a stop signal, then shut down gracefully.

        Raises TaskFailedError if a failed background task caused the shutdown.
        """
        await self._stop_requested.wait()
        assert self._node is not None
        await self._node.stop(self.stop_listening)
        if self._failure is not None:
            raise self._failure

    def _stop_on_task_failure(self, failure: TaskFailedError) -> None:
        """Shut down: without one of its tasks the node would continue with stale data."""
        self._failure = failure
        self._stop_requested.set()

    async def stop_listening(self) -> None:
        """Stop accepting connections; open connections stay."""
        for site in self._sites:
            await site.stop()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the node, its listeners and its clients."""
        if self._node is not None:
            await self._node.close()
        for runner in self._runners:
            await runner.cleanup()
        if self._workers is not None:
            await self._workers.close()
        if self._store is not None:
            await self._store.close()

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        """Read the settings file again and log which settings differ from the running ones."""
        assert self._settings_path is not None
        new_settings = load_serve_settings(self._settings_path)
        if isinstance(new_settings, SettingsError):
            log.error("reload_refused", problems="; ".join(new_settings.problems))
            return
        changed = [
            name
            for name in type(new_settings).model_fields
            if getattr(new_settings, name) != getattr(self._settings, name)
        ]
        log.info("reloaded", changed=",".join(changed) or "nothing")

    async def _listen(self, listener: str, application: web.Application, address: str) -> None:
        host, _, port = address.rpartition(":")
        runner = web.AppRunner(
            application,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
        await site.start()
        self._sites.append(site)
        bound_host, bound_port = runner.addresses[0][:2]
        self._addresses[listener] = f"{bound_host}:{bound_port}"


def _metrics_application(metrics: ServingMetrics) -> web.Application:
    async def metrics_text(_: web.Request) -> web.Response:
        return web.Response(body=metrics.text(), content_type="text/plain")

    application = web.Application()
    application.router.add_get("/metrics", metrics_text)
    return application


def serve(settings_path: Path) -> tuple[str, ...]:
    """Run one node until it is stopped; return the errors that prevented its start."""
    settings = load_serve_settings(settings_path)
    if isinstance(settings, SettingsError):
        return tuple(f"{settings.source}: {problem}" for problem in settings.problems)
    log_to_standard_output(settings.log_level)
    try:
        _run(settings, settings_path)
    except OSError as error:
        return (f"cannot start: {error}",)
    return ()


def _run(settings: ServeSettings, settings_path: Path) -> None:
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    process = ServeProcess(settings, settings_path)
    # Without an explicit loop, `entrypoint` would start a thread pool.
    with entrypoint(process, loop=loop, log_config=False, catch_signals=()):
        loop.run_until_complete(process.run())
    loop.close()
