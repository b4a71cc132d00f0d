"""Simulated clusters keep every property under faults; a bug planted for each one is detected."""

import logging

import pytest

from foxwinch.bench.cluster_fuzz import oracle
from foxwinch.bench.cluster_fuzz.client import CallKind
from foxwinch.bench.cluster_fuzz.machine import ClusterMachine
from foxwinch.bench.cluster_fuzz.oracle import PropertyError
from foxwinch.bench.cluster_fuzz.planted import PLANTED, restore
from foxwinch.bench.cluster_fuzz.runner import run_seed

SEEDS = (1, 2, 3)
"""Fixed seeds, so that every run has the same result."""
MODEL, REPEATABLE, ONCE = CallKind


@pytest.fixture(autouse=True)
def _quiet():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)
    restore()


def send_calls(cluster, kind, calls=1):
    cluster.converse(choice=0, which=0, kind=kind, again=calls)
    cluster.check_properties()


def lose_tool_answers(cluster):
    cluster.tools(fault="answers lost")
    for _ in range(8):
        send_calls(cluster, ONCE)
        cluster.wait(seconds=8.0)
        cluster.check_properties()


def repeat_late(cluster):
    send_calls(cluster, REPEATABLE)
    send_calls(cluster, ONCE)
    cluster.wait(seconds=8.0)
    cluster.check_properties()


def exceed_budget(cluster):
    for _ in range(6):
        cluster.converse(choice=0, which=1, kind=ONCE, again=1)
    cluster.read(choice=0, which=1)


def kill_owners(cluster):
    send_calls(cluster, MODEL, 2)
    for choice in range(3):
        cluster.kill(choice=choice)
        cluster.wait(seconds=30.0)
    cluster.check_properties()


def complete_one_call(cluster):
    send_calls(cluster, MODEL)
    cluster.wait(seconds=1.0)
    cluster.check_properties()


def drain_workers(cluster):
    cluster.worker_leaves(which=1)
    cluster.worker_leaves(which=2)
    cluster.wait(seconds=30.0)
    for which in range(3):
        cluster.converse(choice=which, which=which, kind=MODEL, again=3)
        cluster.check_properties()


def roll_out(cluster):
    for choice in range(6):
        cluster.call(choice=choice, which=choice, kind=MODEL, again=3)
        cluster.rollout(choice=choice)


def reconfigure(cluster):
    for rate in (600, 700, 800):
        cluster.change_configuration(one=0, other=1, rate=rate)
        cluster.wait(seconds=8.0)
        cluster.check_properties()
    for _ in range(60):
        cluster.check_properties()


STEPS = {
    oracle.ORDER: repeat_late,
    oracle.HISTORY: kill_owners,
    oracle.BUDGET: exceed_budget,
    oracle.MEMORY: complete_one_call,
    oracle.COMPLETE: complete_one_call,
    oracle.NOT_RUN: lose_tool_answers,
    oracle.ONCE: lose_tool_answers,
    oracle.LEAVING: drain_workers,
    oracle.PLANNED: roll_out,
    oracle.CONFIGURATION: reconfigure,
}


def run_steps(name, decorate):
    """Run the steps on a cluster of three nodes; return the name of the violated property."""
    machine = type("StepMachine", (ClusterMachine,), {"decorate": decorate})()
    try:
        machine.begin(nodes=3, seed=1)
        machine.check_properties()
        STEPS[name](machine)
        machine._settle()
    except PropertyError as error:
        return error.name
    finally:
        machine.world.close()
        restore()
    return None


@pytest.mark.parametrize("seed", SEEDS)
def test_clusters_keep_every_property(seed):
    assert run_seed(seed, clusters=1) is None


@pytest.mark.parametrize("name", STEPS)
def test_planted_bug_is_found(name):
    assert run_steps(name, staticmethod(PLANTED[name])) == name


@pytest.mark.parametrize("name", [oracle.HISTORY, oracle.ONCE, oracle.PLANNED])
def test_same_steps_hold_without_the_bug(name):
    assert run_steps(name, None) is None
