"""The in-process engine: marked answers, resume, cancel, fences, counts and faults."""

from contextlib import aclosing
from dataclasses import replace

import pytest

from foxwinch.backends.ports import (
    Completed,
    GenerateFinished,
    GenerateRequest,
    Message,
    ModelOrder,
    TokenChunk,
)
from foxwinch.core.prompt import BLOCK_TOKENS
from foxwinch.emulator.engine_answers import history_marker
from foxwinch.emulator.engine_parameters import load_engine_parameters
from foxwinch.emulator.engine_worker import EngineWorker, EngineWorkerSettings
from foxwinch.emulator.faults import EngineFaults
from foxwinch.emulator.in_process_engine import InProcessEngine
from foxwinch.outcomes import Reason, Refused, RunState
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]
LONG_TEXT = "From Carmarthen to Wrecsam with two children. " * 40


def order(call="c1", program="p1", text="Hello", epoch=1, **changes):
    whole = GenerateRequest(call, program, "m", (Message("user", text),), 8, 0, epoch)
    return replace(whole, **changes)


@pytest.fixture
async def engine():
    settings = EngineWorkerSettings("w", ("m",), maximum_answer_tokens=100)
    worker = EngineWorker(settings, VirtualClock())
    yield InProcessEngine({"w": worker})
    worker.stop()


async def events(engine, generate):
    return [event async for event in engine.generate("w", generate)]


def text_of(given):
    return "".join(event.text for event in given if isinstance(event, TokenChunk))


def test_blocks_of_prompts_are_blocks_of_engines():
    assert load_engine_parameters().block_tokens == BLOCK_TOKENS


async def test_answer_bears_the_marker_of_its_history(engine):
    given = await events(engine, order())
    assert len(given) == 9
    assert text_of(given).startswith(history_marker("p1", order().messages))
    assert given[-1].completion_tokens == 8
    other = await events(engine, order("c2", "p2"))
    assert text_of(other) != text_of(given)


async def test_resumed_answer_is_the_rest_of_the_first(engine):
    whole = await events(engine, order())
    rest = await events(engine, order(resume_offset=3))
    assert text_of(rest) == text_of(whole[3:])
    assert engine.workers["w"].executions == {"c1": 1}
    assert engine.workers["w"].resumes == {"c1": 1}


async def test_second_turn_finds_its_prefix_cached(engine):
    first = order(text=LONG_TEXT)
    answer = text_of(await events(engine, first))
    messages = (*first.messages, Message("assistant", answer), Message("user", "And back?"))
    finished = (await events(engine, order("c2", messages=messages)))[-1]
    assert finished.cached_tokens >= BLOCK_TOKENS * 7
    await engine.release("w", "p1")
    finished = (await events(engine, order("c3", messages=messages)))[-1]
    assert finished.cached_tokens == 0


async def test_older_epoch_is_fenced_and_does_not_run(engine):
    await events(engine, order(epoch=5))
    [refused] = await events(engine, order("c2", epoch=4))
    assert (refused.reason, refused.run_state) == (Reason.FENCED, RunState.NOT_RUN)
    fenced = await engine.apply_order("w", ModelOrder("t", 4, "load", "other"))
    assert fenced.reason is Reason.FENCED
    assert engine.workers["w"].executions == {"c1": 1}


async def test_order_loads_a_model_once_even_when_sent_again(engine):
    load = ModelOrder("t", 1, "load", "other")
    assert await engine.apply_order("w", load) == Completed()
    assert await engine.apply_order("w", load) == Completed()
    given = await events(engine, order(model="other"))
    assert isinstance(given[-1], GenerateFinished)
    [refused] = await events(engine, order("c2", model="third"))
    assert refused.run_state is RunState.NOT_RUN


async def test_closing_the_stream_or_cancelling_frees_the_engine(engine):
    clock = VirtualClock()
    async with aclosing(engine.generate("w", order(maximum_tokens=100))) as stream:
        assert isinstance(await anext(stream), TokenChunk)
    stream = engine.generate("w", order("c2", maximum_tokens=100))
    await anext(stream)
    await engine.cancel("w", "c2")
    *_, last = [event async for event in stream]
    assert (last.reason, last.run_state) == (Reason.CANCELLED, RunState.RAN)
    await clock.sleep(2 * load_engine_parameters().load_lag_seconds)
    assert (await engine.load("w")).running == 0


async def test_cache_moves_between_engines(engine):
    other = EngineWorker(EngineWorkerSettings("v", ("m",)), VirtualClock())
    engine.workers["v"] = other
    await events(engine, order(text=LONG_TEXT))
    data = await engine.export_cache("w", "p1")
    assert await engine.import_cache("v", "p1", data) == Completed()
    moved = [e async for e in engine.generate("v", order("c2", text=LONG_TEXT))]
    assert moved[-1].cached_tokens >= BLOCK_TOKENS * 7
    bad = await engine.import_cache("v", "p1", b"not an export")
    assert bad.reason is Reason.INVALID_REQUEST
    other.stop()


@pytest.mark.parametrize(
    ("faults", "run_state"),
    [
        (EngineFaults(down=True), RunState.NOT_RUN),
        (EngineFaults(leaving=True), RunState.NOT_RUN),
        (EngineFaults(silent=True), RunState.UNKNOWN),
        (EngineFaults(lose_answers=1), RunState.UNKNOWN),
        (EngineFaults(cut_stream_probability=1.0), RunState.UNKNOWN),
    ],
)
async def test_faults_tell_the_truth_about_running(engine, faults, run_state):
    worker = engine.workers["w"]
    worker.gate.faults = faults
    last = (await events(engine, order()))[-1]
    assert isinstance(last, Refused)
    assert last.run_state is run_state
    if run_state is RunState.NOT_RUN:
        assert worker.executions == {}


async def test_lost_cache_events_show_as_a_gap(engine):
    worker = engine.workers["w"]
    after = (await engine.cache_events("w", 0)).next_sequence
    await events(engine, order("c0", text="first " + LONG_TEXT))
    await events(engine, order(text=LONG_TEXT))
    await VirtualClock().sleep(1.0)
    first = 1 if after == 0 else after
    assert (await engine.cache_events("w", first)).events
    worker.gate.faults = EngineFaults(event_gap_probability=1.0)
    page = await engine.cache_events("w", first)
    assert page.gap
    assert page.events == ()
    worker.gate.faults = EngineFaults(event_delay_seconds=3_600)
    assert (await engine.cache_events("w", first)).events == ()
