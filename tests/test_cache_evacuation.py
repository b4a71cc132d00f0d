"""Tests that useful cache is copied from a leaving worker."""

import asyncio

import pytest

from foxwinch.emulator.engine_worker import EngineWorker, EngineWorkerSettings
from foxwinch.emulator.in_process_engine import InProcessEngine
from foxwinch.workers.cache_evacuation import CacheEvacuation
from test_in_process_engine import LONG_TEXT, order
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]


@pytest.fixture
async def engine():
    workers = {
        name: EngineWorker(EngineWorkerSettings(name, ("m",), maximum_answer_tokens=100), clock)
        for clock in [VirtualClock()]
        for name in ("leaving", "a", "b")
    }
    yield InProcessEngine(workers)
    for worker in workers.values():
        worker.stop()


async def cached_tokens(engine, worker, program):
    generate = order(f"again-{program}", program, text=f"{program}: {LONG_TEXT}")
    return [event async for event in engine.generate(worker, generate)][-1].cached_tokens


async def fill(engine, programs):
    for program in programs:
        generate = order(program, program, text=f"{program}: {LONG_TEXT}")
        assert [event async for event in engine.generate("leaving", generate)]


async def test_caches_are_distributed_to_remaining_workers(engine):
    programs = ["p1", "p2", "p3"]
    await fill(engine, programs)
    evacuation = CacheEvacuation(engine)
    evacuation.start("leaving", ["a", "b"], programs)
    await asyncio.sleep(10.0)
    found = [await cached_tokens(engine, w, p) for p, w in zip(programs, "aba", strict=True)]
    assert all(found)
    assert await cached_tokens(engine, "b", "p1") == 0
    await evacuation.stop()


async def test_no_cache_is_copied_without_target_or_after_cancellation(engine):
    await fill(engine, ["p1"])
    evacuation = CacheEvacuation(engine)
    evacuation.start("leaving", [], ["p1"])
    evacuation.start("leaving", ["a"], ["p1"])
    evacuation.cancel("leaving")
    await asyncio.sleep(10.0)
    assert await cached_tokens(engine, "a", "p1") == 0
