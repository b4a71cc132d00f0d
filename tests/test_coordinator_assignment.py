"""Tests of worker assignment: a single stable holder that is replaced when it dies."""

from hypothesis import given, settings
from hypothesis import strategies as st

from foxwinch.core.coordinator.assignment import (
    HANDOVER_DELAY_SECONDS,
    SETTLING_SECONDS,
    Candidate,
    Claim,
    CoordinatorAssignment,
    CoordinatorState,
    Holder,
    Lost,
    Release,
    Resource,
    Resync,
    preferred_node,
)
from foxwinch.identifiers import Epoch, NodeId, RegionName, ZoneName

REGION = RegionName("cymru")
WORKER = Resource("worker/llm-1", ZoneName("z1"))
node_names = st.sampled_from([NodeId(f"n{i}") for i in range(8)])
candidate_sets = st.dictionaries(
    node_names, st.sampled_from(["z1", "z2"]), min_size=1, max_size=8
).map(lambda zones: [Candidate(n, ZoneName(z), REGION) for n, z in sorted(zones.items())])


def candidates(*nodes):
    return [Candidate(NodeId(node), ZoneName("z1"), REGION) for node in nodes]


def serving(node, now=10.0):
    """Return the assignment of a node that serves the worker under epoch 1."""
    assignment = CoordinatorAssignment(NodeId(node), REGION, now - SETTLING_SECONDS)
    assignment.update_resources([WORKER])
    assignment.update_candidates(candidates(node))
    assert assignment.advance(now) == [Claim(WORKER.name)]
    assert assignment.claimed(WORKER.name, Epoch(1)) == [Resync(WORKER.name, Epoch(1))]
    assignment.resynced(WORKER.name, Epoch(1))
    assert assignment.state(WORKER.name) is CoordinatorState.SERVING
    return assignment


@given(candidate_sets)
def test_candidate_in_same_zone_is_preferred(members):
    chosen = preferred_node(WORKER, members, REGION)
    same_zone = {c.node for c in members if c.zone == WORKER.zone}
    assert chosen in (same_zone or {c.node for c in members})


@given(candidate_sets, node_names)
def test_removed_member_reassigns_only_its_own_workers(members, removed):
    workers = [Resource(f"worker/{i}", None) for i in range(20)]
    rest = [c for c in members if c.node != removed]
    for worker in workers:
        before = preferred_node(worker, members, REGION)
        if before != removed and rest:
            assert preferred_node(worker, rest, REGION) == before


def test_region_without_candidates_has_no_coordinator():
    assert preferred_node(WORKER, candidates("a"), RegionName("elsewhere")) is None


def test_live_holder_keeps_its_worker():
    assignment = CoordinatorAssignment(NodeId("a"), REGION, 0.0)
    assignment.update_resources([WORKER])
    assignment.update_candidates(candidates("a"))
    assignment.update_holders({WORKER.name: Holder(NodeId("b"), Epoch(4))})
    assert assignment.advance(100.0) == []
    assignment.update_holders({})
    assert assignment.advance(101.0) == [Claim(WORKER.name)]


def test_starting_node_waits_for_missing_digests():
    assignment = CoordinatorAssignment(NodeId("a"), REGION, 0.0)
    assignment.update_resources([WORKER])
    assignment.update_candidates(candidates("a"))
    assignment.update_missing_digests(True)
    assert assignment.advance(SETTLING_SECONDS) == []
    assignment.update_missing_digests(False)
    assert assignment.advance(SETTLING_SECONDS) == [Claim(WORKER.name)]


def test_refused_claim_is_retried():
    assignment = CoordinatorAssignment(NodeId("a"), REGION, 0.0)
    assignment.update_resources([WORKER])
    assignment.update_candidates(candidates("a"))
    assert assignment.advance(10.0) == [Claim(WORKER.name)]
    assignment.refused(WORKER.name, 10.0)
    assert assignment.advance(10.1) == []
    assert assignment.advance(11.0) == [Claim(WORKER.name)]


def node_preferred_over_a():
    return next(
        name
        for name in (f"n{i}" for i in range(100))
        if preferred_node(WORKER, candidates("a", name), REGION) == name
    )


def test_flapping_member_causes_no_handover_but_stable_one_does():
    assignment, better = serving("a"), node_preferred_over_a()
    now = 10.0
    for _ in range(20):
        now += HANDOVER_DELAY_SECONDS * 0.6
        assignment.update_candidates(candidates("a", better))
        assert assignment.advance(now) == []
        now += 0.1
        assignment.update_candidates(candidates("a"))
        assert assignment.advance(now) == []
    assignment.update_candidates(candidates("a", better))
    assert assignment.advance(now) == []
    assert assignment.advance(now + HANDOVER_DELAY_SECONDS) == [Release(WORKER.name, Epoch(1))]
    assert assignment.held() == {WORKER.name: Epoch(1)}
    assignment.released(WORKER.name, Epoch(1))
    assert assignment.held() == {}


def test_holder_that_resumes_after_takeover_loses_the_worker():
    assignment = serving("a")
    assignment.update_epochs({WORKER.name: Epoch(2)})
    assignment.update_holders({WORKER.name: Holder(NodeId("b"), Epoch(2))})
    assert assignment.advance(60.0) == [Lost(WORKER.name, Epoch(1))]
    assert assignment.state(WORKER.name) is CoordinatorState.UNASSIGNED


def test_draining_node_releases_workers_and_claims_none():
    assignment = serving("a")
    assignment.drain()
    assert assignment.advance(11.0) == [Release(WORKER.name, Epoch(1))]
    assignment.released(WORKER.name, Epoch(1))
    assert assignment.advance(12.0) == []


def test_unconfigured_worker_is_released():
    assignment = serving("a")
    assignment.update_resources([])
    assert assignment.advance(11.0) == [Release(WORKER.name, Epoch(1))]


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(st.sampled_from(["up", "down"]), st.integers(0, 3), st.floats(0.0, 8.0)),
        max_size=25,
    )
)
def test_nodes_with_same_view_converge_on_one_holder_with_highest_epoch(steps):
    names = [f"n{i}" for i in range(4)]
    cluster = {n: CoordinatorAssignment(NodeId(n), REGION, 0.0) for n in names}
    up, epoch, now = set(names), 0, 0.0
    for action, index, pause in [*steps, ("up", 0, 8.0)] + [("up", 0, 6.0)] * 6:
        now += pause
        up = (up | {names[index]}) if action == "up" else (up - {names[index]})
        for name in sorted(up):
            node = cluster[name]
            holders = highest_holder(cluster, up)
            node.update_resources([WORKER])
            node.update_candidates(candidates(*sorted(up)))
            node.update_holders(holders)
            node.update_epochs({WORKER.name: Epoch(epoch)})
            for decided in node.advance(now):
                if isinstance(decided, Claim):
                    epoch += 1
                    node.claimed(WORKER.name, Epoch(epoch))
                    node.resynced(WORKER.name, Epoch(epoch))
    serving_now = [n for n in up if cluster[n].state(WORKER.name) is CoordinatorState.SERVING]
    assert len(serving_now) == 1
    assert cluster[serving_now[0]].held()[WORKER.name] == epoch


def releasing(node):
    return node.state(WORKER.name) is CoordinatorState.RELEASING


def highest_holder(cluster, up):
    held = [(cluster[n].held()[WORKER.name], n) for n in up if cluster[n].held()]
    if not held:
        return {}
    epoch, node = max(held)
    return {WORKER.name: Holder(NodeId(node), epoch, releasing(cluster[node]))}
