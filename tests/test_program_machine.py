"""Stateful fuzz test of the program core against a simple model, with crashes at any point."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

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
from foxwinch.core.program.history import MESSAGE_OVERHEAD_TOKENS
from foxwinch.core.program.recovery import Recovery, decide_recovery, unknown_outcome
from foxwinch.core.program.requests import (
    AlreadyEnded,
    AlreadyRunning,
    CallIntent,
    Ignored,
    Queued,
    Started,
)
from foxwinch.core.program.snapshot import snapshot_records
from foxwinch.core.program.table import ProgramTable
from foxwinch.identifiers import CallId, ProgramId
from foxwinch.outcomes import Reason, Refused

ROOT, CHILD = ProgramId("t/a"), ProgramId("t/a~x")
PROGRAMS = (ROOT, CHILD)
TOKENS, CALLS = 300, 12
MESSAGE_TOKENS = 1 + MESSAGE_OVERHEAD_TOKENS
"""Upper bound on the tokens of a message of one character."""
BUDGET = ProgramBudget(
    tokens=TOKENS, calls=CALLS, depth=1, wall_seconds=1e9, cost=1e9, repeated_calls=10_000
)
RESULTS = (
    CallOutcome.SUCCEEDED,
    CallOutcome.FAILED_NOT_RUN,
    CallOutcome.FAILED_RAN,
    CallOutcome.FAILED_UNKNOWN,
)


@dataclass
class ExpectedProgram:
    """Expected state of one program."""

    history: list[str] = field(default_factory=list)
    queue: list[CallId] = field(default_factory=list)
    active: CallId | None = None
    finished: bool = False


@dataclass
class ExpectedCall:
    """Expected state of one call."""

    intent: CallIntent
    reserved: int = 0
    committed: bool = False
    result: int | None = None
    spent: tuple[int, int] = (0, 0)


class ProgramMachine(RuleBasedStateMachine):
    """Applies requests and records to a program table and to the model, and compares both."""

    @initialize()
    def create(self):
        self.journal: list[JournalRecord] = []
        self.table = ProgramTable()
        self.programs = {name: ExpectedProgram() for name in PROGRAMS}
        self.calls: dict[CallId, ExpectedCall] = {}
        self.keys: dict[tuple[ProgramId, str], list[CallId]] = {}
        self.dispatched: dict[tuple[ProgramId, str], int] = {}
        for name in PROGRAMS:
            parent = ROOT if name == CHILD else ""
            created = ProgramCreated(
                program_id=name, tenant="t", parent_program_id=parent, budget=BUDGET,
                depth=1 if parent else 0,
            )  # fmt: skip
            self.commit(JournalRecord(program_created=created))

    def commit(self, record):
        copied = JournalRecord()
        copied.CopyFrom(record)
        self.journal.append(copied)
        return self.table.apply(record)

    @rule(
        name=st.sampled_from(PROGRAMS), text=st.sampled_from("xyz"),
        key=st.sampled_from(["", "k", "l"]), limit=st.integers(1, 60), tool=st.booleans(),
        append=st.booleans(),
    )  # fmt: skip
    def submit(self, name, text, key, limit, tool, append):
        expected = self.programs[name]
        call_id = CallId(f"c{len(self.calls)}")
        new = HistoryMessage(role="user", content=text)
        before = [HistoryMessage(role="user", content=held) for held in expected.history]
        intent = CallIntent(
            program_id=name, call_id=call_id, repeatable=not tool, target="m",
            kind=CallAdmitted.TOOL if tool else CallAdmitted.MODEL,
            messages=(new,) if append else (*before, new), append=append, parameters_json="",
            maximum_tokens=limit, idempotency_key=key, request_hash=f"{text}{tool}".encode(),
            cost_per_token=0.0, call_cost=0.0, history_limit_bytes=10_000,
        )  # fmt: skip
        found = self.table.submit(self.table.find(name), call_id, key, intent.request_hash)
        named = self.keys.get((name, key)) or [CallId("")]
        held = self.calls.get(named[-1])
        wanted = self.expected_answer(held, intent, expected)
        assert isinstance(found, wanted[0]), (found, wanted)
        if isinstance(found, Refused):
            assert found.reason is wanted[1]
        elif isinstance(found, Queued):
            self.calls[call_id] = ExpectedCall(intent)
            expected.queue.append(call_id)
            if key:
                self.keys.setdefault((name, key), []).append(call_id)

    @staticmethod
    def expected_answer(held, intent, program):
        if held is not None and held.intent.request_hash != intent.request_hash:
            return Refused, Reason.CONFLICT
        if held is not None and held.result is None:
            return AlreadyRunning, None
        if held is not None:
            free = held.result == CallOutcome.FAILED_NOT_RUN or (
                held.intent.repeatable and held.result != CallOutcome.SUCCEEDED
            )
            if not free or program.finished:
                return AlreadyEnded, None
        return (Refused, Reason.PROGRAM_FINISHED) if program.finished else (Queued, None)

    def due(self):
        free = [(n, p) for n, p in self.programs.items() if p.active is None]
        return [(name, program.queue[0]) for name, program in free if program.queue]

    @precondition(lambda self: self.due())
    @rule(data=st.data())
    def start(self, data):
        name, due = data.draw(st.sampled_from(self.due()))
        expected, program = self.programs[name], self.table.find(name)
        assert self.table.next_waiting(program) == due
        call = self.calls[due]
        found = start_call(program, call.intent, 1.0)
        if isinstance(found, Refused):
            assert found.reason in self.allowed_refusals(call, expected)
            self.forget(name, due)
            return
        assert isinstance(found, Started)
        assert not expected.finished
        call.reserved = found.reserved.tokens
        messages = len(expected.history) + 1
        model = call.intent.kind == CallAdmitted.MODEL
        bound = MESSAGE_TOKENS * messages + call.intent.maximum_tokens if model else 0
        assert call.reserved == bound
        expected.queue.remove(due)
        expected.active = due

    def allowed_refusals(self, call, expected):
        reasons = {Reason.BUDGET_EXHAUSTED}
        if expected.finished:
            reasons = {Reason.PROGRAM_FINISHED}
        elif not call.intent.append:
            before = [message.content for message in call.intent.messages[:-1]]
            if before[: len(expected.history)] != expected.history:
                reasons = {Reason.CONFLICT}
        return reasons

    def forget(self, name, call_id):
        """Withdraw a call whose intent was not committed."""
        expected, call = self.programs[name], self.calls.pop(call_id)
        self.calls[CallId(f"gone{call_id}")] = call  # Keeps call ids unique.
        self.table.withdraw(self.table.find(name), call_id)
        if call_id in expected.queue:
            expected.queue.remove(call_id)
        if expected.active == call_id:
            expected.active = None
        named = self.keys.get((name, call.intent.idempotency_key), [])
        if call_id in named:
            named.remove(call_id)
        call.reserved = 0
        call.result = CallOutcome.FAILED_NOT_RUN

    def active(self, committed):
        found = [(n, p.active) for n, p in self.programs.items() if p.active is not None]
        return [(n, c) for n, c in found if self.calls[c].committed == committed]

    @precondition(lambda self: self.active(False))
    @rule(data=st.data(), lost=st.booleans())
    def commit_intent(self, data, lost):
        name, call_id = data.draw(st.sampled_from(self.active(False)))
        if lost:
            self.forget(name, call_id)
            return
        call = self.calls[call_id]
        self.commit(JournalRecord(call_admitted=self.table.find(name).calls[call_id].admitted))
        call.committed = True
        self.count_dispatch(name, call)

    def count_dispatch(self, name, call):
        key = call.intent.idempotency_key
        if key and not call.intent.repeatable:
            self.dispatched[name, key] = self.dispatched.get((name, key), 0) + 1

    @precondition(lambda self: self.active(True))
    @rule(data=st.data(), result=st.sampled_from(RESULTS), share=st.floats(0, 1))
    def end(self, data, result, share):
        name, call_id = data.draw(st.sampled_from(self.active(True)))
        call = self.calls[call_id]
        none = result == CallOutcome.FAILED_NOT_RUN
        spent = (0, 0) if none else (int(call.reserved * share), 1)
        self.finish_call(name, call_id, self.outcome(name, call_id, result, spent), spent)

    def outcome(self, name, call_id, result, spent):
        answer = [HistoryMessage(role="user", content="!")]
        return CallOutcome(
            program_id=name, call_id=call_id, result=result, answer=answer,
            spent=Spending(tokens=spent[0], calls=spent[1]),
        )  # fmt: skip

    def finish_call(self, name, call_id, outcome, spent):
        call, expected = self.calls[call_id], self.programs[name]
        assert not isinstance(self.commit(JournalRecord(call_outcome=outcome)), Ignored)
        call.result, call.spent, call.reserved = outcome.result, spent, 0
        expected.active = None
        if outcome.result == CallOutcome.SUCCEEDED:
            expected.history += [call.intent.messages[-1].content, "!"]
        elif outcome.result == CallOutcome.FAILED_NOT_RUN and not call.intent.repeatable:
            self.dispatched.pop((name, call.intent.idempotency_key), None)

    @precondition(lambda self: self.due())
    @rule(data=st.data(), result=st.sampled_from(RESULTS), share=st.floats(0, 1))
    def run_whole(self, data, result, share):
        """Start, commit and end a call without other steps in between."""
        self.start(data)
        if self.active(False):
            self.commit_intent(data, lost=False)
        if self.active(True):
            self.end(data, result, share)

    @precondition(lambda self: any(call.result is not None for call in self.calls.values()))
    @rule(data=st.data(), result=st.sampled_from(RESULTS))
    def late_outcome(self, data, result):
        ended = [c for c, call in self.calls.items() if call.result is not None]
        call_id = data.draw(st.sampled_from(ended))
        name = self.calls[call_id].intent.program_id
        late = JournalRecord(call_outcome=self.outcome(name, call_id, result, (7, 1)))
        assert isinstance(self.commit(late), Ignored)

    @precondition(lambda self: any(p.queue for p in self.programs.values()))
    @rule(data=st.data())
    def client_disconnects(self, data):
        queued = [(n, c) for n, p in self.programs.items() for c in p.queue]
        self.forget(*data.draw(st.sampled_from(queued)))

    @rule(name=st.sampled_from(PROGRAMS), seldom=st.integers(0, 5))
    def finish_program(self, name, seldom):
        expected = self.programs[name]
        if seldom == 0 and expected.active is None and not expected.queue:
            finished = JournalRecord(program_finished=ProgramFinished(program_id=name))
            assert isinstance(self.commit(finished), Ignored) == expected.finished
            expected.finished = True

    @rule(compact=st.booleans())
    def crash(self, compact):
        """Lose the owner: rebuild the committed state and settle calls that were left running."""
        for name, expected in self.programs.items():
            lost = [c for c in (expected.active, *expected.queue) if c is not None]
            for call_id in lost:
                if not self.calls[call_id].committed:
                    self.forget(name, call_id)
        if compact:
            self.journal = [
                JournalRecord.FromString(record.SerializeToString())
                for record in snapshot_records(self.table)
            ]
        self.table = ProgramTable(JournalRecord.FromString(r.SerializeToString())
                                  for r in self.journal)  # fmt: skip
        for name, expected in self.programs.items():
            program = self.table.find(name)
            assert program.active == expected.active
            if expected.active is None:
                continue
            call = self.calls[expected.active]
            if decide_recovery(program.calls[expected.active], 1.0) is Recovery.RUN_AGAIN:
                assert call.intent.repeatable
                continue
            outcome = unknown_outcome(program, program.calls[expected.active], 1.0)
            spent = (outcome.spent.tokens, outcome.spent.calls)
            self.finish_call(name, expected.active, outcome, spent)

    @invariant()
    def histories_are_as_expected(self):
        for name, expected in self.programs.items():
            held = [message.content for message in self.table.find(name).history]
            assert held == expected.history

    @invariant()
    def budgets_hold_with_answers_in_flight(self):
        for name in PROGRAMS:
            ledger = self.table.find(name).ledger
            tree = (ROOT, CHILD) if name == ROOT else (name,)
            members = [c for c in self.calls.values() if c.intent.program_id in tree]
            assert ledger.spent.tokens == sum(c.spent[0] for c in members)
            assert ledger.spent.calls == sum(c.spent[1] for c in members)
            assert ledger.reserved.tokens == sum(c.reserved for c in members)
            assert ledger.spent.tokens + ledger.reserved.tokens <= TOKENS
            assert ledger.spent.calls + ledger.reserved.calls <= CALLS

    @invariant()
    def calls_that_may_not_be_repeated_run_once(self):
        assert all(count <= 1 for count in self.dispatched.values())


TestProgramMachine = ProgramMachine.TestCase
TestProgramMachine.settings = settings(max_examples=120, stateful_step_count=50, deadline=None)
