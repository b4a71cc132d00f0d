"""Nodes in front of workers that crash on certain requests, and the callers of those."""

import asyncio
from contextlib import asynccontextmanager, contextmanager, suppress

from fake_platform import (
    RESTART_SECONDS,
    SAFE,
    FakePlatform,
    configuration,
    routes,
    wait_until,
)
from fake_worker import CrashKind, FakeResponse, FakeWorker, events
from foxwinch.core.records.crash_history import CrashHistory
from foxwinch.records.crash_records import CRASHES_TABLE
from foxwinch.serving.crash_guard import UNAVAILABLE_RETRY_AFTER_SECONDS

MAX_CRASHES = 3
"""Number of workers that may crash on repetitions of one request."""
FATAL = b"crash the worker;"
KNOWN_START_MS = 1_789_000_000_000
"""Time of the workers' first start, if they report it."""
TURNS = 3
ATTEMPTS = 3
SLOW_RESTART_SECONDS = 1.0
RETURN_SECONDS = 0.05
"""Time after which callers repeat a failed request."""
COMPLETE = FakeResponse(body=None, chunks=events(1, 5))
MIDWAY = FakeResponse(body=None, chunks=events(1, 3))


@asynccontextmanager
async def fatal_platform(
    response=COMPLETE,
    workers=12,
    nodes=3,
    attempts=1,
    same_id=False,
    kind=CrashKind.REFUSES,
    known_starts=False,
    restart_seconds=RESTART_SECONDS,
):
    """Provide nodes and workers that crash on `FATAL` and are restarted."""
    fakes = [FakeWorker(response) for _ in range(workers)]
    for number, fake in enumerate(fakes):
        fake.fatal_body, fake.crash_kind, fake.worker_id = FATAL, kind, f"w{number}"
    async with FakePlatform(fakes) as platform:
        if known_starts:
            for number in range(workers):
                fakes[number].started_ms = KNOWN_START_MS
                platform.list_worker(number, born=KNOWN_START_MS)
        platform.model.put("op", "config", configuration(routes=routes(attempts)))
        for _ in range(nodes):
            await platform.start_node()
        for node in platform.nodes:
            await wait_until(lambda node=node: count_known_nodes(node), nodes - 1)
        restarting = asyncio.ensure_future(
            platform.restart_crashed_workers(same_id, restart_seconds)
        )
        try:
            yield platform
        finally:
            restarting.cancel()
            with suppress(asyncio.CancelledError):
                await restarting


async def count_known_nodes(node):
    """Return the number of other nodes that a node sends notices to."""
    return len(node.node.registry.others)


async def count_known(node):
    """Return the number of requests with crashes or doubts that a node knows."""
    return len(node.node.crash_records.table.fingerprints())


async def count_rows(platform):
    """Return the number of requests with stored crashes."""
    return len(platform.model.rows_of(CRASHES_TABLE))


def crashes_of(platform, body=FATAL):
    """Return how many workers have crashed on requests with `body`."""
    return sum(body in received.body for worker in platform.workers for received in worker.crashes)


def ended_workers(platform):
    """Return the ids of the workers that have crashed, each of which is one start.

    A worker that has lost a request may get it again before it ends, which is one end.
    """
    return {worker_id for worker_id, _ in crash_log(platform)}


def crash_log(platform):
    """Return the worker and request of each crash."""
    return [
        (received["Expect-Instance"], received["Request-Id"])
        for worker in platform.workers
        for received in worker.crashes
    ]


async def send_repeatedly(
    platform,
    path=SAFE,
    *,
    name="f",
    body=FATAL,
    first=0,
    repetitions=TURNS * ATTEMPTS,
    **headers,
):
    """Repeat a request as callers do, each time at another node; return the statuses."""
    statuses = []
    for number in range(repetitions):
        node = platform.nodes[(first + number) % len(platform.nodes)]
        reply = await platform.request_turn(
            node, f"{name}{number}", path=path, body=body, **headers
        )
        statuses.append(reply.status if reply.is_complete else None)
        await asyncio.sleep(RETURN_SECONDS)
    return statuses


async def leave_repeatedly(platform, path, leave_seconds, repetitions=TURNS * ATTEMPTS):
    """Repeat a request at other nodes, each time leaving before its response."""
    for number in range(repetitions):
        node = platform.nodes[number % len(platform.nodes)]
        with suppress(TimeoutError):
            async with asyncio.timeout(leave_seconds):
                await platform.request_turn(node, f"f{number}", path=path, body=FATAL)
        await asyncio.sleep(RETURN_SECONDS)


@contextmanager
def responding(platform, response):
    """Let no worker crash; all send one response."""
    before = [(worker.fatal_body, worker.responses) for worker in platform.workers]
    for worker in platform.workers:
        worker.fatal_body, worker.responses = None, [response]
    try:
        yield
    finally:
        for worker, (fatal_body, responses) in zip(platform.workers, before, strict=True):
            worker.fatal_body, worker.responses = fatal_body, responses


async def claims_in_store(platform):
    """Return the holders of claims for repetitions."""
    rows = platform.model.rows_of(CRASHES_TABLE).values()
    claims = [CrashHistory.decode(value).claim for value in rows]
    return [claim.holder for claim in claims if claim is not None]


async def count_claims(platform):
    """Return the number of claims for repetitions in the store."""
    return len(await claims_in_store(platform))


async def return_as_told(platform, node, request_id, path, body):
    """Send a request, again after the time that a refusal names; return the last response.

    A refusal must not have run. It must be over soon, as workers that lost the request may get it.
    """
    reply = await platform.request_turn(node, request_id, path=path, body=body)
    if reply.status == 503:
        retry_after = float(reply.headers["Retry-After"])
        assert retry_after <= UNAVAILABLE_RETRY_AFTER_SECONDS
        await asyncio.sleep(retry_after)
        reply = await platform.request_turn(node, f"{request_id}-again", path=path, body=body)
    return reply
