"""Requests that run well, beside ends of workers that they did not cause, on virtual time."""

import asyncio

import pytest

from fake_platform import SAFE
from fake_worker import CrashKind
from fatal_orders import NODES, FatalOrders, Setting
from foxwinch.serving.messages import CallFailure, CallInterrupted, ResponseHead
from virtual_platform import USER_TIMEOUT_SECONDS, Caller

pytestmark = [pytest.mark.looptime]
CALLERS = 160
TRIES = 8
RUN_SECONDS = 0.05
ARRIVAL_SECONDS = 3.0
"""Time in which the callers send their requests."""
SERVED = 0.95
"""Fraction of the callers that are served at least."""


class Success:
    """A complete response."""

    head = ResponseHead(200, (), True)

    async def read_body(self):
        return b"done"

    async def chunks(self):
        yield b"id: 1\ndata: done\n\n"

    def close(self):
        pass


class InnocentOrders(FatalOrders):
    """Nodes in front of workers that run all requests."""

    def __init__(self, setting, cuts=0):
        super().__init__([], setting)
        self.cuts = cuts
        """Number of requests whose connections living workers cut."""

    async def run_request(self, worker, node):
        self.sent += 1
        life = worker.life
        await asyncio.sleep(RUN_SECONDS)
        if self.cuts:
            self.cuts -= 1
            return CallInterrupted(CallFailure.CONNECTION_LOST, "cut")
        if worker.crash is not None or worker.life != life:
            if worker.is_silent:
                await asyncio.sleep(USER_TIMEOUT_SECONDS)
            return CallInterrupted(CallFailure.CONNECTION_LOST, "ended")
        return Success()

    async def replace_all(self, pause_seconds=0.5):
        """Stop each node and start it again, one after the other."""
        for number in range(NODES):
            await self.replace_node(number)
            await asyncio.sleep(pause_seconds)

    async def kill_all(self):
        """Kill all nodes at once, and wait until they run again."""
        for number in self.running_nodes():
            self.silence_node(number)
            self.start(self.kill_node(number))
        await asyncio.sleep(2.0)

    async def end_workers(self, count, crash):
        """End some workers one after the other, for a reason of their own."""
        for number in range(count):
            await asyncio.sleep(ARRIVAL_SECONDS / (count + 1))
            self._workers[number].end(crash)

    async def is_served(self, number):
        """Send the request as one caller, again as told; return whether it is served."""
        await asyncio.sleep(self.rng.uniform(0.0, ARRIVAL_SECONDS))
        for attempt in range(TRIES):
            node, caller = await self._choose_node(), Caller()
            await self.handle(node, self._request(number * TRIES + attempt + 1), caller, 3.0)
            if caller.is_complete:
                return True
            retry_after = caller.rejected and caller.rejected.retry_after_seconds
            await asyncio.sleep(min(1.0, retry_after or 0.1))
        return False

    async def count_served(self, callers):
        served = await asyncio.gather(*(self.is_served(number) for number in range(callers)))
        return sum(served)


# Guards against requests of many callers that are refused as workers end for reasons of their own
# after all nodes were replaced in turn.
@pytest.mark.parametrize("crash", [CrashKind.REFUSES, CrashKind.UNREACHABLE])
@pytest.mark.parametrize("ends", [0, 2, 4])
@pytest.mark.parametrize("is_replaced", [False, True])
async def test_requests_of_many_callers_are_served_while_workers_end(is_replaced, ends, crash):
    orders = InnocentOrders(Setting(in_program=False))
    await asyncio.sleep(1.0)
    if is_replaced:
        assert await orders.count_served(1) == 1
        await orders.replace_all()
    orders.start(orders.end_workers(ends, crash))
    assert await orders.count_served(CALLERS) >= SERVED * CALLERS
    await orders.stop()


# Guards against the same after all nodes were killed at once, while none remembers.
@pytest.mark.parametrize("ends", [0, 2, 4])
async def test_requests_of_many_callers_are_served_after_all_nodes_were_killed(ends):
    orders = InnocentOrders(Setting(in_program=False))
    await asyncio.sleep(1.0)
    assert await orders.count_served(1) == 1
    await orders.kill_all()
    orders.start(orders.end_workers(ends, CrashKind.REFUSES))
    assert await orders.count_served(CALLERS) >= SERVED * CALLERS
    await orders.stop()


# Guards against a request that is refused for minutes as living workers have cut its connections.
@pytest.mark.parametrize("replacements", [0, 2])
@pytest.mark.parametrize("in_program", [False, True])
async def test_a_request_is_served_after_living_workers_cut_its_connections(
    in_program, replacements
):
    orders = InnocentOrders(Setting(in_program=in_program))
    await asyncio.sleep(1.0)
    for _ in range(replacements):
        await orders.replace_all()
    orders.cuts = 4
    assert await orders.count_served(1) == 1
    await orders.stop()


# Guards against a calm day on which sends are stored, or claims taken.
@pytest.mark.parametrize("in_program", [False, True])
async def test_nothing_is_stored_for_requests_that_are_served_at_once(in_program):
    orders = InnocentOrders(Setting(SAFE, in_program))
    await asyncio.sleep(1.0)
    assert await orders.count_served(1) == 1
    writes = orders.model.calls.writes
    for _ in range(20):
        assert await orders.count_served(1) == 1
    assert orders.model.calls.writes == writes
    await orders.stop()
