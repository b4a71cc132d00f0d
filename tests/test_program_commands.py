"""Program commands on virtual time: events for callers, dispatched work and journal records."""

import asyncio

import pytest

from foxwinch._generated.journal_pb2 import CallOutcome, HistoryMessage, JournalRecord
from foxwinch._generated.operator_pb2 import ListProgramsRequest
from foxwinch.commands.abandon_program import AbandonCommand
from foxwinch.commands.end_program import end_program
from foxwinch.commands.forward import Forwarder
from foxwinch.commands.operator import Accepted
from foxwinch.commands.requests import (
    AttachRequest,
    CreateRequest,
    EndRequest,
    HistoryRequest,
    SpawnRequest,
)
from foxwinch.commands.sweep import RECONNECT_TIMEOUT_SECONDS, ProgramSweeper
from foxwinch.core.program.call_events import (
    CallChunks,
    CallFinished,
    CallStarted,
    ProgramDetails,
    ToolFinished,
)
from foxwinch.core.program.identity import scoped_program_id
from foxwinch.core.program.snapshot import snapshot_records
from foxwinch.emulator.network import MemoryNetwork, addresses
from foxwinch.identifiers import CallId, NodeId, TenantName
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.queries.programs import ServedPrograms
from foxwinch.records.program_trees import OpenedTree, OwnedElsewhere
from program_fakes import BROKEN, TENANT, Rig, collect

pytestmark = [pytest.mark.looptime]
PROGRAM = scoped_program_id(TENANT, "p")
TEXT = "the next train"


@pytest.fixture
def rig():
    return Rig()


def create(rig, template="journey-planner", program=PROGRAM):
    return collect(rig.router.execute(CreateRequest(TENANT, program, template)))


def end(rig, abandoned, program=PROGRAM):
    return collect(rig.router.execute(EndRequest(TENANT, program, abandoned, "test")))


def outcome_results(rig):
    records = (r for r in rig.journal.records if r.HasField("call_outcome"))
    return [(r.call_outcome.result, r.call_outcome.reason) for r in records]


async def test_intent_is_committed_before_dispatch_and_outcome_before_the_final_event(rig):
    events = rig.model()
    assert isinstance(await anext(events), CallStarted)
    kinds = [record.WhichOneof("record") for record in rig.journal.records]
    assert kinds == ["program_created", "call_admitted"]
    text, last = await collect(events)
    assert text == TEXT
    assert isinstance(last, CallFinished)
    assert outcome_results(rig) == [(CallOutcome.SUCCEEDED, "")]
    assert [m.content for m in rig.program().history] == ["hello", TEXT]
    assert rig.limits.unsettled == 0


async def test_calls_of_a_program_run_sequentially_in_order_of_arrival(rig):
    calls = [asyncio.create_task(collect(rig.model(f"turn {n}"))) for n in range(4)]
    await asyncio.gather(*calls)
    request = [m.content for m in rig.program().history if m.role == "user"]
    assert request == [f"turn {n}" for n in range(4)]
    assert [len(order.messages) for order in rig.engine.orders] == [1, 3, 5, 7]


async def test_a_call_without_a_grant_is_not_journaled(rig):
    rig.grants.refusal = not_run(Reason.OVERLOADED, "busy", 2.0)
    _, last = await collect(rig.model())
    assert last == rig.grants.refusal
    assert rig.journal.records == []
    assert rig.program() is None


async def test_an_intent_that_is_not_committed_is_never_dispatched(rig):
    rig.journal.refusals = [not_run(Reason.NO_QUORUM, "no replicas", 1.0)]
    _, last = await collect(rig.model())
    assert (last.reason, last.run_state) == (Reason.NO_QUORUM, RunState.NOT_RUN)
    assert rig.engine.orders == []
    assert rig.grants.settled[0].not_run


async def test_an_intent_that_may_be_committed_is_cancelled_in_the_journal(rig):
    rig.journal.kept_when_unknown = True
    rig.journal.refusals = [Refused(Reason.NO_QUORUM, RunState.UNKNOWN, "lost answer")]
    _, last = await collect(rig.model())
    assert last.run_state is RunState.NOT_RUN
    await rig.owner.wait_idle()
    assert rig.engine.orders == []
    assert outcome_results(rig) == [(CallOutcome.FAILED_NOT_RUN, "no_quorum")]
    text, _ = await collect(rig.model())
    assert text == TEXT


async def test_a_retry_after_a_lost_response_gets_the_first_answer(rig):
    first = rig.model(idempotency_key="k")
    await anext(first)
    await first.aclose()
    running = await collect(rig.model(idempotency_key="k"))
    ended = await collect(rig.model(idempotency_key="k"))
    assert running[0] == ended[0] == TEXT
    assert len(rig.engine.orders) == 1
    _, other = await collect(rig.model("something else", idempotency_key="k"))
    assert other.reason is Reason.CONFLICT


async def test_reconnect_resumes_from_the_offset(rig):
    first = rig.model(idempotency_key="k")
    started = await anext(first)
    assert isinstance(await anext(first), CallChunks)
    await first.aclose()
    request = AttachRequest(TENANT, PROGRAM, started.call_id, 1)
    while_running, _ = await collect(rig.router.execute(request))
    when_ended, last = await collect(rig.router.execute(request))
    assert while_running == when_ended == "next train"
    assert isinstance(last, CallFinished)


async def test_a_client_disconnect_cancels_the_engine_call_and_releases_reservations(rig):
    events = rig.model()
    await anext(events)
    await anext(events)
    await events.aclose()
    await rig.owner.wait_idle()
    assert rig.engine.cancelled == 1
    assert outcome_results(rig) == [(CallOutcome.FAILED_RAN, "cancelled")]
    assert rig.program().ledger.reserved.tokens == 0
    assert rig.program().history == []
    assert (rig.limits.unsettled, len(rig.grants.settled)) == (0, 1)


async def test_a_keyed_call_is_cancelled_when_no_client_reconnects(rig):
    rig.engine.pause_seconds = 10 * RECONNECT_TIMEOUT_SECONDS
    sweeper = ProgramSweeper(rig.owner)
    await sweeper.start()
    events = rig.model(idempotency_key="k")
    await anext(events)
    await events.aclose()
    await rig.owner.wait_idle()
    await sweeper.stop()
    assert rig.engine.cancelled == 1
    assert asyncio.get_running_loop().time() < 2 * RECONNECT_TIMEOUT_SECONDS


async def test_a_broken_stream_is_resumed_on_another_worker_without_duplicate_chunks(rig):
    rig.engine.failures = [(2, BROKEN)]
    text, last = await collect(rig.model())
    assert text == TEXT
    assert isinstance(last, CallFinished)
    assert [order.resume_offset for order in rig.engine.orders] == [0, 2]
    assert [usage.failed for usage in rig.grants.settled] == [True, False]


async def test_retries_are_bounded_and_the_failure_is_reported_as_ran(rig):
    rig.engine.failures = [(1, BROKEN)] * 9
    _, last = await collect(rig.model())
    assert (last.reason, last.run_state) == (Reason.BACKEND_FAILED, RunState.RAN)
    assert len(rig.engine.orders) == 3
    assert rig.program().ledger.reserved.tokens == 0


async def test_a_call_with_an_attempt_that_may_have_run_is_never_reported_not_run(rig):
    rig.engine.failures = [(0, BROKEN)]
    events = rig.model()
    assert isinstance(await anext(events), CallStarted)
    rig.grants.refusal = not_run(Reason.OVERLOADED, "busy", 2.0)
    _, last = await collect(events)
    assert (last.reason, last.run_state) == (Reason.OVERLOADED, RunState.UNKNOWN)
    assert last.retry_after_seconds == 2.0
    await create(rig, program=scoped_program_id(TENANT, "q"))
    hung = Refused(Reason.TOOL_TIMEOUT, RunState.UNKNOWN, "hung")
    rig.tools.answers = [hung, not_run(Reason.INVALID_REQUEST, "no")]
    _, last = await collect(rig.tool("timetable", name="q"))
    assert (last.reason, last.run_state) == (Reason.INVALID_REQUEST, RunState.UNKNOWN)


async def test_an_uncommitted_outcome_is_reported_unknown_and_found_after_the_commit(rig):
    lost = Refused(Reason.NO_QUORUM, RunState.UNKNOWN, "no replicas")
    rig.journal.refusals = [None, *[lost] * 10]
    _, last = await collect(rig.model(idempotency_key="k"))
    assert (last.run_state, last.retry_after_seconds) == (RunState.UNKNOWN, 1.0)
    await rig.owner.wait_idle()
    text, last = await collect(rig.model(idempotency_key="k"))
    assert text == TEXT
    assert len(rig.engine.orders) == 1


async def test_a_tool_that_may_have_run_is_not_run_again(rig):
    await create(rig)
    rig.tools.answers = [Refused(Reason.TOOL_TIMEOUT, RunState.UNKNOWN, "hung")]
    _, last = await collect(rig.tool("confirm-seats", idempotency_key="k"))
    _, again = await collect(rig.tool("confirm-seats", idempotency_key="k"))
    assert last.run_state is again.run_state is RunState.UNKNOWN
    assert len(rig.tools.orders) == 1


async def test_a_repeatable_tool_is_retried_and_its_result_is_appended_to_the_history(rig):
    await create(rig)
    rig.tools.answers = [Refused(Reason.TOOL_TIMEOUT, RunState.UNKNOWN, "hung")]
    _, last = await collect(rig.tool("timetable", tool_call_id="t1"))
    assert isinstance(last, ToolFinished)
    assert len(rig.tools.orders) == 2
    expected = HistoryMessage(role="tool", content="held", extra_json='{"tool_call_id":"t1"}')
    assert list(rig.program().history) == [expected]
    assert rig.grants.paused == [(PROGRAM, "timetable")]


async def test_a_tool_call_continues_after_its_caller_disconnects(rig):
    await create(rig)
    events = rig.tool("hold-seats")
    await anext(events)
    await events.aclose()
    await rig.owner.wait_idle()
    assert outcome_results(rig) == [(CallOutcome.SUCCEEDED, "")]


async def take_over(rig):
    """Drop the program tree in the middle of a call, and return a second node that reopens it."""
    rig.owner.drop(rig.owner.served_tree(PROGRAM))
    later = Rig(seed=2)
    await later.reopen(rig.journal.records)
    return later


async def test_takeover_reports_a_tool_without_outcome_as_unknown_and_never_runs_it(rig):
    await create(rig)
    call = asyncio.create_task(collect(rig.tool("confirm-seats", idempotency_key="k")))
    await asyncio.sleep(0.5)
    later = await take_over(rig)
    _, reported = await call
    assert (reported.reason, reported.run_state) == (Reason.NOT_OWNER, RunState.UNKNOWN)
    _, last = await collect(later.tool("confirm-seats", idempotency_key="k"))
    assert (last.reason, last.run_state) == (Reason.OUTCOME_UNKNOWN, RunState.UNKNOWN)
    assert later.tools.orders == []


async def test_takeover_reruns_a_keyed_model_call_and_its_caller_gets_the_answer(rig):
    call = asyncio.create_task(collect(rig.model(idempotency_key="k")))
    await asyncio.sleep(1.5)
    later = await take_over(rig)
    await call
    _, mixed = await collect(later.model(idempotency_key="k", resume_offset=1))
    assert mixed.reason is Reason.CONFLICT
    text, last = await collect(later.model(idempotency_key="k"))
    assert (text, isinstance(last, CallFinished)) == (TEXT, True)
    assert len(later.engine.orders) == 1
    assert [m.content for m in later.program().history] == ["hello", TEXT]


async def test_a_late_append_is_applied_without_affecting_running_calls(rig):
    call = asyncio.create_task(collect(rig.model()))
    await asyncio.sleep(1.5)
    missed = JournalRecord()
    missed.CopyFrom(rig.journal.records[0])
    missed.program_created.program_id = PROGRAM + "~child"
    missed.program_created.parent_program_id = PROGRAM
    rig.journal.applied([*rig.journal.records, missed])
    assert (await call)[0] == TEXT
    assert rig.owner.served_tree(PROGRAM).table.find(PROGRAM + "~child") is not None
    assert [m.content for m in rig.program().history] == ["hello", TEXT]


async def test_a_creation_is_applied_after_its_caller_is_cancelled(rig):
    await rig.owner.locate(PROGRAM)
    creation = asyncio.create_task(create(rig))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    creation.cancel()
    await asyncio.sleep(1)
    assert len(rig.journal.records) == 1
    assert rig.program() is not None


async def test_a_call_of_a_dropped_tree_appends_no_records(rig):
    call = asyncio.create_task(collect(rig.model()))
    await asyncio.sleep(1.5)
    records = len(rig.journal.records)
    rig.owner.drop(rig.owner.served_tree(PROGRAM))
    await call
    await asyncio.sleep(60)
    assert len(rig.journal.records) == records


async def test_snapshot_records_rebuild_answers(rig):
    await collect(rig.model(idempotency_key="k"))
    later = Rig(seed=2)
    await later.reopen(snapshot_records(rig.owner.served_tree(PROGRAM).table))
    text, _ = await collect(later.model(idempotency_key="k", resume_offset=1))
    assert text == "next train"
    assert later.engine.orders == []


async def test_child_has_its_own_history_and_its_parents_budget(rig):
    await create(rig)
    request = SpawnRequest(TENANT, PROGRAM, "itinerary", "k")
    _, child = await collect(rig.router.execute(request))
    _, again = await collect(rig.router.execute(request))
    assert isinstance(child, ProgramDetails)
    assert again.program_id == child.program_id
    assert child.parent_program_id == PROGRAM
    name = child.program_id.partition("/")[2]
    await collect(rig.model("in the child", name=name))
    assert rig.program().history == []
    assert rig.program().ledger.spent.tokens == 10
    deeper = SpawnRequest(TENANT, child.program_id, "itinerary")
    _, refused = await collect(rig.router.execute(deeper))
    assert refused.reason is Reason.BUDGET_EXHAUSTED


async def test_finish_is_refused_while_a_call_runs_and_abandon_ends_it(rig):
    await create(rig)
    _, child = await collect(rig.router.execute(SpawnRequest(TENANT, PROGRAM, "itinerary")))
    call = asyncio.create_task(collect(rig.model()))
    waiting = asyncio.create_task(collect(rig.model("second")))
    await asyncio.sleep(1.5)
    _, refused = await end(rig, abandoned=False)
    assert (refused.reason, refused.run_state) == (Reason.CONFLICT, RunState.NOT_RUN)
    _, ended = await end(rig, abandoned=True)
    assert ended.state == "abandoned"
    assert (await call)[1].reason is Reason.CANCELLED
    assert (await waiting)[1].run_state is RunState.NOT_RUN
    assert rig.grants.finished == [child.program_id, PROGRAM]
    _, late = await collect(rig.model("third"))
    assert late.reason is Reason.PROGRAM_FINISHED


async def test_idle_programs_are_abandoned_and_later_forgotten(rig):
    sweeper = ProgramSweeper(rig.owner)
    await sweeper.start()
    await create(rig, "itinerary")
    await asyncio.sleep(700)
    assert rig.grants.finished == [PROGRAM]
    assert rig.program().finished.abandoned
    await asyncio.sleep(700)
    assert rig.program() is None
    await sweeper.stop()


async def test_another_tenants_program_is_indistinguishable_from_a_missing_one(rig):
    await create(rig)
    other = TenantName("other")
    requests = [HistoryRequest(other, scoped_program_id(other, name)) for name in ("p", "q")]
    answers = [(await collect(rig.router.execute(request)))[1] for request in requests]
    assert answers[0] == answers[1]
    assert answers[0].reason is Reason.NOT_FOUND


def forwarding_nodes():
    """Return the network, both addresses, a node that forwards, and the node that serves."""
    network = MemoryNetwork(seed=3)
    near, far = addresses(2)
    ports = [network.join(NodeId("near"), near), network.join(NodeId("far"), far)]
    first = Rig(Forwarder(ports[0]), seed=4)
    first.trees.elsewhere = OwnedElsewhere(NodeId("far"), str(far))
    owner = Rig(Forwarder(ports[1]), seed=5)
    return network, near, far, first, owner


async def test_a_program_owned_elsewhere_is_served_by_forwarding():
    _, _, _, first, owner = forwarding_nodes()
    text, last = await collect(first.model())
    assert (text, isinstance(last, CallFinished)) == (TEXT, True)
    _, details = await collect(first.router.execute(HistoryRequest(TENANT, PROGRAM)))
    assert [m.content for m in details.history] == ["hello", TEXT]
    assert first.engine.orders == []
    assert len(owner.engine.orders) == 1


@pytest.mark.parametrize(
    "refusal",
    [not_run(Reason.FENCED, "taken over"), Refused(Reason.NO_QUORUM, RunState.UNKNOWN, "")],
)
async def test_a_history_is_read_only_after_ownership_is_confirmed(rig, refusal):
    await collect(rig.model())
    rig.journal.refusals = [refusal]
    _, refused = await collect(rig.router.execute(HistoryRequest(TENANT, PROGRAM)))
    assert (refused.reason, refused.run_state) == (refusal.reason, RunState.NOT_RUN)
    assert refused.retry_after_seconds
    _, details = await collect(rig.router.execute(HistoryRequest(TENANT, PROGRAM)))
    assert [m.content for m in details.history] == ["hello", TEXT]


async def test_a_known_call_without_driver_or_outcome_is_reported_unknown(rig):
    events = rig.model(idempotency_key="k")
    assert isinstance(await anext(events), CallStarted)
    (tree,) = rig.owner.trees()
    tree.running.clear()
    _, repeated = await collect(rig.model(idempotency_key="k"))
    assert (repeated.reason, repeated.run_state) == (Reason.NOT_OWNER, RunState.UNKNOWN)
    assert repeated.retry_after_seconds


async def test_a_client_disconnect_at_the_forwarding_node_reaches_the_owner():
    _, _, _, first, owner = forwarding_nodes()
    events = first.model()
    await anext(events)
    await events.aclose()
    await asyncio.sleep(0.1)
    await owner.owner.wait_idle()
    assert owner.engine.cancelled == 1


async def test_a_program_that_the_other_node_has_released_is_taken_over():
    _, near, _, first, owner = forwarding_nodes()
    owner.trees.elsewhere = OwnedElsewhere(NodeId("near"), str(near))
    text, last = await collect(first.model())
    assert (text, isinstance(last, CallFinished)) == (TEXT, True)
    assert first.trees.taken_over == ["far"]
    assert owner.engine.orders == []


async def test_a_program_of_an_unreachable_node_is_taken_over_immediately():
    network, _, far, first, owner = forwarding_nodes()
    network.kill(far)
    began = asyncio.get_running_loop().time()
    text, last = await collect(first.model())
    assert (text, isinstance(last, CallFinished)) == (TEXT, True)
    assert first.trees.taken_over == ["far"]
    assert asyncio.get_running_loop().time() - began < 8.0
    assert owner.engine.orders == []


async def test_a_draining_node_releases_idle_programs_and_finishes_the_others():
    _, _, _, first, owner = forwarding_nodes()
    call = asyncio.create_task(collect(first.model()))
    await asyncio.sleep(1.5)
    owner.owner.draining = True
    _, refused = await collect(first.model("second"))
    assert (refused.reason, refused.run_state) == (Reason.DRAINING, RunState.NOT_RUN)
    assert (await call)[0] == TEXT
    first.trees.records = list(owner.journal.records)
    text, _ = await collect(first.model("second"))
    assert text == TEXT
    assert [m.content for m in first.program().history] == ["hello", TEXT, "second", TEXT]
    assert owner.owner.served_tree(PROGRAM) is None


async def test_a_lost_forwarded_request_is_reported_unknown_with_retry_after():
    network, near, far, first, _ = forwarding_nodes()
    call = asyncio.create_task(collect(first.model()))
    await asyncio.sleep(1.5)
    network.kill(far)
    _, last = await call
    assert last.run_state is RunState.UNKNOWN
    assert last.retry_after_seconds is not None
    network.cut_both(near, far)


async def test_operators_see_why_a_call_waited_and_can_abandon_its_program(rig):
    facts = ServedPrograms(rig.owner, NodeId("n"))
    calls = [asyncio.create_task(collect(rig.model(f"turn {n}"))) for n in range(2)]
    await asyncio.sleep(1.5)
    detail = await facts.program(PROGRAM)
    assert [call.reason for call in detail.calls] == [
        "free worker",
        "behind 1 earlier calls of the program",
    ]
    assert detail.calls[0].waited_seconds == 0.25
    assert [p.program_id for p in facts.programs(ListProgramsRequest(state="live"))] == [PROGRAM]
    assert isinstance(await AbandonCommand(rig.owner).abandon(PROGRAM), Accepted)
    await asyncio.gather(*calls)
    assert facts.programs(ListProgramsRequest(state="live")) == []
    found = facts.programs(ListProgramsRequest(tenant=TENANT))
    assert [p.state for p in found] == ["abandoned"]


async def test_unknown_calls_and_programs_are_not_found(rig):
    await create(rig)
    request = AttachRequest(TENANT, PROGRAM, CallId("nothing"), 0)
    assert (await collect(rig.router.execute(request)))[1].reason is Reason.NOT_FOUND
    assert (await collect(rig.tool(name="q")))[1].reason is Reason.NOT_FOUND


async def test_a_refused_retry_does_not_hide_that_an_earlier_attempt_may_have_run(rig):
    await create(rig)
    down = Refused(Reason.BACKEND_UNAVAILABLE, RunState.NOT_RUN, "down")
    rig.tools.answers = [Refused(Reason.TOOL_TIMEOUT, RunState.UNKNOWN, "lost"), *[down] * 9]
    _, last = await collect(rig.tool("timetable"))
    assert (last.reason, last.run_state) == (Reason.BACKEND_UNAVAILABLE, RunState.UNKNOWN)


async def interrupted_call(call):
    """Lose a node in the middle of a call; return a second node and the first one's records."""
    first = Rig()
    await create(first)
    waiting = asyncio.create_task(collect(call(first)))
    await asyncio.sleep(0.5)
    records = list(first.journal.records)
    first.owner.drop(first.owner.served_tree(PROGRAM))
    await waiting
    return Rig(seed=2), records


def keyed_tool(rig):
    return rig.tool("timetable", idempotency_key="k")


def keyed_model(rig):
    return rig.model(idempotency_key="k")


@pytest.mark.parametrize("call", [keyed_model, keyed_tool])
async def test_a_refused_run_after_a_takeover_does_not_hide_the_earlier_owners_run(call):
    later, records = await interrupted_call(call)
    refused = not_run(Reason.INVALID_REQUEST, "no")
    later.engine.failures, later.tools.answers = [(0, refused)], [refused]
    await later.reopen(records)
    _, last = await collect(call(later))
    assert (last.reason, last.run_state) == (Reason.INVALID_REQUEST, RunState.UNKNOWN)
    assert [result for result, _ in outcome_results(later)] == [CallOutcome.FAILED_UNKNOWN]
    assert len(later.engine.orders) + len(later.tools.orders) == 1


async def test_a_refused_grant_after_a_takeover_does_not_hide_the_earlier_owners_run():
    later, records = await interrupted_call(keyed_model)
    later.grants.refusal = not_run(Reason.OVERLOADED, "busy", 2.0)
    await later.reopen(records)
    _, last = await collect(keyed_model(later))
    assert (last.reason, last.run_state) == (Reason.OVERLOADED, RunState.UNKNOWN)


@pytest.mark.parametrize("call", [keyed_model, keyed_tool])
async def test_abandoning_after_a_takeover_does_not_hide_the_earlier_owners_run(call):
    later, records = await interrupted_call(call)
    # The program ends before the task of the rerun call has run for the first time.
    tree = later.owner._restore_tree(PROGRAM, OpenedTree(later.journal, records))
    program = tree.table.find(PROGRAM)
    assert await end_program(later.ports, tree, program, True, "test") is None
    await later.owner.wait_idle()
    assert outcome_results(later) == [(CallOutcome.FAILED_UNKNOWN, Reason.CANCELLED)]
