"""Scheduling experiments are deterministic, and every program ends under every policy."""

import json

import pytest

from foxwinch.bench.schedule.command import Experiment, encode_document, experiment_document
from foxwinch.bench.schedule.decision_cost import measure_decisions
from foxwinch.bench.schedule.deployments import DEPLOYMENTS
from foxwinch.bench.schedule.experiment import Trial, run_trial
from foxwinch.bench.schedule.policies import POLICY_NAMES
from foxwinch.bench.schedule.report import write_report
from foxwinch.bench.schedule.workload import Window, build_workload
from foxwinch.emulator.engine_parameters import load_engine_parameters

SHORT = Window(5.0, 25.0, 5.0)


def trial(policy: str, deployment: str = "physio") -> Trial:
    return Trial(deployment, 0.5, 1, policy, keep_samples=True, window=SHORT)


def test_same_seed_gives_an_identical_document_and_a_report(tmp_path) -> None:
    names = ("foxwinch", "prefix-affinity", "clairvoyant")
    experiment = Experiment("physio", (0.5,), (1,))
    texts, results = [], []
    for _ in range(2):
        results = [run_trial(trial(name)) for name in names]
        texts.append(encode_document(experiment_document(experiment, results)))
    assert texts[0] == texts[1]
    document = json.loads(texts[0])
    figures = document["loads"]["0.5"]["foxwinch"]["coaching"]
    assert set(figures["program_latency_seconds"]) == {"mean", "p50", "p95", "p99"}
    write_report(tmp_path, document, results, measure_decisions((4,), (10,)))
    assert "| foxwinch | coaching |" in (tmp_path / "report.md").read_text()
    assert (tmp_path / "timeline.png").stat().st_size > 0


@pytest.mark.parametrize("policy", POLICY_NAMES)
def test_every_program_ends_under_every_policy(policy: str) -> None:
    figures = run_trial(trial(policy, "cledwyn")).classes["all"]
    assert figures.programs > 50
    assert figures.refused == 0
    assert figures.throughput > 0
    assert 0 <= figures.wasted_prefill_tokens <= figures.prefill_tokens


def test_a_seed_gives_the_same_programs_at_every_load() -> None:
    parameters = load_engine_parameters()
    low = build_workload(DEPLOYMENTS["cledwyn"], 0.5, 3, parameters, SHORT)
    high = build_workload(DEPLOYMENTS["cledwyn"], 0.9, 3, parameters, SHORT)
    by_number = {plan.number: plan.calls for plan in high.programs}
    assert all(by_number[plan.number] == plan.calls for plan in low.programs)
    assert len(high.programs) > 1.5 * len(low.programs)


def test_cache_of_ended_programs_is_held_no_longer_than_one_release_takes() -> None:
    foxwinch = run_trial(trial("foxwinch", "cledwyn"))
    baseline = run_trial(trial("least-loaded", "cledwyn"))
    assert foxwinch.classes["all"].held_dead_token_seconds <= foxwinch.release_bound_token_seconds
    assert baseline.classes["all"].held_dead_token_seconds > baseline.release_bound_token_seconds
