"""Nodes that are killed while the workers of their sends end, as real processes."""

import asyncio
import random
from contextlib import asynccontextmanager

import aiohttp
import pytest

from fake_platform import (
    RETAINED,
    SAFE,
    STREAM,
    UNSAFE,
    FakePlatform,
    configuration,
    routes,
    wait_until,
)
from fake_worker import CrashKind, FakeWorker
from fatal_platform import COMPLETE, FATAL, MAX_CRASHES, RETURN_SECONDS, crash_log, crashes_of
from foxwinch.records.node_registry import NODES_TABLE
from soak.disruptions import DisruptionLog
from soak.nodes import SoakNode

NODES = 5
WORKERS = 8
SENDS = 10
KILL_PROBABILITY = 0.5
"""Probability that a node is killed with a worker, after the first time."""


class ExitChecker:
    """Collects the processes that end by themselves."""

    def __init__(self):
        self.exits = []

    def report_process_exit(self, name, code):
        self.exits.append((name, code))


class KillingPlatform:
    """Node processes that may be killed at the moment at which a worker crashes."""

    def __init__(self, platform, folder):
        self.platform = platform
        self.checker = ExitChecker()
        disruptions = DisruptionLog()
        self.nodes = [
            SoakNode(
                f"n{number}",
                f"z{number % 2}",
                platform.store_proxy,
                folder,
                self.checker,
                disruptions,
            )
            for number in range(NODES)
        ]
        self.kills_next = True
        self.killed = 0
        self._sender = None
        self._tasks = set()

    async def start(self):
        await asyncio.gather(*(node.start() for node in self.nodes))
        await wait_until(self._count_registered, NODES)
        for worker in self.platform.workers:
            worker.on_crash = self._on_crash

    async def stop(self):
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(node.kill() for node in self.nodes))

    async def _count_registered(self):
        return len(self.platform.model.rows_of(NODES_TABLE))

    def _on_crash(self):
        sender, self._sender = self._sender, None
        if sender is not None and self.kills_next:
            self.killed += 1
            task = asyncio.ensure_future(self._replace(sender))
            self._tasks.add(task)

    async def _replace(self, node):
        await node.kill()
        await node.start()

    async def send(self, node, request_id, path, headers):
        """Send a fatal request to a node; return its status, or None if the connection is lost."""
        self._sender = node
        try:
            reply = await self.platform.request_address(
                node.address, path, request_id, body=FATAL, **headers
            )
        except (OSError, aiohttp.ClientError):
            return None
        return reply.status if reply.is_complete else None


@asynccontextmanager
async def killing_platform(folder, kind):
    """Provide node processes in front of workers that crash on `FATAL` and are replaced."""
    fakes = [FakeWorker(COMPLETE) for _ in range(WORKERS)]
    for number, fake in enumerate(fakes):
        fake.fatal_body, fake.crash_kind, fake.worker_id = FATAL, kind, f"w{number}"
    async with FakePlatform(fakes) as platform:
        platform.model.put("op", "config", configuration(routes=routes(attempts=1)))
        killing = KillingPlatform(platform, folder)
        restarting = asyncio.ensure_future(platform.restart_crashed_workers())
        try:
            await killing.start()
            yield killing
        finally:
            await killing.stop()
            restarting.cancel()
            await asyncio.gather(restarting, return_exceptions=True)


# Guards against sends that nobody knows of any more, as their nodes were killed with the workers
# that ended under them (BUDGET).
@pytest.mark.parametrize("kind", [CrashKind.REFUSES, CrashKind.UNREACHABLE])
@pytest.mark.parametrize("path", [SAFE, STREAM, RETAINED, UNSAFE])
async def test_sends_count_whose_nodes_are_killed_with_their_workers(path, kind, tmp_path):
    rng = random.Random(f"{path} {kind}")
    program = {"Program": "p1", "Session": "l1", "Finish-Ms": "9000"}
    tokens = {"Token-Budget": "100000", "Token-Count": "1000,575"}
    headers = program | (tokens if path in (STREAM, RETAINED) else {})
    async with killing_platform(tmp_path, kind) as killing:
        for number in range(SENDS):
            killing.kills_next = not number or rng.random() < KILL_PROBABILITY
            running = [node for node in killing.nodes if node.address is not None]
            await killing.send(rng.choice(running), f"f{number}", path, headers)
            await asyncio.sleep(RETURN_SECONDS)
        assert killing.killed
        assert crashes_of(killing.platform) <= MAX_CRASHES, crash_log(killing.platform)
        assert not killing.checker.exits
