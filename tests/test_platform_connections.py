"""Connections to the platform's store and workers: given up when silent, replaced together."""

import asyncio
import socket

import pytest

from fake_worker import Answer, FakeWorker, events
from foxwinch.platform.connections import ConnectionPool, open_session

KEPT_SECONDS = 5.0


@pytest.fixture
async def worker():
    async with FakeWorker(Answer()) as made:
        yield made


async def call(session, worker, request_id):
    async with session.get(
        f"http://{worker.address}/", headers={"Request-Id": request_id}
    ) as reply:
        return await reply.read()


# Guards against calls that wait until their deadline on a connection whose peer is gone.
async def test_a_connection_whose_peer_acknowledges_nothing_is_given_up_by_the_system(worker):
    worker.answers = [Answer(body=None, pieces=events(1, 2), pause_seconds=0.05)]
    session = open_session(KEPT_SECONDS)
    response = await session.get(f"http://{worker.address}/", headers={"Request-Id": "r"})
    opened = response.connection.transport.get_extra_info("socket")
    assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    assert opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 1_000
    assert opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
    assert opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) == 1
    await response.read()
    await session.close()


async def test_a_retired_pool_is_used_by_no_later_call_and_closed_after_the_last_one(worker):
    pool = ConnectionPool(lambda: open_session(KEPT_SECONDS))
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
