"""Snapshots of programs for journal compaction."""

from collections.abc import Iterable

from foxwinch._generated.journal_pb2 import CallSnapshot, JournalRecord, ProgramSnapshot
from foxwinch.core.program.state import Program


def snapshot_records(programs: Iterable[Program]) -> list[JournalRecord]:
    """Return one snapshot record per program, parents before their children."""
    return [JournalRecord(program_snapshot=_snapshot(program)) for program in programs]


def _snapshot(program: Program) -> ProgramSnapshot:
    """Return the committed state, without calls whose intent is not committed."""
    return ProgramSnapshot(
        created=program.created,
        history=program.history,
        history_tokens=program.history_tokens,
        spent=program.ledger.spent.to_record(),
        last_signature=program.last_signature,
        repeats=program.repeats,
        calls=[
            CallSnapshot(admitted=call.admitted, outcome=call.outcome)
            for call in program.calls.values()
            if call.committed
        ],
        finished=program.finished,
        last_active_seconds=program.last_active_seconds,
    )
