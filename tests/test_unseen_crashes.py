"""Crashes that nodes do not see at once: how often a request runs until they are known."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import pytest

from fake_platform import (
    RETAINED,
    SAFE,
    STREAM,
    UNSAFE,
    wait_until,
)
from fake_worker import CrashKind, FakeResponse
from fatal_platform import (
    COMPLETE,
    FATAL,
    KNOWN_START_MS,
    MAX_CRASHES,
    MIDWAY,
    RETURN_SECONDS,
    SLOW_RESTART_SECONDS,
    count_claims,
    crash_log,
    crashes_of,
    ended_workers,
    fatal_platform,
    leave_repeatedly,
    responding,
    return_as_told,
    send_repeatedly,
)
from foxwinch.core.records.open_sends import RANGES
from foxwinch.emulator.record_store import StoreFault
from foxwinch.records.send_records import SENDS_TABLE

CALLER_DEADLINE_SECONDS = 3.0
RETRY_MARGIN_SECONDS = 1.5
"""Retry time of a refusal, and a response."""


# Guards against crashes that no health check shows at once, after which the request was sent on.
@pytest.mark.parametrize("kind", [CrashKind.UNREACHABLE, CrashKind.HANGS, CrashKind.RESTARTS])
@pytest.mark.parametrize("path", [SAFE, STREAM, RETAINED, UNSAFE])
@pytest.mark.parametrize("attempts", [1, 2])
async def test_crashes_without_proof_count_until_the_worker_is_known_to_live(kind, path, attempts):
    same_id = kind is CrashKind.RESTARTS
    async with fatal_platform(
        kind=kind,
        attempts=attempts,
        same_id=same_id,
        known_starts=same_id,
        restart_seconds=SLOW_RESTART_SECONDS,
    ) as platform:
        statuses = await send_repeatedly(platform, path)
        assert 1 <= crashes_of(platform) <= MAX_CRASHES, crash_log(platform)
        assert 200 not in statuses


# Guards against a send that nobody knows of when all nodes are killed again meanwhile.
@pytest.mark.parametrize("path", [SAFE, STREAM])
async def test_a_send_is_stored_after_all_nodes_were_killed(path):
    async with fatal_platform(
        FakeResponse(), kind=CrashKind.UNREACHABLE, nodes=1, restart_seconds=30.0
    ) as platform:
        (node,) = platform.nodes
        await platform.request_turn(node, "f0", path=path, body=FATAL)
        platform.nodes.clear()
        await node.stop()
        again = await platform.start_node()
        sending = asyncio.ensure_future(platform.request_turn(again, "f1", path=path, body=FATAL))
        await wait_until(lambda: count_ended(platform), 2)
        assert len(platform.model.rows_of(SENDS_TABLE)) == 1
        await sending
        reply = await platform.request_turn(again, "f2", path=path, body=FATAL)
        assert reply.status == 503
        assert len(ended_workers(platform)) == MAX_CRASHES - 1


# Guards against the same when the worker falls silent in the middle of its stream.
@pytest.mark.parametrize("path", [STREAM, RETAINED])
async def test_workers_that_fall_silent_midway_count_as_crashed(path):
    async with fatal_platform(MIDWAY, kind=CrashKind.UNREACHABLE, attempts=2) as platform:
        await send_repeatedly(platform, path)
        assert 1 <= crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against a send that was left for another worker, and whose worker crashes later.
@pytest.mark.parametrize("path", [SAFE, STREAM])
async def test_a_send_that_timed_out_counts_when_its_worker_crashes_later(path):
    response = FakeResponse(crash_after_seconds=1.0)
    async with fatal_platform(response, attempts=2) as platform:
        await send_repeatedly(platform, path)
        assert 1 <= crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against a send whose caller has left, and whose worker crashes later.
@pytest.mark.parametrize("path", [SAFE, STREAM])
async def test_a_send_whose_caller_left_counts_when_its_worker_crashes_later(path):
    response = FakeResponse(crash_after_seconds=0.5)
    async with fatal_platform(response, attempts=2) as platform:
        await leave_repeatedly(platform, path, 0.4)
        await asyncio.sleep(0.5)
        assert 1 <= crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against the same when a silent worker lets every caller leave.
async def test_a_send_whose_caller_left_a_silent_worker_counts():
    async with fatal_platform(kind=CrashKind.UNREACHABLE, attempts=2) as platform:
        await leave_repeatedly(platform, STREAM, 0.4)
        assert 1 <= crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


MOMENTS = {
    "before the head": FakeResponse(),
    "in the stream": MIDWAY,
    "after its time-out": FakeResponse(crash_after_seconds=1.0),
    "after its caller left": FakeResponse(crash_after_seconds=0.3),
}
STORES = {"well": 0.0, "slow": 0.25, "away": None}
REPETITIONS = 6


# Guards against a way to crash, a moment or a state of the store in which crashes do not count.
@pytest.mark.parametrize("store", STORES)
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("kind", CrashKind)
async def test_each_way_to_crash_counts_at_each_moment(kind, moment, store):
    same_id = kind is CrashKind.RESTARTS
    async with fatal_platform(
        MOMENTS[moment],
        kind=kind,
        attempts=2,
        same_id=same_id,
        known_starts=same_id,
        restart_seconds=SLOW_RESTART_SECONDS,
    ) as platform:
        if STORES[store] is None:
            platform.model.store_faults.fault = StoreFault.UNRESPONSIVE
        else:
            platform.model.store_faults.delay_seconds = STORES[store]
        patience = 0.2 if moment == "after its caller left" else CALLER_DEADLINE_SECONDS
        for number in range(REPETITIONS):
            node = platform.nodes[number % len(platform.nodes)]
            with suppress(TimeoutError):
                async with asyncio.timeout(patience):
                    # Without a budget, the request reaches a worker while the store is away.
                    await platform.request(node, STREAM, f"f{number}", body=FATAL, Program="p1")
            await asyncio.sleep(RETURN_SECONDS)
        await asyncio.sleep(0.5)
        assert 1 <= crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against fatal requests of several programs that hide each other's crashes.
@pytest.mark.parametrize("kind", CrashKind)
async def test_several_requests_at_once_crash_three_workers_each_at_most(kind):
    same_id = kind is CrashKind.RESTARTS
    async with fatal_platform(
        FakeResponse(),
        workers=16,
        kind=kind,
        attempts=2,
        same_id=same_id,
        known_starts=same_id,
        restart_seconds=SLOW_RESTART_SECONDS,
    ) as platform:
        bodies = [FATAL + bytes([65 + number]) for number in range(4)]
        await asyncio.gather(
            *(
                send_repeatedly(
                    platform,
                    STREAM,
                    name=f"f{number}-",
                    body=body,
                    first=number,
                    Program=f"p{number}",
                )
                for number, body in enumerate(bodies)
            )
        )
        for body in bodies:
            assert crashes_of(platform, body) <= MAX_CRASHES, crash_log(platform)


# Guards against refusing a request for long whose workers were slow and live on.
@pytest.mark.parametrize("path", [SAFE, STREAM])
async def test_a_request_whose_workers_were_slow_is_served_once_they_are_not(path):
    async with fatal_platform(workers=6, attempts=2) as platform:
        quick = COMPLETE if path == STREAM else FakeResponse()
        for worker in platform.workers:
            worker.responses = [replace(quick, delay_seconds=2.6)]
        for number in range(2):
            reply = await platform.request_turn(
                platform.nodes[number], f"r{number}", path=path, body=b"sound"
            )
            assert reply.status != 200
        for worker in platform.workers:
            worker.responses = [quick]
        async with asyncio.timeout(CALLER_DEADLINE_SECONDS + RETRY_MARGIN_SECONDS):
            number = 2
            while reply.status != 200:
                reply = await platform.request_turn(
                    platform.nodes[number % 3], f"r{number}", path=path, body=b"sound"
                )
                number += 1
                await asyncio.sleep(RETURN_SECONDS)


# Guards against doubts of workers that report the start by which they are listed, once they do not
# run the request any more.
@pytest.mark.parametrize("path", [SAFE, STREAM])
async def test_a_worker_that_reports_its_start_leaves_no_doubt_after_a_reset(path):
    async with fatal_platform(workers=6, known_starts=True) as platform:
        for worker in platform.workers:
            worker.started_ms = KNOWN_START_MS
            worker.responses = [FakeResponse(unframed=True, reset=True)]
        for number in range(4):
            node = platform.nodes[number % len(platform.nodes)]
            await platform.request_turn(node, f"r{number}", path=path, body=b"sound")
        for worker in platform.workers:
            worker.responses = [COMPLETE if path == STREAM else FakeResponse()]
        reply = await return_as_told(platform, platform.nodes[0], "r4", path, b"sound")
        assert (reply.status, reply.is_complete) == (200, True)


# Guards against a claim that an innocent waits for after a single doubt, and a send that nobody
# knows of when its node is killed.
async def test_a_send_after_one_in_doubt_is_known_to_other_nodes_and_stores_nothing():
    async with fatal_platform(
        FakeResponse(), kind=CrashKind.UNREACHABLE, restart_seconds=30.0
    ) as platform:
        first, second, _ = platform.nodes
        await platform.request_turn(first, "f0", path=SAFE, body=FATAL)
        sending = asyncio.ensure_future(platform.request_turn(second, "f1", path=SAFE, body=FATAL))
        await wait_until(lambda: count_ended(platform), 2)
        assert not sending.done()
        known = [worker for node in platform.nodes for worker in workers_of_sends(node)]
        assert known.count(crash_log(platform)[-1][0]) >= 2
        assert await count_claims(platform) == 0
        assert not platform.model.rows_of(SENDS_TABLE)
        await sending


# Guards against a running send that another node counts after its worker has responded.
@pytest.mark.parametrize("status", [200, 500, 503])
async def test_a_running_send_counts_at_other_nodes_until_it_gets_a_response(status):
    async with fatal_platform(FakeResponse()) as platform:
        first, second, third = platform.nodes
        headers = {"Not-Run": "1"} if status == 503 else {}
        response = FakeResponse(status=status, headers=headers, delay_seconds=0.3)
        with responding(platform, response):
            sending = asyncio.ensure_future(
                platform.request_turn(first, "f0", path=SAFE, body=FATAL)
            )
            await wait_until(lambda: count_received(platform), 1)
            again = asyncio.ensure_future(
                platform.request_turn(second, "f1", path=SAFE, body=FATAL)
            )
            await wait_until(lambda: count_losses(third), 1)
            assert not sending.done()
            await asyncio.gather(sending, again)
        for node in platform.nodes:
            await wait_until(lambda node=node: count_losses(node), 0)


async def count_ended(platform):
    """Return how many workers have ended."""
    return len(ended_workers(platform))


async def count_received(platform):
    """Return how many requests the workers have received."""
    return sum(len(worker.received) for worker in platform.workers)


def workers_of_sends(node):
    """Return the workers of the sends that a node keeps as a witness."""
    sends = [send for number in range(RANGES) for send in node.node.witnesses.kept.in_range(number)]
    return [send.doubt.worker for send in sends]


async def count_losses(node):
    """Return how many losses of the fatal requests a node knows of."""
    table = node.node.crash_records.table
    return sum(len(table.history_of(each).losses) for each in table.fingerprints())


# Guards against a health check that is answered between the loss of a connection and the end of the
# worker, which goes on with the request meanwhile (BUDGET).
@pytest.mark.parametrize("kind", [CrashKind.REFUSES, CrashKind.UNREACHABLE])
@pytest.mark.parametrize("path", [SAFE, STREAM, RETAINED, UNSAFE])
@pytest.mark.parametrize("seconds", [0.02, 0.2])
async def test_workers_that_end_after_their_connections_count(seconds, path, kind):
    response = FakeResponse(crash_after_reset_seconds=seconds)
    async with fatal_platform(response, workers=14, kind=kind, restart_seconds=1.0) as platform:
        await send_repeatedly(platform, path)
        await asyncio.sleep(2 * seconds)
        assert len(ended_workers(platform)) <= MAX_CRASHES, crash_log(platform)
