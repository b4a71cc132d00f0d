"""Nodes that are out of step with the store during a rollout: none joins two software versions."""

import asyncio
import signal
from contextlib import asynccontextmanager

import pytest

from fake_platform import STREAM, wait_until
from fake_worker import FakeResponse
from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.core.routing.directory import EVICT_WORKERS_SECONDS
from foxwinch.records.stream_origins import STREAM_ORIGINS_TABLE
from foxwinch.serving import stream_origins
from soak.disruptions import DisruptionLog
from soak.invariants import InvariantChecker
from soak.nodes import SoakNode
from test_stream_versions import ABORTED, ALL_EVENTS, REST, VersionedPlatform

KNOWN_SECONDS = 0.3
"""Time for which a node must know the worker list, in place of half a minute."""
NEW_WORKERS = (2, 3)
"""Numbers of the workers of the version that joins."""
SLOW_SECONDS = 0.7
"""Delay of each direction to a slow store."""
UNAVAILABLE = FakeResponse(status=503, headers={"Not-Run": "1"}, signed=False)


@asynccontextmanager
async def rollout(monkeypatch, how):
    """Provide two nodes of which the second cannot follow that a new version joins.

    Streams begin at the new version.
    """
    monkeypatch.setattr(stream_origins, "EVICT_WORKERS_SECONDS", KNOWN_SECONDS)
    async with VersionedPlatform("v1", "v1", "v2", "v2", attempts=1) as platform:
        for number in NEW_WORKERS:
            platform.model.remove("servers", platform.worker_ids[number])
        proxy = FaultProxy(platform.store_proxy.address)
        await proxy.start()
        try:
            current = await platform.start_node()
            outdated = await platform.start_node(store_proxy=proxy)
            await asyncio.sleep(KNOWN_SECONDS)
            isolate(proxy, how)
            await begin_at_new_version(platform, current)
            yield platform, outdated
        finally:
            await proxy.stop()


async def begin_at_new_version(platform, current):
    """Let the workers of the new version join, and begin a stream at one through a current node."""
    for number in NEW_WORKERS:
        platform.list_worker(number)
    await wait_until(lambda: platform.listed_versions(current), {"v1", "v2"})
    for number, worker in enumerate(platform.workers):
        worker.responses = [ABORTED if number in NEW_WORKERS else UNAVAILABLE]
    begun = await platform.request(current, STREAM, "a")
    assert begun.body == b"".join(ALL_EVENTS[:2])
    for worker in platform.workers:
        worker.responses = [REST]


def forget_origins(platform):
    """Remove the stored origins, as if the store had been away when the streams began."""
    for row in platform.model.rows_of(STREAM_ORIGINS_TABLE):
        platform.model.remove(row.table, row.key, row.partition)


def isolate(proxy, how):
    """Let the connections of a node to the store fail."""
    if how == "stalled":
        proxy.stall()
    elif how == "refused":
        proxy.set_faults(refuse=True)
        proxy.reset()
    elif how == "silent":
        proxy.set_faults(block_to_target=True, block_to_client=True)
    else:
        proxy.set_faults(delay_seconds=SLOW_SECONDS)


# Guards against a stream that is resumed at a node which does not know yet that a version joined
# with which the stream began (ORDER).
@pytest.mark.parametrize("how", ["stalled", "refused", "silent", "slow"])
@pytest.mark.parametrize("named", [True, False])
@pytest.mark.parametrize("stored", [True, False])
async def test_a_stream_is_not_resumed_at_another_version_by_an_outdated_node(
    monkeypatch, stored, named, how
):
    async with rollout(monkeypatch, how) as (platform, outdated):
        if not stored:
            forget_origins(platform)
        assert await platform.listed_versions(outdated) == {"v1"}
        resumes = {"Resumes": "a"} if named else {}
        reply = await platform.request(outdated, STREAM, "b", Last_Event_Id=2, **resumes)
        assert set(platform.versions_of("b")) <= {"v2"}
        assert reply.status in (200, 503)


# Guards against the same at a node whose process stood still while the version joined (ORDER).
@pytest.mark.parametrize("stored", [True, False])
async def test_a_stream_is_not_resumed_at_another_version_by_a_process_that_stood_still(
    tmp_path, stored
):
    async with VersionedPlatform("v1", "v1", "v2", "v2", attempts=1) as platform:
        for number in NEW_WORKERS:
            platform.model.remove("servers", platform.worker_ids[number])
        disruptions = DisruptionLog()
        node = SoakNode("p", "z", platform.store_proxy, tmp_path, InvariantChecker(), disruptions)
        await node.start()
        try:
            current = await platform.start_node()
            await asyncio.sleep(EVICT_WORKERS_SECONDS + KNOWN_SECONDS)
            node.signal(signal.SIGSTOP)
            await begin_at_new_version(platform, current)
            if not stored:
                forget_origins(platform)
            resuming = asyncio.ensure_future(
                platform.request_address(node.address, STREAM, "b", Last_Event_Id=2)
            )
            await asyncio.sleep(KNOWN_SECONDS)
            node.signal(signal.SIGCONT)
            reply = await resuming
            assert set(platform.versions_of("b")) <= {"v2"}
            assert reply.status in (200, 503)
            if stored and reply.status == 503:
                await asyncio.sleep(float(reply.headers["Retry-After"]))
                again = await platform.request_address(node.address, STREAM, "c", Last_Event_Id=2)
                assert (again.status, platform.versions_of("c")) == (200, ["v2"])
        finally:
            await node.kill()
