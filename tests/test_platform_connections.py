"""Connections to the platform's store and workers: dead peer detection and pool replacement."""

import asyncio
import socket

import pytest

from fake_worker import FakeResponse, FakeWorker, events
from foxwinch.platform.connections import ConnectionPool, open_session

KEEPALIVE_SECONDS = 5.0


@pytest.fixture
async def worker():
    async with FakeWorker(FakeResponse()) as made:
        yield made


async def call(session, worker, request_id):
    async with session.get(
        f"http://{worker.address}/", headers={"Request-Id": request_id}
    ) as reply:
        return await reply.read()


# Guards against calls that wait until their deadline on a connection whose peer no longer exists.
async def test_sockets_detect_dead_peers(worker):
    worker.responses = [FakeResponse(body=None, chunks=events(1, 2), pause_seconds=0.05)]
    session = open_session(KEEPALIVE_SECONDS)
    response = await session.get(f"http://{worker.address}/", headers={"Request-Id": "r"})
    opened = response.connection.transport.get_extra_info("socket")
    assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    assert opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 1_000
    assert opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
    assert opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) == 1
    await response.read()
    await session.close()


async def test_a_retired_pool_is_not_reused_and_is_closed_by_its_last_call(worker):
    pool = ConnectionPool(lambda: open_session(KEEPALIVE_SECONDS))
    release = asyncio.Event()
    async with pool.session() as first:
        await call(first, worker, "r1")

        async def hold():
            async with pool.session() as held:
                await release.wait()
                return held

        holding = asyncio.ensure_future(hold())
        await asyncio.sleep(0)
        assert pool.retire(first)
        assert not pool.retire(first)
    async with pool.session() as second:
        assert second is not first
        await call(second, worker, "r2")
    assert not first.closed
    release.set()
    assert await holding is first
    assert first.closed
    assert [got.connection for got in worker.received] == [1, 2]
    await pool.close()
    assert second.closed
