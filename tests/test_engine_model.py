"""The engine model against closed forms and known answers."""

import random
from dataclasses import replace

import pytest

from foxwinch.emulator.engine_events import (
    BlocksImported,
    CallCompleted,
    CallRejected,
    CancelCall,
    ExportBlocks,
    ImportBlocks,
    LoadModel,
    ReleaseProgram,
    Submit,
    Tick,
    TokensProduced,
)
from foxwinch.emulator.engine_model import EngineModel
from foxwinch.emulator.engine_parameters import load_engine_parameters
from foxwinch.identifiers import CallId, ModelName, ProgramId

PARAMETERS = load_engine_parameters()
MODEL = ModelName("m")


def order(call: str, prompt: int, output: int, hashes: tuple[int, ...] = (), **more) -> Submit:
    program = more.pop("program", call)
    return Submit(CallId(call), ProgramId(program), MODEL, prompt, output, hashes, **more)


def drain(engine: EngineModel) -> list:
    outputs = []
    while (at := engine.next_event_time()) is not None:
        outputs += engine.handle(Tick(), at)
    return outputs


def completions(outputs: list) -> dict[str, CallCompleted]:
    return {o.call_id: o for o in outputs if isinstance(o, CallCompleted)}


def test_single_stream_latency_is_the_closed_form() -> None:
    engine = EngineModel(PARAMETERS, [MODEL], steps_per_event=1)
    outputs = engine.handle(order("a", 1000, 100), 0.0) + drain(engine)
    p = PARAMETERS
    expected = (
        4 * p.step_base_seconds
        + 1000 * p.prefill_token_seconds
        + 99 * (p.step_base_seconds + p.decode_sequence_seconds)
    )
    assert completions(outputs)["a"].at_seconds == pytest.approx(expected)
    assert sum(o.tokens for o in outputs if isinstance(o, TokensProduced)) == 100


def test_mean_wait_is_that_of_an_mg1_queue() -> None:
    p = replace(PARAMETERS, maximum_running=1)
    engine = EngineModel(p, [MODEL])
    source = random.Random(5)
    rate, now, outputs, arrivals, services = 0.35, 0.0, [], {}, []
    for index in range(20_000):
        now += source.expovariate(rate)
        output = source.choice((5, 50, 250))
        first = p.step_base_seconds + 100 * p.prefill_token_seconds
        rest = (output - 1) * (p.step_base_seconds + p.decode_sequence_seconds)
        services.append(first + rest)
        arrivals[str(index)] = now
        outputs += engine.handle(order(str(index), 100, output), now)
    done = completions(outputs + drain(engine))
    waits = [done[k].at_seconds - at - services[int(k)] for k, at in arrivals.items()]
    mean = sum(services) / len(services)
    square = sum(s * s for s in services) / len(services)
    expected = rate * square / (2 * (1 - rate * mean))
    assert sum(waits) / len(waits) == pytest.approx(expected, rel=0.06)


def test_cache_hits_of_a_known_reference_string() -> None:
    """Four blocks of memory, prompts of one block and answers in a second: LRU by hand."""
    size = PARAMETERS.block_tokens
    engine = EngineModel(replace(PARAMETERS, cache_blocks=4), [MODEL])
    hits, now = [], 0.0
    for index, block in enumerate([1, 2, 1, 3, 4, 1, 2]):
        now += 10.0
        call = order(str(index), size + 1, 1, (block,), program=f"p{block}")
        outputs = engine.handle(call, now) + drain(engine)
        hits.append(completions(outputs)[str(index)].cached_tokens > 0)
    # A run needs two blocks of the four, so three idle blocks leave room for one eviction.
    # 1 miss, 2 miss, 1 hit, 3 miss, 4 miss evicts 2, 1 hit, 2 miss.
    assert hits == [False, False, True, False, False, True, False]


def test_urgent_call_preempts_and_the_preempted_one_ends_whole() -> None:
    parameters = replace(PARAMETERS, maximum_running=1)
    engine = EngineModel(parameters, [MODEL], steps_per_event=1)
    outputs = engine.handle(order("low", 100, 200, priority=5), 0.0)
    outputs += engine.handle(order("high", 100, 10, priority=0), 1.0) + drain(engine)
    done = completions(outputs)
    assert done["high"].at_seconds < 1.5 < done["low"].at_seconds
    tokens = [o.tokens for o in outputs if isinstance(o, TokensProduced) and o.call_id == "low"]
    assert sum(tokens) == 200


def test_cancel_frees_memory_and_release_frees_only_own_blocks() -> None:
    engine = EngineModel(PARAMETERS, [MODEL])
    engine.handle(order("a", 1000, 2000, tuple(range(1, 40)), program="a"), 0.0)
    engine.handle(CancelCall(CallId("a")), 1.0)
    engine.handle(order("b", 200, 1, (1, 2, 3), program="b"), 2.0)
    drain(engine)
    engine.handle(ReleaseProgram(ProgramId("a")), 60.0)
    assert engine.cache.hashes() == (1, 2, 3)
    assert engine.cache.used_blocks == 3


def test_events_come_late_and_a_snapshot_mends_a_gap() -> None:
    engine = EngineModel(replace(PARAMETERS, cache_event_loss=1.0), [MODEL])
    engine.handle(order("a", 129, 1, (1, 2)), 0.0)
    drain(engine)
    assert engine.cache_events(1, 0.2).events == ()
    lossy = engine.cache_events(1, 5.0)
    assert lossy.events == ()
    fresh = EngineModel(replace(PARAMETERS, cache_event_loss=1.0), [MODEL])
    fresh.handle(order("a", 129, 1, (1, 2)), 0.0)
    drain(fresh)
    snapshot = fresh.cache_events(0, 5.0)
    assert snapshot.events[1].block_hashes == (1, 2)


def test_transfer_and_load_take_the_time_of_link_and_store() -> None:
    engine = EngineModel(PARAMETERS, [])
    assert isinstance(engine.handle(order("a", 10, 1), 0.0)[0], CallRejected)
    engine.handle(LoadModel("t", MODEL), 0.0)
    engine.handle(ImportBlocks("x", ProgramId("p"), (7, 8)), 0.0)
    size = 2 * PARAMETERS.block_tokens * PARAMETERS.cache_bytes_per_token
    outputs = drain(engine)
    imported = next(o for o in outputs if isinstance(o, BlocksImported))
    assert imported.at_seconds == pytest.approx(size / PARAMETERS.link_bytes_per_second)
    load_seconds = PARAMETERS.model_bytes / PARAMETERS.weight_store_bytes_per_second
    assert outputs[-1].at_seconds == pytest.approx(load_seconds)
    exported = engine.handle(ExportBlocks("y", (7, 8, 9)), 40.0) + drain(engine)
    assert exported[0].block_hashes == (7, 8)


def test_coalesced_and_single_steps_agree() -> None:
    results = []
    for steps in (1, 1 << 30):
        engine = EngineModel(PARAMETERS, [MODEL], steps_per_event=steps)
        source, now, outputs = random.Random(3), 0.0, []
        for index in range(60):
            now += source.expovariate(2.0)
            prompt, output = source.randint(1, 900), source.randint(1, 90)
            priority = source.randint(0, 2)
            outputs += engine.handle(order(str(index), prompt, output, priority=priority), now)
        outputs += drain(engine)
        results.append({k: v.at_seconds for k, v in completions(outputs).items()})
    assert results[0] == pytest.approx(results[1])
