"""Fixed seeds violate no property, and planted faults are found by the property they violate."""

import logging
from pathlib import Path

import pytest

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.bench.fuzz.oracle import Oracle, SentRequest
from foxwinch.bench.fuzz.run import run_seed
from foxwinch.bench.fuzz.world import PropertyBrokenError, World
from foxwinch.emulator.in_process import InProcessTools
from foxwinch.outcomes import Reason, RunState, not_run
from foxwinch.settings.load import load_cluster_configuration

PHYSIO = load_cluster_configuration(Path(__file__).parents[1] / "examples" / "physio.toml")


@pytest.fixture(autouse=True)
def quiet():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def history(*contents):
    return [HistoryMessage(content=content) for content in contents]


def oracle():
    first, second = SentRequest("a 1", response="one"), SentRequest("a 2", response="two")
    return Oracle({"a": [first, second], "b": [SentRequest("b 1", response="other")]})


@pytest.mark.parametrize(
    ("contents", "problem"),
    [
        (("a 1", "one", "a 2", "two"), ""),
        (("a 1", "one"), "lost a 2"),
        (("a 1", "a 2", "two"), "lost the answer to a 1"),
        (("a 2", "two", "a 1", "one"), "order"),
        (("a 1", "one", "a 1", "one", "a 2", "two"), "twice"),
        (("a 1", "one", "a 2", "two", "b 1"), "holds 'b 1'"),
    ],
)
def test_the_oracle_judges_histories(contents, problem):
    problems = "; ".join(oracle().history_problems("a", history(*contents)))
    assert (problem in problems) if problem else not problems


def test_the_oracle_judges_refusals_and_tools():
    refused = SentRequest("a 1", "session-log", refused=RunState.NOT_RUN)
    answered = SentRequest("a 2", "session-log", response="logged")
    judge = Oracle({"a": [refused, answered]})
    assert judge.tool_problems({"a 2": 1}) == []
    assert "not run is true" in judge.tool_problems({"a 1": 1, "a 2": 1})[0]
    assert "at most once" in judge.tool_problems({"a 2": 2})[0]
    assert "never ran" in judge.tool_problems({})[0]
    assert judge.revision_problems("n", 4) == []
    assert "went from 4 to 3" in judge.revision_problems("n", 3)[0]


def test_fixed_seed_violates_no_property():
    assert run_seed(PHYSIO, seed=1, runs=2, steps=10) == ""


@pytest.mark.parametrize("fault", ["runs twice", "says not run although it ran"])
def test_planted_fault_is_found(monkeypatch, fault):
    call = InProcessTools.call

    async def faulty(self, order):
        result = await call(self, order)
        if fault == "runs twice":
            return await call(self, order)
        return not_run(Reason.INVALID_REQUEST, "planted") if result else result

    monkeypatch.setattr(InProcessTools, "call", faulty)
    world = World(PHYSIO, 3, seed=1)
    try:
        world.create("program-1", 0)
        world.tool("program-1", 1)
        world.advance(5.0)
        with pytest.raises(PropertyBrokenError, match=r"at most once|not run is true"):
            world.check()
    finally:
        world.close()
