"""A configuration reaches every node, never reverts, and no change is applied twice."""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from configuration_cluster import DOCUMENT, FakeCluster, document_with
from foxwinch._generated.configuration_pb2 import ConfigurationChange
from foxwinch.commands.apply_configuration import ApplyConfiguration
from foxwinch.configuration.store import ConfigurationStore
from foxwinch.core.configuration.change import Change, ChangeAccepted
from foxwinch.core.configuration.document import (
    Delta,
    build_document_state,
    compute_delta,
    split_entries,
)
from foxwinch.core.configuration.replica import ConfigurationReplica
from foxwinch.emulator.faults import ServiceFaults
from foxwinch.outcomes import Reason, Refused, RunState, not_run, outcome_unknown

ACTIVATION_SECONDS = 5.0


@pytest.fixture
def cluster():
    cluster = FakeCluster(seed=1)
    yield cluster
    cluster.close()
    assert cluster.failures == []


def apply(cluster, node, token, expected, document):
    return cluster.run(node.service.apply(ApplyConfiguration(token, expected, document)))


def rate_at(node):
    snapshot = node.service.current()
    return snapshot if isinstance(snapshot, Refused) else (
        snapshot.revision, snapshot.document.tenants[0].requests_per_second,
    )  # fmt: skip


def test_change_is_active_at_every_node_in_time(cluster):
    nodes = [cluster.start_node() for _ in range(7)]
    assert apply(cluster, nodes[0], "change-one", 1, document_with(7)) == ChangeAccepted(2)
    cluster.run(asyncio.sleep(ACTIVATION_SECONDS))
    assert [rate_at(node) for node in nodes] == [(2, 7.0)] * 7


def test_change_reaches_partitioned_nodes_through_the_table(cluster):
    nodes = [cluster.start_node() for _ in range(4)]
    cluster.cut = {3, 4}
    apply(cluster, nodes[0], "change-one", 1, document_with(7))
    cluster.run(asyncio.sleep(ACTIVATION_SECONDS))
    assert rate_at(nodes[3]) == (2, 7.0)


def test_conflicting_change_reports_the_newer_revision(cluster):
    nodes = [cluster.start_node() for _ in range(2)]
    changes = [
        node.service.apply(ApplyConfiguration(f"racing-{rate}", 1, document_with(rate)))
        for rate, node in enumerate(nodes, start=5)
    ]

    async def both():
        return await asyncio.gather(*changes)

    outcomes = cluster.run(both())
    accepted = [o for o in outcomes if isinstance(o, ChangeAccepted)]
    refused = [o for o in outcomes if isinstance(o, Refused)]
    assert (len(accepted), len(refused)) == (1, 1)
    assert (refused[0].reason, refused[0].run_state) == (Reason.CONFLICT, RunState.NOT_RUN)
    assert "revision 2 is in force" in refused[0].detail


class ResponseLosingStore:
    """A store whose next transactions take effect but lose their responses."""

    def __init__(self, records, losses):
        self.records, self.losses = records, losses
        self.read = records.read

    async def transact(self, *transaction):
        outcome = await self.records.transact(*transaction)
        self.losses -= 1
        if self.losses >= 0:
            return outcome_unknown(Reason.STORE_UNAVAILABLE, "answer lost")
        return outcome

    async def unreadable(self, *_):
        return not_run(Reason.STORE_UNAVAILABLE, "down")


def test_lost_response_is_resolved_by_reading_back(cluster):
    node = cluster.start_node()
    node.service._store = ConfigurationStore(ResponseLosingStore(node.records, 1))
    assert apply(cluster, node, "change-one", 1, document_with(7)) == ChangeAccepted(2)
    assert apply(cluster, node, "change-one", 1, document_with(7)) == ChangeAccepted(2)
    assert apply(cluster, node, "change-two", 1, document_with(8)).reason is Reason.CONFLICT
    assert rate_at(node) == (2, 7.0)


def test_change_with_undeterminable_outcome_is_reported_unknown(cluster):
    node = cluster.start_node()
    records = ResponseLosingStore(node.records, 1)

    async def lose_then_fail(*transaction):
        records.read = records.unreadable
        return await ResponseLosingStore.transact(records, *transaction)

    records.transact = lose_then_fail
    node.service._store = ConfigurationStore(records)
    outcome = apply(cluster, node, "change-one", 1, document_with(7))
    assert outcome.run_state is RunState.UNKNOWN
    again = ApplyConfiguration("change-one", 1, document_with(7), repeated=True)
    assert cluster.run(node.service.apply(again)).run_state is RunState.UNKNOWN
    node.service._store = ConfigurationStore(node.records)
    assert cluster.run(node.service.apply(again)) == ChangeAccepted(2)


def test_invalid_document_is_refused(cluster):
    node = cluster.start_node()
    broken = DOCUMENT.model_copy(update={"default_template": "absent"})
    outcome = apply(cluster, node, "change-one", 1, broken)
    assert (outcome.reason, outcome.run_state) == (Reason.INVALID_REQUEST, RunState.NOT_RUN)
    assert "default_template" in outcome.detail


def test_node_refuses_to_serve_a_stale_revision(cluster):
    nodes = [cluster.start_node() for _ in range(2)]
    nodes[1].records.gate.faults = ServiceFaults(down=True)
    apply(cluster, nodes[0], "change-one", 1, document_with(7))
    entry = max(nodes[0].held.entries(2).values(), key=lambda e: e.version)
    cluster.cut = {2}
    newer = type(entry)(entry.kind, "revision-3", 3, b"\x08\x03")
    nodes[1].arrive(newer)
    outcome = nodes[1].service.current()
    assert (outcome.reason, outcome.run_state) == (Reason.STALE_CONFIGURATION, RunState.NOT_RUN)


def test_starting_node_learns_from_peers_while_the_table_is_down(cluster):
    nodes = [cluster.start_node() for _ in range(2)]
    apply(cluster, nodes[0], "change-one", 1, document_with(7))
    cluster.run(asyncio.sleep(ACTIVATION_SECONDS))
    late = cluster.start_node(down=True)
    assert rate_at(late) == (2, 7.0)
    cluster.cut = {4}
    isolated = cluster.start_node(down=True)
    assert isolated.service.current().reason is Reason.STALE_CONFIGURATION


def test_change_that_conflicts_with_its_own_retry_is_not_reported_as_not_run(cluster):
    node = cluster.start_node()
    transact = node.records.transact

    async def transact_twice_then_fail(*arguments):
        await transact(*arguments)
        answer = await transact(*arguments)
        node.records.gate.faults = ServiceFaults(down=True)
        return answer

    node.records.transact = transact_twice_then_fail
    outcome = apply(cluster, node, "change-one", 1, document_with(7))
    assert outcome.run_state is RunState.UNKNOWN
    node.records.gate.faults = ServiceFaults()
    command = ApplyConfiguration("change-one", 1, document_with(7), repeated=True)
    assert cluster.run(node.service.apply(command)) == ChangeAccepted(2)


def test_status_lists_the_revision_at_each_node(cluster):
    nodes = [cluster.start_node() for _ in range(3)]
    cluster.cut = {3}
    rows = cluster.run(nodes[0].service.revisions_at_nodes())
    assert {row.node: row.held for row in rows} == {"node-1": 1, "node-2": 1, "node-3": None}


def test_large_documents_are_chunked_and_small_changes_stay_small(cluster):
    template = DOCUMENT.tenants[0]
    tenants = tuple(
        template.model_copy(update={"name": f"tenant-{i}", "key_hashes": (f"{i * 7919:064x}",)})
        for i in range(7_800)
    )
    large = DOCUMENT.model_copy(update={"tenants": tenants})
    node = cluster.start_node()
    assert apply(cluster, node, "large-one", 1, large) == ChangeAccepted(2)
    changed = (tenants[0].model_copy(update={"requests_per_second": 3.0}), *tenants[1:])
    small = large.model_copy(update={"tenants": changed})
    assert apply(cluster, node, "small-one", 2, small) == ChangeAccepted(3)
    rows = cluster.model.rows_of("configuration")
    (third,) = (rows[row] for row in rows if row.key == "revision/000000000003")
    assert len(third) < 480
    fresh = cluster.start_node()
    assert fresh.service.status().held_revision == 3
    assert max(map(len, cluster.model.rows_of("configuration").values())) <= 33 * 1024


def test_older_document_arriving_late_is_ignored():
    replica = ConfigurationReplica()
    for revision, rate in ((2, 7), (1, 3)):
        state = build_document_state(split_entries(document_with(rate)))
        whole = Change(revision, 0, "token", state.digest, Delta(state.entries))
        replica.receive(whole)
    assert replica.held_revision == 2
    assert replica.held.state.document.tenants[0].requests_per_second == 7.0


def test_unknown_field_of_a_newer_version_is_ignored():
    entries = split_entries(DOCUMENT)
    entries["tenants/seat-reservations"] = '{"name":"seat-reservations","colour":"red"}'
    state = build_document_state(entries)
    assert state.document.tenants[0].name == "seat-reservations"
    delta = compute_delta(entries, split_entries(DOCUMENT))
    assert state.apply(delta).digest == build_document_state(split_entries(DOCUMENT)).digest


class ConfigurationMachine(RuleBasedStateMachine):
    """Oracle: each accepted revision identifies exactly one document."""

    def __init__(self):
        super().__init__()
        self.cluster = FakeCluster(seed=0)
        self.accepted = {}
        self.sent = {}
        self.served = {}
        self.tokens = 0

    @initialize(nodes=st.integers(2, 4), seed=st.integers(0, 1000))
    def begin(self, nodes, seed):
        self.cluster.clock.random.seed(seed)
        for _ in range(nodes):
            self.cluster.start_node()

    def node(self, choice):
        numbers = sorted(self.cluster.nodes)
        return self.cluster.nodes[numbers[choice % len(numbers)]]

    @rule(choice=st.integers(0, 9), behind=st.integers(0, 2), rate=st.integers(1, 99))
    def change(self, choice, behind, rate):
        node = self.node(choice)
        expected = max(1, node.service.status().held_revision - behind)
        self.tokens += 1
        self.send(node, f"token-{self.tokens:04d}", expected, rate)

    @precondition(lambda self: self.sent)
    @rule(choice=st.integers(0, 9), which=st.integers(0, 9))
    def change_again(self, choice, which):
        token = sorted(self.sent)[which % len(self.sent)]
        self.send(self.node(choice), token, *self.sent[token][:2])

    def tokens_in_store(self):
        rows = self.cluster.model.rows_of("configuration")
        return {
            ConfigurationChange.FromString(value).token
            for row, value in rows.items()
            if row.key.startswith("revision/")
        }

    def check_not_run_changes_had_no_effect(self):
        """Check before a change is sent again, since it may take effect then."""
        not_run = {token for token, sent in self.sent.items() if sent[2] is RunState.NOT_RUN}
        assert not not_run & self.tokens_in_store(), "a change reported as not run took effect"

    def send(self, node, token, expected, rate):
        self.check_not_run_changes_had_no_effect()
        command = ApplyConfiguration(token, expected, document_with(rate), token in self.sent)
        outcome = self.cluster.run(node.service.apply(command))
        if isinstance(outcome, ChangeAccepted):
            same = self.accepted.setdefault(outcome.revision, float(rate))
            assert same == rate, "two documents accepted as one revision"
        state = RunState.RAN if isinstance(outcome, ChangeAccepted) else outcome.run_state
        self.sent[token] = (expected, rate, state)

    @rule(choice=st.integers(0, 9), fault=st.sampled_from(["down", "silent", "lost", "none"]))
    def table_fault(self, choice, fault):
        faults = {
            "down": ServiceFaults(down=True),
            "silent": ServiceFaults(silent=True),
            "lost": ServiceFaults(lose_answer_probability=0.5, duplicate_probability=0.3),
            "none": ServiceFaults(),
        }
        self.node(choice).records.gate.faults = faults[fault]

    @rule(loss=st.sampled_from([0.0, 0.3, 1.0]), cut=st.sets(st.integers(1, 6), max_size=3))
    def network(self, loss, cut):
        self.cluster.loss, self.cluster.cut = loss, cut

    @precondition(lambda self: len(self.cluster.nodes) > 2)
    @rule(choice=st.integers(0, 9))
    def kill(self, choice):
        self.cluster.kill(self.node(choice).number)

    @precondition(lambda self: len(self.cluster.nodes) < 5)
    @rule(down=st.booleans())
    def start(self, down):
        self.cluster.start_node(down=down)

    @rule(seconds=st.sampled_from([0.05, 1.0, 10.0]))
    def wait(self, seconds):
        self.cluster.run(asyncio.sleep(seconds))

    @invariant()
    def revision_never_decreases_or_lags_the_known_one(self):
        for node in self.cluster.nodes.values():
            served = rate_at(node)
            if isinstance(served, Refused):
                assert served.run_state is RunState.NOT_RUN
                continue
            revision, rate = served
            assert revision >= self.served.get(node.number, 0)
            assert revision >= node.highest_received
            assert self.accepted.setdefault(revision, rate) == rate
            self.served[node.number] = revision

    def teardown(self):
        cluster = self.cluster
        cluster.loss, cluster.cut = 0.0, set()
        for node in cluster.nodes.values():
            node.records.gate.faults = ServiceFaults()
        cluster.run(asyncio.sleep(2 * ACTIVATION_SECONDS))
        views = {rate_at(node) for node in cluster.nodes.values()}
        self.check_not_run_changes_had_no_effect()
        cluster.close()
        assert cluster.failures == []
        assert len(views) <= 1, "nodes hold different configurations after the faults ended"
        assert not any(isinstance(view, Refused) for view in views)


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
