"""Fault proxy in front of a peer endpoint, and how callers see its faults."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.peer.ports import PeerContext
from foxwinch.peer.service import PeerService


async def echo(context: PeerContext, payload: bytes) -> bytes:
    return payload


@asynccontextmanager
async def proxied() -> AsyncIterator[tuple[PeerService, FaultProxy, PeerService]]:
    client = PeerService(NodeId("client"))
    target = PeerService(NodeId("target"))
    target.handle("echo", echo)
    await client.start()
    await target.start()
    proxy = FaultProxy(target.address, seed=4)
    await proxy.start()
    try:
        yield client, proxy, target
    finally:
        await proxy.stop()
        await client.stop()
        await target.stop()


def refused(response: bytes | Refused) -> tuple[Reason, RunState]:
    assert isinstance(response, Refused)
    return response.reason, response.run_state


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110 - what is awaited has no event of its own
            await asyncio.sleep(0.005)


async def test_delay_and_throttle_leave_the_payload_unchanged() -> None:
    async with proxied() as (client, proxy, _):
        payload = bytes(range(256)) * 400
        loop = asyncio.get_running_loop()
        proxy.set_faults(delay_seconds=0.03)
        started = loop.time()
        assert await client.call(proxy.address, "echo", payload, 5) == payload
        assert loop.time() - started >= 0.06
        proxy.heal()
        proxy.set_faults(bytes_per_second=1_000_000)
        started = loop.time()
        assert await client.call(proxy.address, "echo", payload, 5) == payload
        assert loop.time() - started >= 0.08


async def test_a_half_open_connection_gives_unknown_and_is_usable_after_it_heals() -> None:
    async with proxied() as (client, proxy, _):
        assert await client.call(proxy.address, "echo", b"a", 5) == b"a"
        proxy.set_faults(block_to_client=True)
        interrupted = await client.call(proxy.address, "echo", b"b", 0.1)
        assert refused(interrupted) == (Reason.DEADLINE, RunState.UNKNOWN)
        proxy.heal()
        assert await client.call(proxy.address, "echo", b"c", 5) == b"c"


async def test_an_unresponsive_connection_is_abandoned_before_a_long_deadline() -> None:
    async with proxied() as (client, proxy, _):
        assert await client.call(proxy.address, "echo", b"a", 5) == b"a"
        proxy.set_faults(block_to_target=True)
        async with asyncio.timeout(20):
            interrupted = await client.call(proxy.address, "echo", b"b", 3600)
        assert refused(interrupted) == (Reason.PEER_UNREACHABLE, RunState.UNKNOWN)


async def test_a_reset_gives_unknown_and_a_refused_connection_not_run() -> None:
    async with proxied() as (client, proxy, _):
        assert await client.call(proxy.address, "echo", b"a", 5) == b"a"
        proxy.set_faults(block_to_client=True)
        call = asyncio.create_task(client.call(proxy.address, "echo", b"b", 5))
        await asyncio.sleep(0)
        proxy.reset()
        assert refused(await call) == (Reason.PEER_UNREACHABLE, RunState.UNKNOWN)
        proxy.set_faults(refuse=True)
        rejected = await client.call(proxy.address, "echo", b"c", 5)
        assert refused(rejected) == (Reason.PEER_UNREACHABLE, RunState.NOT_RUN)


async def test_datagrams_pass_in_both_directions_and_are_lost_as_configured() -> None:
    async with proxied() as (client, proxy, target):
        received: list[bytes] = []
        client.handle_datagrams(lambda source, payload: received.append(payload))
        target.handle_datagrams(target.send_datagram)  # an echo
        client.send_datagram(proxy.address, b"first")
        await wait_until(lambda: received == [b"first"])
        proxy.set_faults(loss=0.3)
        for number in range(200):
            client.send_datagram(proxy.address, bytes([number]))
        # Drops 30% of 200 to the target and 30% of the rest to the client: 102 on average.
        await wait_until(lambda: proxy.dropped_datagrams + len(received) == 201)
        assert 70 < proxy.dropped_datagrams < 135
        proxy.heal()
        proxy.block_source("127.0.0.1")
        before = proxy.dropped_datagrams
        client.send_datagram(proxy.address, b"blocked")
        await wait_until(lambda: proxy.dropped_datagrams == before + 1)
        proxy.heal()
        client.send_datagram(proxy.address, b"last")
        await wait_until(lambda: received[-1] == b"last")
        assert b"blocked" not in received
