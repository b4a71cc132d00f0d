"""The programs of one program tree: application of journal records and the call queues.

Calls end and histories grow only through `apply`, both in normal operation and in recovery. State
that is not in the journal is limited to the queued calls, the reservation of a call whose intent is
being committed, and the state of a running call.
"""

import hashlib
from collections.abc import Iterable, Iterator

from foxwinch._generated.journal_pb2 import (
    CallAdmitted,
    CallOutcome,
    JournalRecord,
    ProgramCreated,
    ProgramFinished,
    ProgramSnapshot,
)
from foxwinch.core.program.budget import Amount, Ledger, force_reserve, settle
from foxwinch.core.program.history import token_bound
from foxwinch.core.program.requests import AlreadyEnded, AlreadyRunning, Applied, Ignored, Queued
from foxwinch.core.program.state import (
    ALLOWED_TRANSITIONS,
    RESULT_STATES,
    Call,
    CallState,
    Program,
    WaitingCall,
)
from foxwinch.identifiers import CallId, ProgramId
from foxwinch.outcomes import Reason, Refused, not_run


class ProgramTable:
    """All programs of one program tree."""

    def __init__(self, records: Iterable[JournalRecord] = ()) -> None:
        """Rebuild the programs from journal records."""
        self._programs: dict[ProgramId, Program] = {}
        for record in records:
            self.apply(record)

    def __iter__(self) -> Iterator[Program]:
        """Iterate over the programs in order of creation."""
        return iter(self._programs.values())

    def __len__(self) -> int:
        """Return the number of programs, including finished ones."""
        return len(self._programs)

    def find(self, program_id: ProgramId) -> Program | None:
        """Return a program, or None if it is not known."""
        return self._programs.get(program_id)

    def apply(self, record: JournalRecord) -> Applied | Ignored:
        """Apply a committed record."""
        kind = record.WhichOneof("record")
        if kind == "program_created":
            return self._create(record.program_created)
        if kind == "call_admitted":
            return self._admit(record.call_admitted)
        if kind == "call_outcome":
            return self._end_call(record.call_outcome)
        if kind == "program_finished":
            return self._finish(record.program_finished)
        if kind == "program_snapshot":
            return self._restore(record.program_snapshot)
        return Ignored("the record type is unknown")

    def submit(
        self, program: Program, call_id: CallId, key: str, request_hash: bytes
    ) -> Queued | AlreadyRunning | AlreadyEnded | Refused:
        """Append a call to its program's queue, or find the call with its idempotency key."""
        if key and key in program.keys:
            existing = self._find_by_key(program, key, request_hash)
            if existing is not None:
                return existing
        if program.finished is not None:
            return not_run(Reason.PROGRAM_FINISHED, "the program has finished or was abandoned")
        program.waiting[call_id] = WaitingCall(call_id, key, request_hash)
        if key:
            program.keys[key] = call_id
        return Queued()

    def withdraw(self, program: Program, call_id: CallId) -> None:
        """Remove a call whose intent was not committed and release its reservation."""
        waiting = program.waiting.pop(call_id, None)
        if waiting is not None:
            _restore_key(program, waiting.idempotency_key, call_id)
        call = program.calls.get(call_id)
        if call is not None and call.outcome is None:
            settle(program.ledgers(), call.reserved, Amount())
            del program.calls[call_id]
            _restore_key(program, call.admitted.idempotency_key, call_id)
            if program.active == call_id:
                program.active = None

    def next_waiting(self, program: Program) -> CallId | None:
        """Return the first call in the queue, or None while another call is active."""
        if program.active is not None:
            return None
        return next(iter(program.waiting), None)

    def transition(self, program: Program, call_id: CallId, state: CallState) -> bool:
        """Change the state of a running call; return False if the transition is not allowed."""
        call = program.calls.get(call_id)
        if call is None or state not in ALLOWED_TRANSITIONS.get(call.state, ()):
            return False
        call.state = state
        return True

    def remove_finished(self, program_id: ProgramId) -> None:
        """Drop a finished program from memory."""
        program = self._programs.get(program_id)
        if program is not None and program.finished is not None:
            del self._programs[program_id]
            if program.parent is not None and program_id in program.parent.children:
                program.parent.children.remove(program_id)

    def drop_uncommitted(self, program_id: ProgramId) -> None:
        """Drop a program whose creation never reached the journal."""
        self._programs.pop(program_id, None)

    def _find_by_key(
        self, program: Program, key: str, request_hash: bytes
    ) -> AlreadyRunning | AlreadyEnded | Refused | None:
        call_id = program.keys[key]
        waiting = program.waiting.get(call_id)
        call = program.calls.get(call_id)
        if waiting is not None:
            existing_hash = waiting.request_hash
        elif call is not None:
            existing_hash = call.admitted.request_hash
        else:
            return None
        if existing_hash != request_hash:
            return not_run(
                Reason.CONFLICT, "the idempotency key was used before with a different request"
            )
        if call is None or call.outcome is None:
            return AlreadyRunning(call_id)
        if call.may_retry and program.finished is None:
            return None
        return AlreadyEnded(call)

    def _create(self, created: ProgramCreated) -> Applied | Ignored:
        program_id = ProgramId(created.program_id)
        if program_id in self._programs:
            return Ignored("the program already exists")
        parent = self._programs.get(ProgramId(created.parent_program_id))
        if created.parent_program_id and parent is None:
            return Ignored("the parent program is unknown")
        program = Program(created, Ledger(created.budget), parent)
        program.last_active_seconds = created.created_at_seconds
        self._programs[program_id] = program
        if parent is not None:
            parent.children.append(program_id)
        return Applied()

    def _admit(self, admitted: CallAdmitted) -> Applied | Ignored:
        program = self._programs.get(ProgramId(admitted.program_id))
        if program is None:
            return Ignored("the program is unknown")
        call_id = CallId(admitted.call_id)
        call = program.calls.get(call_id)
        if call is not None and (call.committed or call.outcome is not None):
            return Ignored("the call was already admitted")
        if call is None:
            call = admit(program, admitted)
        call.committed = True
        signature = call_signature(admitted)
        program.repeats = program.repeats + 1 if signature == program.last_signature else 1
        program.last_signature = signature
        program.last_active_seconds = max(program.last_active_seconds, admitted.admitted_at_seconds)
        return Applied()

    def _end_call(self, outcome: CallOutcome) -> Applied | Ignored:
        program = self._programs.get(ProgramId(outcome.program_id))
        call = program.calls.get(CallId(outcome.call_id)) if program is not None else None
        if program is None or call is None:
            return Ignored("the call is unknown")
        if call.outcome is not None:
            return Ignored("the call has already ended")
        spent = Amount.from_record(outcome.spent)
        settle(program.ledgers(), call.reserved, spent)
        call.outcome = outcome
        call.state = RESULT_STATES.get(outcome.result, CallState.OUTCOME_UNKNOWN)
        if outcome.result == CallOutcome.SUCCEEDED:
            _extend_history(program, call.admitted, outcome)
        del call.admitted.appended[:]
        if program.active == call.call_id:
            program.active = None
        program.last_active_seconds = max(program.last_active_seconds, outcome.finished_at_seconds)
        return Applied()

    def _finish(self, finished: ProgramFinished) -> Applied | Ignored:
        program = self._programs.get(ProgramId(finished.program_id))
        if program is None or program.finished is not None:
            return Ignored("the program is unknown or has already finished")
        program.finished = finished
        return Applied()

    def _restore(self, snapshot: ProgramSnapshot) -> Applied | Ignored:
        program_id = ProgramId(snapshot.created.program_id)
        self._programs.pop(program_id, None)
        created = self._create(snapshot.created)
        if isinstance(created, Ignored):
            return created
        program = self._programs[program_id]
        program.history.extend(snapshot.history)
        program.history_tokens = snapshot.history_tokens
        program.ledger.spent = Amount.from_record(snapshot.spent)
        for call_snapshot in snapshot.calls:
            call = admit(program, call_snapshot.admitted)
            call.committed = True
            if call_snapshot.HasField("outcome"):
                call.outcome = call_snapshot.outcome
                call.state = RESULT_STATES.get(
                    call_snapshot.outcome.result, CallState.OUTCOME_UNKNOWN
                )
                settle(program.ledgers(), call.reserved, Amount())
                program.active = None
        program.last_signature = snapshot.last_signature
        program.repeats = snapshot.repeats
        program.last_active_seconds = snapshot.last_active_seconds
        if snapshot.HasField("finished"):
            program.finished = snapshot.finished
        return Applied()


def admit(program: Program, admitted: CallAdmitted) -> Call:
    """Make a call the active one of its program and reserve its budget."""
    call = Call(CallAdmitted(), CallState.ADMITTED)
    call.admitted.CopyFrom(admitted)
    force_reserve(program.ledgers(), call.reserved)
    program.calls[call.call_id] = call
    program.active = call.call_id
    program.waiting.pop(call.call_id, None)
    if admitted.idempotency_key:
        program.keys[admitted.idempotency_key] = call.call_id
    return call


def call_signature(admitted: CallAdmitted) -> bytes:
    """Return a digest that is equal for calls that the loop guard treats as identical."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{admitted.kind}:{admitted.target}:{admitted.maximum_tokens}:".encode())
    digest.update(admitted.parameters_json.encode())
    for message in admitted.appended:
        digest.update(message.SerializeToString(deterministic=True))
    return digest.digest()


def _extend_history(program: Program, admitted: CallAdmitted, outcome: CallOutcome) -> None:
    program.history.extend(admitted.appended)
    program.history.extend(outcome.answer)
    if admitted.kind == CallAdmitted.MODEL and outcome.prompt_tokens > 0:
        program.history_tokens = outcome.prompt_tokens + outcome.completion_tokens
    else:
        program.history_tokens += token_bound(admitted.appended) + token_bound(outcome.answer)


def _restore_key(program: Program, key: str, call_id: CallId) -> None:
    """Map a key back to the call that it referred to before `call_id`, as a recovery would."""
    if not key or program.keys.get(key) != call_id:
        return
    earlier = [c for c in program.calls.values() if c.admitted.idempotency_key == key]
    if earlier:
        program.keys[key] = earlier[-1].call_id
    else:
        del program.keys[key]
