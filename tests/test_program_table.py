"""Tests of the program core: recovery, idempotency, budgets, history and the loop guard."""

import dataclasses

import pytest

from foxwinch._generated.journal_pb2 import (
    CallAdmitted,
    CallOutcome,
    HistoryMessage,
    JournalRecord,
    ProgramBudget,
    ProgramCreated,
    ProgramFinished,
    Spending,
)
from foxwinch.core.program.admission import start_call
from foxwinch.core.program.lifetime import abandonment_reason
from foxwinch.core.program.recovery import Recovery, decide_recovery
from foxwinch.core.program.requests import (
    AlreadyEnded,
    AlreadyRunning,
    Applied,
    CallIntent,
    Ignored,
    Queued,
)
from foxwinch.core.program.requests import Started as StartedCall
from foxwinch.core.program.snapshot import snapshot_records
from foxwinch.core.program.state import CallState
from foxwinch.core.program.table import ProgramTable
from foxwinch.identifiers import CallId, ProgramId
from foxwinch.outcomes import Reason, Refused, RunState

BUDGET = ProgramBudget(
    tokens=1_000, calls=4, depth=1, wall_seconds=100.0, cost=10.0, repeated_calls=2
)
PROGRAM = ProgramId("rail/p")


def created(name=PROGRAM, parent="", depth=0):
    return JournalRecord(
        program_created=ProgramCreated(
            program_id=name, tenant="rail", template="journey", class_name="journey",
            parent_program_id=parent, depth=depth, budget=BUDGET, idle_seconds=50.0,
        )
    )  # fmt: skip


def user(text):
    return HistoryMessage(role="user", content=text)


def intent(number, *messages, program=PROGRAM, key="", **changes):
    base = CallIntent(
        program_id=program, call_id=CallId(f"c{number}"), kind=CallAdmitted.MODEL, target="m",
        repeatable=True, messages=messages, append=True, parameters_json="", maximum_tokens=10,
        idempotency_key=key, request_hash=str(messages).encode(), cost_per_token=0.0,
        call_cost=0.0, history_limit_bytes=10_000,
    )  # fmt: skip
    return dataclasses.replace(base, **changes)


def submit(table, asked):
    program = table.find(asked.program_id)
    return table.submit(program, asked.call_id, asked.idempotency_key, asked.request_hash)


def start(table, asked, now=1.0):
    return start_call(table.find(asked.program_id), asked, now)


def outcome(asked, text="yes", result=CallOutcome.SUCCEEDED, tokens=20):
    return JournalRecord(
        call_outcome=CallOutcome(
            program_id=asked.program_id, call_id=asked.call_id, result=result,
            answer=[HistoryMessage(role="assistant", content=text)], prompt_tokens=tokens,
            spent=Spending(tokens=tokens, calls=1),
        )
    )  # fmt: skip


def run(table, asked, **ending):
    """Run one call to completion and return the records committed for it."""
    assert submit(table, asked) == Queued()
    started = start(table, asked)
    assert isinstance(started, StartedCall), started
    records = [JournalRecord(call_admitted=started.admitted), outcome(asked, **ending)]
    for record in records:
        assert table.apply(record) == Applied()
    return records


@pytest.fixture
def table():
    return ProgramTable([created()])


def state_of(table):
    return [
        (p.program_id, list(p.history), p.history_tokens, p.ledger.spent, p.ledger.reserved,
         {c: (call.state, call.outcome) for c, call in p.calls.items()}, p.keys, p.active,
         p.last_signature, p.repeats, p.finished)
        for p in table
    ]  # fmt: skip


def test_records_and_snapshot_rebuild_the_same_state(table):
    records = [created(), *run(table, intent(1, user("a"), key="k"))]
    left = intent(2, user("b"))
    submit(table, left)
    records.append(JournalRecord(call_admitted=start(table, left).admitted))
    table.apply(records[-1])
    assert state_of(ProgramTable(records)) == state_of(table)
    assert state_of(ProgramTable(snapshot_records(table))) == state_of(table)


def test_an_intent_that_is_not_committed_is_not_in_a_snapshot(table):
    asked = intent(1, user("a"))
    submit(table, asked)
    start(table, asked)
    rebuilt = ProgramTable(snapshot_records(table)).find(PROGRAM)
    assert rebuilt.calls == {}
    assert rebuilt.ledger.reserved.tokens == 0


def test_late_duplicate_and_unknown_outcomes_change_nothing(table):
    run(table, intent(1, user("a")))
    before = state_of(table)
    assert isinstance(table.apply(outcome(intent(1), text="other")), Ignored)
    assert isinstance(table.apply(outcome(intent(9))), Ignored)
    assert state_of(table) == before


def test_key_repeats_attaches_or_conflicts(table):
    first = intent(1, user("a"), key="k")
    submit(table, first)
    again = intent(2, user("a"), key="k")
    assert submit(table, again) == AlreadyRunning(first.call_id)
    other = submit(table, intent(3, user("b"), key="k"))
    assert isinstance(other, Refused)
    assert (other.reason, other.run_state) == (Reason.CONFLICT, RunState.NOT_RUN)
    table.withdraw(table.find(PROGRAM), first.call_id)
    run(table, first)
    found = submit(table, again)
    assert isinstance(found, AlreadyEnded)
    assert found.call.call_id == first.call_id


def test_key_of_a_failed_call_is_free_only_when_it_may_run_again(table):
    run(table, intent(1, user("a"), key="k"), result=CallOutcome.FAILED_RAN)
    assert submit(table, intent(2, user("a"), key="k")) == Queued()
    table.withdraw(table.find(PROGRAM), CallId("c2"))
    tool = intent(3, key="t", kind=CallAdmitted.TOOL, repeatable=False)
    run(table, tool, result=CallOutcome.FAILED_UNKNOWN)
    assert isinstance(submit(table, dataclasses.replace(tool, call_id=CallId("c4"))), AlreadyEnded)


def test_a_withdrawn_repeat_leaves_the_key_as_a_recovery_would_find_it(table):
    records = run(table, intent(1, user("a"), key="k"), result=CallOutcome.FAILED_RAN)
    submit(table, intent(2, user("a"), key="k"))
    table.withdraw(table.find(PROGRAM), CallId("c2"))
    assert table.find(PROGRAM).keys == {"k": CallId("c1")}
    assert state_of(table) == state_of(ProgramTable([created(), *records]))


def test_history_must_be_repeated_exactly(table):
    run(table, intent(1, user("a")))
    answer = HistoryMessage(role="assistant", content="yes")
    wrong = intent(2, user("a"), HistoryMessage(role="assistant", content="no"), append=False)
    submit(table, wrong)
    refused = start(table, wrong)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.CONFLICT
    assert "index 1" in refused.detail
    table.withdraw(table.find(PROGRAM), wrong.call_id)
    run(table, intent(3, user("a"), answer, user("b"), append=False))
    assert [m.content for m in table.find(PROGRAM).history] == ["a", "yes", "b", "yes"]


def test_failed_call_leaves_the_history_and_gives_back_what_it_did_not_spend(table):
    run(table, intent(1, user("a")), result=CallOutcome.FAILED_RAN, tokens=5)
    program = table.find(PROGRAM)
    assert program.history == []
    assert (program.ledger.spent.tokens, program.ledger.reserved.tokens) == (5, 0)


def test_child_spends_from_its_parents_budget_while_in_flight(table):
    child = ProgramId(PROGRAM + "~x")
    table.apply(created(child, parent=PROGRAM, depth=1))
    large = intent(1, user("a"), program=child, maximum_tokens=900)
    submit(table, large)
    assert isinstance(start(table, large), StartedCall)
    second = intent(2, user("b"), maximum_tokens=900)
    submit(table, second)
    refused = start(table, second)
    assert isinstance(refused, Refused)
    assert (refused.reason, refused.run_state) == (Reason.BUDGET_EXHAUSTED, RunState.NOT_RUN)


def test_loop_guard_refuses_identical_calls_in_a_row(table):
    for number in (1, 2):
        run(table, intent(number, user("a")))
    third = intent(3, user("a"))
    submit(table, third)
    assert start(table, third).reason is Reason.LOOP_DETECTED
    table.withdraw(table.find(PROGRAM), third.call_id)
    run(table, intent(4, user("b")))


def test_wall_time_is_a_budget(table):
    asked = intent(1, user("a"))
    submit(table, asked)
    assert start(table, asked, now=101.0).reason is Reason.BUDGET_EXHAUSTED


@pytest.mark.parametrize(
    ("repeatable", "key", "now", "expected"),
    [
        (True, "k", 5.0, Recovery.RUN_AGAIN),
        (True, "", 5.0, Recovery.UNKNOWN),
        (False, "k", 5.0, Recovery.UNKNOWN),
        (True, "k", 5_000.0, Recovery.UNKNOWN),
    ],
)
def test_call_left_without_outcome(table, repeatable, key, now, expected):
    asked = intent(1, key=key, kind=CallAdmitted.TOOL, repeatable=repeatable)
    submit(table, asked)
    record = JournalRecord(call_admitted=start(table, asked).admitted)
    program = ProgramTable([created(), record]).find(PROGRAM)
    call = program.calls[asked.call_id]
    assert call.state is CallState.ADMITTED
    assert decide_recovery(call, now) is expected


def test_abandoned_when_idle_over_time_or_parent_ended(table):
    child = ProgramId(PROGRAM + "~x")
    table.apply(created(child, parent=PROGRAM, depth=1))
    assert abandonment_reason(table.find(PROGRAM), 49.0) is None
    assert abandonment_reason(table.find(PROGRAM), 51.0) == "idle"
    assert abandonment_reason(table.find(PROGRAM), 101.0) == "wall_time"
    table.apply(JournalRecord(program_finished=ProgramFinished(program_id=PROGRAM)))
    assert abandonment_reason(table.find(child), 1.0) == "parent_ended"
