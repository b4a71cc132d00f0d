"""Requests that crash their workers: how often they run, and what other requests notice."""

import asyncio

import pytest

from fake_platform import (
    RETAINED,
    SAFE,
    STREAM,
    UNSAFE,
    wait_until,
)
from fake_worker import CrashKind, FakeResponse, events
from fatal_platform import (
    ATTEMPTS,
    COMPLETE,
    FATAL,
    MAX_CRASHES,
    MIDWAY,
    RETURN_SECONDS,
    TURNS,
    claims_in_store,
    count_known,
    count_rows,
    crash_log,
    crashes_of,
    fatal_platform,
    send_repeatedly,
)
from foxwinch.emulator.record_store import StoreFault


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


# Guards against refusing a caller that returns before the claim of its failed request is released.
async def test_a_caller_that_returns_at_once_is_served_while_its_claim_is_released():
    async with fatal_platform(
        FakeResponse(), workers=6, nodes=2, kind=CrashKind.HANGS, restart_seconds=3.0
    ) as platform:
        first, second = platform.nodes
        await platform.request_turn(first, "r0", path=SAFE, body=FATAL)
        for worker in platform.workers:
            worker.fatal_body, worker.responses = None, [FakeResponse(drop=True)]
        platform.model.store_faults.delay_seconds = 0.03
        assert (await platform.request_turn(first, "r1", path=SAFE, body=FATAL)).status == 502
        for worker in platform.workers:
            worker.responses = [FakeResponse()]
        reply = await platform.request_turn(second, "r2", path=SAFE, body=FATAL)
        assert reply.status == 200


# Guards against a request that no worker gets any more, although the one that lost it lives.
async def test_a_request_is_served_by_the_worker_that_lost_it_and_lives():
    async with fatal_platform(
        FakeResponse(), workers=1, kind=CrashKind.HANGS, restart_seconds=30.0
    ) as platform:
        await platform.request_turn(platform.nodes[0], "r0", path=SAFE, body=FATAL)
        for node in platform.nodes:
            await wait_until(lambda node=node: count_known(node), 1)
        (hanging,) = platform.workers
        # The worker was only stuck: the same start responds again.
        hanging.fatal_body = None
        await hanging.restart()
        for number, node in enumerate(platform.nodes):
            reply = await platform.request_turn(node, f"r1-{number}", path=SAFE, body=FATAL)
            assert reply.status == 200


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


# Guards against refusing a request whose connections were cut at workers that live on, and against
# sending it to further ones, as those may still end under it.
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
        assert sum(bool(worker.received) for worker in platform.workers) <= MAX_CRASHES


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


# Guards against a send by a node that stood still after it was admitted, and whose claim may have
# expired since (BUDGET).
async def test_a_request_is_not_sent_after_its_deadline_by_a_node_that_stood_still(monkeypatch):
    async with fatal_platform(FakeResponse(), nodes=1) as platform:
        (node,) = platform.nodes
        guard = node.node.dispatcher.guard
        admit = guard.admit

        async def stand_still(attempts, worker):
            rejected = await admit(attempts, worker)
            attempts.deadline_at = guard._clock.monotonic()
            return rejected

        monkeypatch.setattr(guard, "admit", stand_still)
        reply = await platform.request_turn(node, "r", path=SAFE, body=b"sound")
        assert reply.status == 503
        assert not any(worker.received for worker in platform.workers)
