"""Requests forwarded to a draining node are finished, or refused with the right run state."""

import asyncio
from dataclasses import replace

import pytest

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.commands.requests import ModelCallRequest
from foxwinch.core.program.call_events import CallChunks, CallFinished, CallStarted
from foxwinch.emulator.virtual_cluster import DRAIN_SECONDS
from foxwinch.identifiers import ModelName, ProgramId
from foxwinch.outcomes import Refused, RunState
from test_virtual_cluster import TENANT, has_converged, running_cluster, wait_until

pytestmark = [pytest.mark.looptime]
ANSWER_TOKENS = 200


def long_answers(cluster):
    for engine in cluster.engines.values():
        engine.settings = replace(engine.settings, maximum_answer_tokens=ANSWER_TOKENS)


async def serve_programs(virtual, *names):
    """Make a node serve programs by running their first calls on it."""
    for name in names:
        assert [event async for event in virtual.execute(call_of(name, "first"))]


def call_of(name, text="hello"):
    return ModelCallRequest(
        tenant=TENANT,
        program_id=ProgramId(f"{TENANT}/{name}"),
        model=ModelName("plan-llm"),
        messages=(HistoryMessage(role="user", content=text),),
        append=True,
        maximum_tokens=ANSWER_TOKENS,
    )


async def test_a_forwarded_answer_that_is_read_slowly_is_not_interrupted_by_a_drain():
    async with running_cluster(3) as cluster:
        await wait_until(cluster, lambda: has_converged(cluster))
        long_answers(cluster)
        leaving, first, _ = cluster.nodes.values()
        name = "program"
        await serve_programs(leaving, name)
        answer = first.execute(call_of(name))
        assert isinstance(await anext(answer), CallStarted)
        drained = asyncio.create_task(cluster.drain(leaving))
        await cluster.clock.sleep(DRAIN_SECONDS / 2)
        tokens, last = 0, None
        async for last in answer:
            if isinstance(last, CallChunks):
                tokens += len(last.chunks)
        assert isinstance(last, CallFinished)
        assert tokens == ANSWER_TOKENS
        assert await drained


async def test_programs_that_are_never_all_idle_are_handed_over_without_interrupting_calls():
    async with running_cluster(3) as cluster:
        await wait_until(cluster, lambda: has_converged(cluster))
        long_answers(cluster)
        leaving, first, second = cluster.nodes.values()
        names = [f"program-{number}" for number in range(12)]
        await serve_programs(leaving, *names)
        ends = []

        async def converse(number, name):
            await cluster.clock.sleep(number / 4)
            for turn in range(16):
                node = (first, second)[turn % 2]
                last = [event async for event in node.execute(call_of(name, f"turn {turn}"))][-1]
                ends.append((cluster.clock.monotonic(), last))
                if isinstance(last, Refused):
                    assert last.retry_after_seconds is not None, last
                    await cluster.clock.sleep(last.retry_after_seconds)

        conversations = [asyncio.create_task(converse(*item)) for item in enumerate(names)]
        await cluster.clock.sleep(3.0)
        was_drained = await cluster.drain(leaving)
        handed_over_at = cluster.clock.monotonic()
        await asyncio.gather(*conversations)
        refused = [last for _, last in ends if isinstance(last, Refused)]
        assert {refusal.run_state for refusal in refused} <= {RunState.NOT_RUN}
        assert was_drained
        assert any(isinstance(last, CallFinished) for at, last in ends if at > handed_over_at)
