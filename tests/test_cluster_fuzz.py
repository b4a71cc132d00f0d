"""Whole clusters keep every property under faults, and a bug planted for each property is found."""

import logging

import pytest

from foxwinch.bench.cluster_fuzz import oracle
from foxwinch.bench.cluster_fuzz.client import CallKind
from foxwinch.bench.cluster_fuzz.machine import ClusterMachine
from foxwinch.bench.cluster_fuzz.oracle import PropertyError
from foxwinch.bench.cluster_fuzz.planted import PLANTED, restore
from foxwinch.bench.cluster_fuzz.runner import run_seed

SEEDS = (1, 2, 3)
"""Fixed, so that every run has the same verdict."""
MODEL, REPEATABLE, ONCE = CallKind


@pytest.fixture(autouse=True)
def _quiet():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)
    restore()


def talk(cluster, kind, calls=1):
    cluster.converse(choice=0, which=0, kind=kind, again=calls)
    cluster.hold()


def lose_tool_answers(cluster):
    cluster.tools(fault="answers lost")
    for _ in range(8):
        talk(cluster, ONCE)
        cluster.wait(seconds=8.0)
        cluster.hold()


def repeat_late(cluster):
    talk(cluster, REPEATABLE)
    talk(cluster, ONCE)
    cluster.wait(seconds=8.0)
    cluster.hold()


def spend(cluster):
    for _ in range(6):
        cluster.converse(choice=0, which=1, kind=ONCE, again=1)
    cluster.read(choice=0, which=1)


def lose_owner(cluster):
    talk(cluster, MODEL, 2)
    for choice in range(3):
        cluster.kill(choice=choice)
        cluster.wait(seconds=30.0)
    cluster.hold()


def answer(cluster):
    talk(cluster, MODEL)
    cluster.wait(seconds=1.0)
    cluster.hold()


def leave(cluster):
    cluster.worker_leaves(which=1)
    cluster.worker_leaves(which=2)
    cluster.wait(seconds=30.0)
    for which in range(3):
        cluster.converse(choice=which, which=which, kind=MODEL, again=3)
        cluster.hold()


def roll_out(cluster):
    for choice in range(6):
        cluster.call(choice=choice, which=choice, kind=MODEL, again=3)
        cluster.rollout(choice=choice)


def reconfigure(cluster):
    for rate in (600, 700, 800):
        cluster.change_configuration(one=0, other=1, rate=rate)
        cluster.wait(seconds=8.0)
        cluster.hold()
    for _ in range(60):
        cluster.hold()


STEPS = {
    oracle.ORDER: repeat_late,
    oracle.HISTORY: lose_owner,
    oracle.BUDGET: spend,
    oracle.MEMORY: answer,
    oracle.WHOLE: answer,
    oracle.NOT_RUN: lose_tool_answers,
    oracle.ONCE: lose_tool_answers,
    oracle.LEAVING: leave,
    oracle.PLANNED: roll_out,
    oracle.CONFIGURATION: reconfigure,
}


def run_steps(name, decorate):
    """Take the steps on a cluster of three; return the property that broke."""
    machine = type("StepMachine", (ClusterMachine,), {"decorate": decorate})()
    try:
        machine.begin(nodes=3, seed=1)
        machine.hold()
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
