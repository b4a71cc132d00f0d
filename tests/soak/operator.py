"""The operator of the soak: changes the configuration, and asks each node what is in force.

Each version adds a route of its own and drops the one before the last. A node in touch must know
the newest route once the bound has passed, and never forget it while it stands.
"""

import asyncio
import random

import aiohttp

from fake_platform import HOST, configuration, routes
from foxwinch.emulator.record_store import RecordStoreModel
from soak.nodes import SoakNode
from soak.promises import Promises
from soak.troubles import Troubles

APPLY_SECONDS = 2.0
"""After the store has taken a version until it is in force at nodes in touch: `apply_ms`."""
PAUSE_SECONDS = (0.1, 4.0)
"""Between versions."""
PROBE_SECONDS = 0.3
"""Between questions to one node; longer with many nodes."""
NODES_PROBED_OFTEN = 10
ANSWER_SECONDS = 1.0
NO_ROUTE = 404


def document(version: int) -> bytes:
    """Return the configuration of a version: the routes of all, and two that tell the version."""
    safe = next(route for route in routes() if route["name"] == "safe")
    told = [
        {**safe, "name": f"v{number}", "path_prefix": f"/v{number}/"}
        for number in (version - 1, version)
    ]
    return configuration(version=version, routes=[*routes(), *told])


class Operator:
    """Changes the configuration while the soak runs."""

    def __init__(
        self,
        model: RecordStoreModel,
        nodes: list[SoakNode],
        promises: Promises,
        troubles: Troubles,
        draws: random.Random,
    ) -> None:
        self.version = 0
        self._put_at = 0.0
        self._model = model
        self._nodes = nodes
        self._promises = promises
        self._troubles = troubles
        self._draws = draws
        self._probes = 0

    def put_next(self) -> None:
        """Put the next version; the store takes it at once, whatever its mood."""
        self.version += 1
        self._model.put("op", "config", document(self.version))
        self._put_at = self._troubles.now()

    async def change_for_ever(self) -> None:
        """Put version after version."""
        while True:
            await asyncio.sleep(self._draws.uniform(*PAUSE_SECONDS))
            self.put_next()

    async def probe_for_ever(self, node: SoakNode) -> None:
        """Ask one node again and again which versions it knows."""
        life, seen = 0, 0
        pause = PROBE_SECONDS * max(1.0, len(self._nodes) / NODES_PROBED_OFTEN)
        while True:
            await asyncio.sleep(pause)
            if node.life != life:
                life, seen = node.life, 0
            newest, put_at = self.version, self._put_at
            asked_at = self._troubles.now()
            late = asked_at - put_at > APPLY_SECONDS and self._troubles.in_touch(node.name)
            knows = await self._knows(node, newest)
            if knows is None or node.life != life:
                continue
            if late:
                self._promises.outcomes["configuration held to its bound"] += 1
            if knows:
                seen = newest
            elif seen == newest:
                self._promises.configuration_late(node.name, newest, "known before")
            elif late:
                detail = f"unknown {asked_at - put_at:.1f} s after it was put"
                self._promises.configuration_late(node.name, newest, detail)

    async def wait_until_known(self, node: SoakNode) -> bool:
        """Tell whether a node knows the newest version within the bound."""
        end_at = self._troubles.now() + APPLY_SECONDS
        while self._troubles.now() < end_at:
            if await self._knows(node, self.version):
                return True
            await asyncio.sleep(PROBE_SECONDS)
        return False

    async def _knows(self, node: SoakNode, version: int) -> bool | None:
        """Ask by a request on the route of a version; None when the node does not tell."""
        if node.address is None:
            return None
        self._probes += 1
        request_id = f"probe{self._probes:x}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "1000"}
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        self._promises.probed(request_id, node.name)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, auto_decompress=False) as session,
                session.get(f"http://{node.address}/v{version}/", headers=headers) as response,
            ):
                await response.read()
                if response.status == NO_ROUTE:
                    return False
                return True if response.status == 200 else None
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
