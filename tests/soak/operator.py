"""The operator of the soak: changes the configuration and probes which version nodes serve.

Each version adds a route of its own and drops the one before the last. An undisrupted node must
serve the newest route once the bound has passed, and keep serving it until it is dropped.
"""

import asyncio
import random

import aiohttp

from fake_platform import HOST, configuration, routes
from foxwinch.emulator.record_store import RecordStoreModel
from soak.disruptions import DisruptionLog
from soak.invariants import InvariantChecker
from soak.nodes import SoakNode

APPLY_SECONDS = 2.0
"""Bound from storing a version until it is active at undisrupted nodes: `apply_ms`."""
CHANGE_INTERVAL_SECONDS = (0.1, 4.0)
"""Range of the time between two versions."""
PROBE_INTERVAL_SECONDS = 0.3
"""Time between probes of one node; longer with many nodes."""
FULL_RATE_NODES = 10
"""Number of nodes above which the probe interval grows in proportion to their number."""
PROBE_TIMEOUT_SECONDS = 1.0
NO_ROUTE_STATUS = 404


def configuration_document(version: int) -> bytes:
    """Return the configuration of a version: the common routes and two that identify it."""
    safe = next(route for route in routes() if route["name"] == "safe")
    version_routes = [
        {**safe, "name": f"v{number}", "path_prefix": f"/v{number}/"}
        for number in (version - 1, version)
    ]
    return configuration(version=version, routes=[*routes(), *version_routes])


class Operator:
    """Changes the configuration while the soak runs."""

    def __init__(
        self,
        model: RecordStoreModel,
        nodes: list[SoakNode],
        checker: InvariantChecker,
        disruptions: DisruptionLog,
        rng: random.Random,
    ) -> None:
        self.version = 0
        self._put_at = 0.0
        self._model = model
        self._nodes = nodes
        self._checker = checker
        self._disruptions = disruptions
        self._rng = rng
        self._probes = 0

    def put_next_version(self) -> None:
        """Put the next version into the store at once, whatever faults the store has."""
        self.version += 1
        self._model.put("op", "config", configuration_document(self.version))
        self._put_at = self._disruptions.now()

    async def change_loop(self) -> None:
        """Put versions one after another at random intervals."""
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_INTERVAL_SECONDS))
            self.put_next_version()

    async def probe_loop(self, node: SoakNode) -> None:
        """Probe periodically whether a node serves the newest version, and report stale ones."""
        incarnation, newest_seen = 0, 0
        interval_seconds = PROBE_INTERVAL_SECONDS * max(1.0, len(self._nodes) / FULL_RATE_NODES)
        while True:
            await asyncio.sleep(interval_seconds)
            if node.incarnation != incarnation:
                incarnation, newest_seen = node.incarnation, 0
            newest, put_at = self.version, self._put_at
            sent_at = self._disruptions.now()
            late = sent_at - put_at > APPLY_SECONDS and self._disruptions.is_undisrupted(node.name)
            has_newest = await self._has_version(node, newest)
            if has_newest is None or node.incarnation != incarnation:
                continue
            if late:
                self._checker.outcomes["configuration held to its bound"] += 1
            if has_newest:
                newest_seen = newest
            elif newest_seen == newest:
                self._checker.report_stale_configuration(node.name, newest, "known before")
            elif late:
                detail = f"unknown {sent_at - put_at:.1f} s after it was put"
                self._checker.report_stale_configuration(node.name, newest, detail)

    async def wait_for_newest_version(self, node: SoakNode) -> bool:
        """Return whether a node serves the newest version within the bound."""
        end_at = self._disruptions.now() + APPLY_SECONDS
        while self._disruptions.now() < end_at:
            if await self._has_version(node, self.version):
                return True
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        return False

    async def _has_version(self, node: SoakNode, version: int) -> bool | None:
        """Request the route of a version; return None if the response does not show the version."""
        if node.address is None:
            return None
        self._probes += 1
        request_id = f"probe{self._probes:x}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "1000"}
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        self._checker.record_probe(request_id, node.name)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, auto_decompress=False) as session,
                session.get(f"http://{node.address}/v{version}/", headers=headers) as response,
            ):
                await response.read()
                if response.status == NO_ROUTE_STATUS:
                    return False
                return True if response.status == 200 else None
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
