"""Requests that crash their workers: how often they run, and what other requests notice."""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from fake_platform import (
    RESTART_SECONDS,
    RETAINED,
    SAFE,
    STREAM,
    UNSAFE,
    FakePlatform,
    configuration,
    routes,
    wait_until,
)
from fake_worker import CrashKind, FakeResponse, FakeWorker, events
from foxwinch.core.records.crash_history import CrashHistory
from foxwinch.emulator.record_store import StoreFault
from foxwinch.records.crash_records import CRASHES_TABLE

MAX_CRASHES = 3
"""Number of workers that may crash on repetitions of one request."""
FATAL = b"crash the worker;"
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
                platform.list_worker(number, born=1_789_000_000_000)
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


async def count_rows(platform):
    """Return the number of requests with stored crashes."""
    return len(platform.model.rows_of(CRASHES_TABLE))


def crashes_of(platform, body=FATAL):
    """Return how many workers have crashed on requests with `body`."""
    return sum(body in received.body for worker in platform.workers for received in worker.crashes)


def crash_log(platform):
    """Return the worker and request of each crash."""
    return [
        (received["Expect-Instance"], received["Request-Id"])
        for worker in platform.workers
        for received in worker.crashes
    ]


async def send_repeatedly(platform, path=SAFE, *, name="f", body=FATAL, first=0, **headers):
    """Repeat a request as callers do, each time at another node; return the statuses."""
    statuses = []
    for number in range(TURNS * ATTEMPTS):
        node = platform.nodes[(first + number) % len(platform.nodes)]
        reply = await platform.request_turn(
            node, f"{name}{number}", path=path, body=body, **headers
        )
        statuses.append(reply.status if reply.is_complete else None)
        await asyncio.sleep(RETURN_SECONDS)
    return statuses


async def leave_repeatedly(platform, path, leave_seconds):
    """Repeat a request at other nodes, each time leaving before its response."""
    for number in range(TURNS * ATTEMPTS):
        node = platform.nodes[number % len(platform.nodes)]
        with suppress(TimeoutError):
            async with asyncio.timeout(leave_seconds):
                await platform.request_turn(node, f"f{number}", path=path, body=FATAL)
        await asyncio.sleep(RETURN_SECONDS)


# Guards against a repeated request that crashes a worker in each of its attempts (BUDGET).
@pytest.mark.parametrize("path", [SAFE, STREAM, RETAINED, UNSAFE])
@pytest.mark.parametrize("attempts", [1, 3])
async def test_a_request_repeated_at_other_nodes_crashes_three_workers_at_most(path, attempts):
    async with fatal_platform(attempts=attempts) as platform:
        statuses = await send_repeatedly(platform, path)
        assert 1 <= crashes_of(platform) <= MAX_CRASHES, crash_log(platform)
        assert 200 not in statuses


# Guards against the same when the worker restarts under its id, so that its entry stays.
async def test_workers_that_restart_under_their_id_count_as_crashed():
    async with fatal_platform(same_id=True, workers=4) as platform:
        await send_repeatedly(platform)
        assert crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


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


# Guards against a second send that nobody knows of when its node is killed meanwhile.
@pytest.mark.parametrize("path", [SAFE, STREAM])
async def test_a_send_after_one_in_doubt_holds_a_claim(path):
    async with fatal_platform(
        FakeResponse(),
        kind=CrashKind.UNREACHABLE,
        attempts=2,
        nodes=1,
        restart_seconds=3 * SLOW_RESTART_SECONDS,
    ) as platform:
        (node,) = platform.nodes
        sending = asyncio.ensure_future(platform.request_turn(node, "f", path=path, body=FATAL))
        claims = 0
        while not sending.done():
            claims = max(claims, await count_claims(platform))
            await asyncio.sleep(0.01)
        assert claims == 1


async def count_claims(platform):
    """Return the number of claims for repetitions in the store."""
    return len(await claims_in_store(platform))


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


# Guards against the same when the worker crashes in the middle of its stream.
@pytest.mark.parametrize("path", [STREAM, RETAINED])
async def test_a_stream_that_crashes_its_workers_midway_is_stopped(path):
    async with fatal_platform(MIDWAY) as platform:
        await send_repeatedly(platform, path)
        assert crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against a resumed stream that does not count as a repetition of its first request.
async def test_a_resumed_stream_that_crashes_its_workers_is_stopped():
    async with fatal_platform(MIDWAY) as platform:
        begun = await platform.request_turn(platform.nodes[0], "a", body=FATAL)
        assert not begun.is_complete
        await send_repeatedly(platform, STREAM, Last_Event_Id=2, Resumes="a")
        assert crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against counts that are lost with the node that has seen a crash.
async def test_a_node_that_ends_between_attempts_does_not_reset_the_count():
    async with fatal_platform(nodes=1) as platform:
        for number in range(TURNS * ATTEMPTS):
            await platform.request_turn(platform.nodes[-1], f"f{number}", path=SAFE, body=FATAL)
            await platform.nodes.pop().stop()
            await platform.start_node()
        assert crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against repetitions that the nodes don't recognize while the store fails.
@pytest.mark.parametrize(
    "fault", [StoreFault.BUSY, StoreFault.UNRESPONSIVE, StoreFault.RESPONSE_LOST, None]
)
@pytest.mark.parametrize("path", [SAFE, STREAM])
async def test_a_fatal_request_is_stopped_while_the_store_fails(fault, path):
    async with fatal_platform(nodes=4) as platform:
        if fault is None:
            platform.model.store_faults.delay_seconds = 0.25
        else:
            platform.model.store_faults.fault = fault
        for number in range(TURNS * ATTEMPTS):
            node = platform.nodes[number % len(platform.nodes)]
            await platform.request(node, path, f"f{number}", body=FATAL)
            await asyncio.sleep(RETURN_SECONDS)
        assert 1 <= crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against repetitions of one request that are in flight at the same time.
async def test_concurrent_repetitions_crash_three_workers_at_most():
    async with fatal_platform(nodes=4) as platform:
        await platform.request_turn(platform.nodes[0], "first", path=SAFE, body=FATAL)
        await asyncio.sleep(RETURN_SECONDS)
        await asyncio.gather(
            *(send_repeatedly(platform, name=f"f{first}-", first=first) for first in range(4))
        )
        assert crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


async def claims_in_store(platform):
    """Return the holders of claims for repetitions."""
    rows = platform.model.rows_of(CRASHES_TABLE).values()
    claims = [CrashHistory.decode(value).claim for value in rows]
    return [claim.holder for claim in claims if claim is not None]


# Guards against a claim that stays, and later counts as a crash, after its caller left.
@pytest.mark.parametrize("leave_seconds", [0.05, 0.15, 0.25])
async def test_a_caller_that_leaves_while_its_claim_is_taken_leaves_no_claim(leave_seconds):
    async with fatal_platform(nodes=1) as platform:
        (node,) = platform.nodes
        await platform.request_turn(node, "r0", path=SAFE, body=FATAL)
        await wait_until(lambda: count_rows(platform), 1)
        for worker in platform.workers:
            worker.fatal_body, worker.responses = None, [FakeResponse(silent=True)]
        platform.model.store_faults.delay_seconds = 0.1
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(leave_seconds):
                await platform.request_turn(node, "r1", path=SAFE, body=FATAL)
        platform.model.store_faults.delay_seconds = 0.0
        await asyncio.sleep(0.2)
        await wait_until(lambda: claims_in_store(platform), [])


# Guards against several fatal requests that together end a service, and against their bystanders.
async def test_several_fatal_requests_crash_three_workers_each_at_most():
    async with fatal_platform(nodes=3) as platform:
        bodies = [FATAL + bytes([65 + number]) for number in range(4)]
        await asyncio.gather(
            *(
                send_repeatedly(platform, name=f"f{number}-", body=body, Program=f"p{number}")
                for number, body in enumerate(bodies)
            )
        )
        for body in bodies:
            assert 1 <= crashes_of(platform, body) <= MAX_CRASHES


# Guards against refusing a request whose connections were cut at workers that live on.
@pytest.mark.parametrize("path", [SAFE, STREAM])
@pytest.mark.parametrize("reset", [True, False])
async def test_a_request_is_served_after_its_connections_were_cut_four_times(path, reset):
    async with fatal_platform(workers=6) as platform:
        cut = FakeResponse(unframed=True, reset=True) if reset else FakeResponse(drop=True)
        for worker in platform.workers:
            worker.responses = [cut]
        for number in range(4):
            node = platform.nodes[number % len(platform.nodes)]
            reply = await platform.request_turn(node, f"r{number}", path=path, body=b"sound")
            assert reply.status != 200 or not reply.is_complete
        for worker in platform.workers:
            worker.responses = [COMPLETE if path == STREAM else FakeResponse()]
        reply = await platform.request_turn(platform.nodes[0], "r4", path=path, body=b"sound")
        assert (reply.status, reply.is_complete) == (200, True)


# Guards against refusing a request that only ran beside one that crashed its worker.
async def test_a_request_that_ran_beside_a_fatal_one_is_served():
    async with fatal_platform(workers=4, nodes=2) as platform:
        slow = FakeResponse(body=None, chunks=events(1, 5), pause_seconds=0.05)
        for worker in platform.workers:
            worker.responses = [slow]

        async def run_sound(number):
            for attempt in range(12):
                node = platform.nodes[(number + attempt) % 2]
                reply = await platform.request_turn(
                    node, f"s{number}-{attempt}", body=b"sound %d" % number, Program=f"s{number}"
                )
                if reply.status == 200 and reply.is_complete:
                    return True
                await asyncio.sleep(4 * RETURN_SECONDS)
            return False

        sound = [asyncio.ensure_future(run_sound(number)) for number in range(12)]
        await asyncio.sleep(RETURN_SECONDS)
        await send_repeatedly(platform, STREAM)
        assert all(await asyncio.gather(*sound))
        assert crashes_of(platform) <= MAX_CRASHES, crash_log(platform)


# Guards against blaming identical requests of another program.
async def test_identical_requests_of_another_program_are_served():
    async with fatal_platform() as platform:
        await send_repeatedly(platform, Program="p1")
        for worker in platform.workers:
            worker.fatal_body = None
            worker.responses = [FakeResponse()]
        reply = await platform.request_turn(
            platform.nodes[0], "other", path=SAFE, body=FATAL, Program="p2"
        )
        assert reply.status == 200


# Guards against refusing a request of many callers for good after its workers lost power together.
@pytest.mark.parametrize("kind", [CrashKind.REFUSES, CrashKind.UNREACHABLE])
async def test_a_request_of_many_callers_is_served_after_all_its_workers_ended_at_once(kind):
    slow = FakeResponse(body=None, chunks=[b"part"] * 4, pause_seconds=0.05)
    async with fatal_platform(slow, workers=4, nodes=3, attempts=2, kind=kind) as platform:

        async def run(number):
            for attempt in range(20):
                node = platform.nodes[(number + attempt) % 3]
                reply = await platform.request(node, SAFE, f"s{number}-{attempt}", body=b"same")
                if reply.status == 200 and reply.is_complete:
                    return True
                await asyncio.sleep(4 * RETURN_SECONDS)
            return False

        calls = [asyncio.ensure_future(run(number)) for number in range(24)]
        await asyncio.sleep(0.1)
        for worker in platform.workers:
            worker.crash()
        served = await asyncio.gather(*calls)
        assert all(served), served.count(True)
