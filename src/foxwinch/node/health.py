"""Handlers of `/healthz`, `/readyz` and `/metrics` on the callers' port."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

SERVICE_UNAVAILABLE = 503


class HealthHandlers:
    """Handlers for orchestrators and metrics collectors."""

    def __init__(
        self, registry: CollectorRegistry, not_ready_because: Callable[[], str | None]
    ) -> None:
        """Serve `registry`; `not_ready_because` returns None while the node accepts work."""
        self._registry = registry
        self._not_ready_because = not_ready_because

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers."""
        router.add_get("/healthz", self.healthy)
        router.add_get("/readyz", self.ready)
        router.add_get("/metrics", self.metrics)

    async def healthy(self, request: web.Request) -> web.Response:
        """Return 200 whenever the event loop runs."""
        return web.json_response({"status": "ok"})

    async def ready(self, request: web.Request) -> web.Response:
        """Return 200 if the node accepts new work, else 503 with the reason."""
        reason = self._not_ready_because()
        if reason is None:
            return web.json_response({"status": "ready"})
        document = {"status": "not ready", "reason": reason}
        return web.json_response(document, status=SERVICE_UNAVAILABLE)

    async def metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in Prometheus text format."""
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})
