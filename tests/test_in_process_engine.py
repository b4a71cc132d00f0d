"""The in-process engine: marked responses, resume, cancellation, fencing, counters and faults."""

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
from foxwinch.emulator.engine_parameters import load_engine_parameters
from foxwinch.emulator.engine_responses import history_marker
from foxwinch.emulator.engine_worker import EngineWorker, EngineWorkerSettings
from foxwinch.emulator.faults import EngineFaults
from foxwinch.emulator.in_process_engine import InProcessEngine
from foxwinch.outcomes import Reason, Refused, RunState
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]
LONG_TEXT = "From Carmarthen to Wrecsam with two children. " * 40


def make_request(call="c1", program="p1", text="Hello", epoch=1, **changes):
    request = GenerateRequest(call, program, "m", (Message("user", text),), 8, 0, epoch)
    return replace(request, **changes)


@pytest.fixture
async def engine():
    settings = EngineWorkerSettings("w", ("m",), maximum_answer_tokens=100)
    worker = EngineWorker(settings, VirtualClock())
    yield InProcessEngine({"w": worker})
    worker.stop()


async def generate_events(engine, request):
    return [event async for event in engine.generate("w", request)]


def text_of(events):
    return "".join(event.text for event in events if isinstance(event, TokenChunk))


def test_prompt_blocks_have_the_size_of_engine_blocks():
    assert load_engine_parameters().block_tokens == BLOCK_TOKENS


async def test_response_starts_with_the_marker_of_its_history(engine):
    received = await generate_events(engine, make_request())
    assert len(received) == 9
    assert text_of(received).startswith(history_marker("p1", make_request().messages))
    assert received[-1].completion_tokens == 8
    other = await generate_events(engine, make_request("c2", "p2"))
    assert text_of(other) != text_of(received)


async def test_resumed_response_is_the_rest_of_the_first(engine):
    complete = await generate_events(engine, make_request())
    rest = await generate_events(engine, make_request(resume_offset=3))
    assert text_of(rest) == text_of(complete[3:])
    assert engine.workers["w"].executions == {"c1": 1}
    assert engine.workers["w"].resumes == {"c1": 1}


async def test_second_turn_finds_its_prefix_cached(engine):
    first = make_request(text=LONG_TEXT)
    response = text_of(await generate_events(engine, first))
    messages = (*first.messages, Message("assistant", response), Message("user", "And back?"))
    finished = (await generate_events(engine, make_request("c2", messages=messages)))[-1]
    assert finished.cached_tokens >= BLOCK_TOKENS * 7
    await engine.release("w", "p1")
    finished = (await generate_events(engine, make_request("c3", messages=messages)))[-1]
    assert finished.cached_tokens == 0


async def test_older_epoch_is_fenced_and_does_not_run(engine):
    await generate_events(engine, make_request(epoch=5))
    [refused] = await generate_events(engine, make_request("c2", epoch=4))
    assert (refused.reason, refused.run_state) == (Reason.FENCED, RunState.NOT_RUN)
    fenced = await engine.apply_order("w", ModelOrder("t", 4, "load", "other"))
    assert fenced.reason is Reason.FENCED
    assert engine.workers["w"].executions == {"c1": 1}


async def test_order_loads_a_model_once_even_when_retried(engine):
    load = ModelOrder("t", 1, "load", "other")
    assert await engine.apply_order("w", load) == Completed()
    assert await engine.apply_order("w", load) == Completed()
    received = await generate_events(engine, make_request(model="other"))
    assert isinstance(received[-1], GenerateFinished)
    [refused] = await generate_events(engine, make_request("c2", model="third"))
    assert refused.run_state is RunState.NOT_RUN


async def test_closing_the_stream_or_cancelling_frees_the_engine(engine):
    clock = VirtualClock()
    async with aclosing(engine.generate("w", make_request(maximum_tokens=100))) as stream:
        assert isinstance(await anext(stream), TokenChunk)
    stream = engine.generate("w", make_request("c2", maximum_tokens=100))
    await anext(stream)
    await engine.cancel("w", "c2")
    *_, last = [event async for event in stream]
    assert (last.reason, last.run_state) == (Reason.CANCELLED, RunState.RAN)
    await clock.sleep(2 * load_engine_parameters().load_lag_seconds)
    assert (await engine.load("w")).running == 0


async def test_cache_moves_between_engines(engine):
    other = EngineWorker(EngineWorkerSettings("v", ("m",)), VirtualClock())
    engine.workers["v"] = other
    await generate_events(engine, make_request(text=LONG_TEXT))
    data = await engine.export_cache("w", "p1")
    assert await engine.import_cache("v", "p1", data) == Completed()
    events_after_import = [
        e async for e in engine.generate("v", make_request("c2", text=LONG_TEXT))
    ]
    assert events_after_import[-1].cached_tokens >= BLOCK_TOKENS * 7
    rejected = await engine.import_cache("v", "p1", b"not an export")
    assert rejected.reason is Reason.INVALID_REQUEST
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
async def test_faults_report_whether_the_call_ran(engine, faults, run_state):
    worker = engine.workers["w"]
    worker.gate.faults = faults
    last = (await generate_events(engine, make_request()))[-1]
    assert isinstance(last, Refused)
    assert last.run_state is run_state
    if run_state is RunState.NOT_RUN:
        assert worker.executions == {}


async def test_lost_cache_events_are_reported_as_a_gap(engine):
    worker = engine.workers["w"]
    after = (await engine.cache_events("w", 0)).next_sequence
    await generate_events(engine, make_request("c0", text="first " + LONG_TEXT))
    await generate_events(engine, make_request(text=LONG_TEXT))
    await VirtualClock().sleep(1.0)
    first = 1 if after == 0 else after
    assert (await engine.cache_events("w", first)).events
    worker.gate.faults = EngineFaults(event_gap_probability=1.0)
    page = await engine.cache_events("w", first)
    assert page.gap
    assert page.events == ()
    worker.gate.faults = EngineFaults(event_delay_seconds=3_600)
    assert (await engine.cache_events("w", first)).events == ()
