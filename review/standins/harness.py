"""Setting up and ending of a case: store, workers, nodes, and the exit status of the script."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.node import Node
from standins.record import Record
from standins.store import Store
from standins.worker import SLOTS, Worker

HELD, BROKEN, NOT_RUN = 0, 1, 2
SLOTS_PER_WORKER = SLOTS
LIMIT_SECONDS = 110.0
"""Below the 120 seconds that a script may run."""
LIMITS = {
    "max_header_bytes": 65_536,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 5_000,
    "idle_timeout_ms": 60_000,
}


class CaseError(Exception):
    """The case could not run."""


class Deployment:
    """A small deployment on loopback addresses."""

    def __init__(self, record: Record, folder: Path) -> None:
        """Keep settings and logs of the nodes in `folder`."""
        self.record = record
        self.store = Store()
        self.nodes: list[Node] = []
        self.workers: list[Worker] = []
        self._folder = folder

    async def start(
        self,
        node_zones: list[str],
        workers: list[Worker],
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
    ) -> None:
        """Start the store, the workers and the nodes, and wait until all nodes are ready."""
        self.workers = workers
        for worker in workers:
            await worker.start()
        configuration = {"version": 1, "routes": routes, "services": services, "limits": LIMITS}
        self.store.put("op", "config", configuration)
        for number, zone in enumerate(node_zones):
            node = Node(f"front-{number + 1}", zone, self.store.address, self._folder, self.record)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                raise CaseError(f"{node.name} did not become ready")
        self.record.write("all nodes are ready")

    async def stop(self) -> None:
        """End all processes and close all listeners."""
        for node in self.nodes:
            node.end()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(path: Path, case: Callable[[Deployment], Awaitable[list[str]]]) -> None:
    """Run a case, which returns how the rule was broken, and exit with the script's status."""
    # An end from outside runs the clean-up too, so that no node is left.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    record = Record(path.parent / "record.txt")
    record.write(f"disruption: {'yes' if trouble() else 'no'}")
    status = NOT_RUN
    try:
        status = asyncio.run(_run(record, case))
    except Exception:
        # An unforeseen error must not look like a broken rule, whose status is 1.
        record.write(f"the case could not run: {traceback.format_exc()}")
    record.write(f"exit status {status}")
    record.close()
    print(f"exit status {status}; see {path.parent.name}/record.txt")
    sys.exit(status)


async def _run(record: Record, case: Callable[[Deployment], Awaitable[list[str]]]) -> int:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(record, Path(folder))
        await deployment.store.start()
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                broken = await case(deployment)
        finally:
            await deployment.stop()
    for line in broken:
        record.write(f"BROKEN: {line}")
    return BROKEN if broken else HELD
