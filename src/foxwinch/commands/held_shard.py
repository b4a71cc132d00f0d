"""A shard that this node owns: its programs, running calls and commits."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from foxwinch._generated.journal_pb2 import JournalRecord, ReadConfirmed
from foxwinch.clock import Clock
from foxwinch.commands.running_call import RunningCall
from foxwinch.core.program.requests import Applied, Dropped
from foxwinch.core.program.table import ProgramTable
from foxwinch.identifiers import CallId, Epoch, ProgramId, ShardNumber
from foxwinch.log import EventLog
from foxwinch.node.interfaces import Appended, JournalView
from foxwinch.outcomes import Reason, Refused, RunState, not_run

READ_RETRY_SECONDS = 0.5
"""When to read again after too few replicas have confirmed a read."""
COMMIT_RETRY_SECONDS = 0.2
"""First pause between tries to commit an outcome; doubles up to `COMMIT_RETRY_LIMIT_SECONDS`."""
COMMIT_RETRY_LIMIT_SECONDS = 2.0
COMMIT_PATIENCE_SECONDS = 2.0
"""How long a caller waits for an outcome to be committed before it is told `unknown`."""


class HeldShard:
    """The programs of one shard under one epoch."""

    def __init__(
        self,
        shard: ShardNumber,
        epoch: Epoch,
        table: ProgramTable,
        journal: JournalView,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Hold the shard until `lost` is set."""
        self.shard = shard
        self.epoch = epoch
        self.table = table
        self.running: dict[CallId, RunningCall] = {}
        self.uncommitted: dict[ProgramId, JournalRecord] = {}
        """Creations that go into the journal with the program's first call."""
        self.ending: set[ProgramId] = set()
        """Programs that are being finished or abandoned: they take no new calls."""
        self.closing = False
        """True while this node is leaving and finishes only what it has accepted."""
        self.lost = False
        self._journal = journal
        self._clock = clock
        self._log = log

    async def commit(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Append records and apply them; returns the refusal when they are not committed."""
        if self.lost:
            return lost_shard(RunState.NOT_RUN)
        appended = await self._journal.append(self.shard, self.epoch, records)
        if isinstance(appended, Appended):
            self.apply(records)
            return None
        return appended

    async def confirm_read(self) -> Refused | None:
        """Prove that no other node has taken the shard over; returns why that was not possible.

        An owner that is cut off or has slept would else read out what is no longer the newest.
        """
        refused = await self.commit([JournalRecord(read_confirmed=ReadConfirmed())])
        if refused is None:
            return None
        retry = refused.retry_after_seconds or READ_RETRY_SECONDS
        return not_run(refused.reason, refused.detail, retry)

    async def commit_until_done(
        self, records: Sequence[JournalRecord], on_delay: Callable[[Refused], None]
    ) -> bool:
        """Commit an outcome, however long it takes; False when the shard is lost first.

        `on_delay` is called once when the wait is longer than a caller should bear. A record that
        is committed twice after an unknown first try is dropped when it is applied.
        """
        asked_at = self._clock.monotonic()
        pause = COMMIT_RETRY_SECONDS
        told = False
        while True:
            refused = await self.commit(records)
            if refused is None:
                return True
            waited = self._clock.monotonic() - asked_at
            if not told and (refused.reason is Reason.FENCED or waited >= COMMIT_PATIENCE_SECONDS):
                told = True
                on_delay(refused)
            if self.lost or refused.reason is Reason.FENCED:
                return False
            await self._clock.sleep(pause * (0.5 + self._clock.uniform()))
            pause = min(pause * 2, COMMIT_RETRY_LIMIT_SECONDS)

    def apply(self, records: Sequence[JournalRecord]) -> None:
        """Apply committed records; a dropped one leaves a log line."""
        for record in records:
            created = ProgramId(record.program_created.program_id)
            if self.uncommitted.pop(created, None) is not None:
                continue  # applied when its first call arrived
            applied = self.table.apply(record)
            if isinstance(applied, Dropped):
                self._log.warning("record_dropped", shard=self.shard, cause=applied.cause)

    def catch_up(self, records: Iterable[JournalRecord]) -> list[ProgramId]:
        """Apply what the journal holds and this node has missed; the rest is known already.

        Returns the programs that have ended by it.
        """
        ended = []
        for record in records:
            restored = record.program_snapshot.created.program_id
            if restored and self.table.find(ProgramId(restored)) is not None:
                continue
            applied = self.table.apply(record)
            if isinstance(applied, Applied) and record.HasField("program_finished"):
                ended.append(ProgramId(record.program_finished.program_id))
        return ended

    def advance(self, program_id: ProgramId) -> None:
        """Give the next waiting call of a program its turn."""
        program = self.table.find(program_id)
        call_id = self.table.next_waiting(program) if program is not None else None
        running = self.running.get(call_id) if call_id is not None else None
        if running is not None and running.turn is not None and not running.turn.done():
            running.turn.set_result(None)

    def lose(self) -> list[asyncio.Task[None]]:
        """Stop all calls: another node owns the shard now; returns the tasks that are ending."""
        self.lost = True
        calls = list(self.running.values())
        for call in calls:
            call.end(lost_shard(RunState.UNKNOWN if call.intent_sent else RunState.NOT_RUN))
        tasks = [call.task for call in calls if call.task is not None]
        for task in tasks:
            task.cancel()
        return tasks


def lost_shard(run_state: RunState) -> Refused:
    """Return the refusal of a call whose shard has gone to another node."""
    if run_state is RunState.NOT_RUN:
        return not_run(Reason.NOT_OWNER, "another node has taken the program over", 1.0)
    return Refused(Reason.NOT_OWNER, run_state, "another node has taken the program over", 1.0)
