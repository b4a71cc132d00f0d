"""A program tree of programs that this node serves: its state, running calls and commits."""

import asyncio
from collections.abc import Callable, Sequence

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.clock import Clock
from foxwinch.commands.running_call import RunningCall
from foxwinch.core.program.requests import Ignored
from foxwinch.core.program.table import ProgramTable
from foxwinch.identifiers import CallId, ProgramId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.records.program_trees import TreeJournal

READ_RETRY_SECONDS = 0.5
"""When to read again after the store has not confirmed a read."""
COMMIT_RETRY_SECONDS = 0.2
"""First pause between tries to commit an outcome; doubles up to `COMMIT_RETRY_LIMIT_SECONDS`."""
COMMIT_RETRY_LIMIT_SECONDS = 2.0
TAKEN_OVER = "another node has taken the program over"
TAKEN_OVER_RETRY_SECONDS = 0.2
"""The next try is sent on to the node that serves the program now."""
COMMIT_PATIENCE_SECONDS = 2.0
"""How long a caller waits for an outcome to be committed before it is told `unknown`."""


class ServedTree:
    """A program with its sub-agents, until another node serves them."""

    def __init__(
        self,
        root: ProgramId,
        table: ProgramTable,
        journal: TreeJournal,
        clock: Clock,
        log: EventLog,
        on_lost: Callable[["ServedTree"], None],
    ) -> None:
        """Serve the program tree of `root`; `on_lost` runs soon after another node took it."""
        self.root = root
        self.table = table
        self.journal = journal
        self.running: dict[CallId, RunningCall] = {}
        self.uncommitted: dict[ProgramId, JournalRecord] = {}
        """Creations that go into the journal with the program's first call."""
        self.ending: set[ProgramId] = set()
        """Programs that are being finished or abandoned: they take no new calls."""
        self.closing = False
        """True while this node is leaving and finishes only what it has accepted."""
        self.lost = False
        self.opened_at_seconds = clock.monotonic()
        self._clock = clock
        self._log = log
        self._on_lost = on_lost
        journal.on_late_append(self.apply)

    @property
    def idle(self) -> bool:
        """Whether nothing of the program tree runs or waits here."""
        return not self.running and not self.ending

    async def commit(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Append records and apply them; returns the refusal when they are not committed."""
        if self.lost:
            return lost_tree(RunState.NOT_RUN)
        refused = await self.journal.append(records)
        if refused is None:
            self.apply(records)
        self._look_for_loss(refused)
        return refused

    async def confirm_read(self) -> Refused | None:
        """Prove that no other node has taken the program tree over; returns why that failed.

        A node that was cut off or has slept would else read out what is no longer the newest.
        """
        refused = await self.journal.confirm()
        if refused is None:
            return None
        self._look_for_loss(refused)
        retry = refused.retry_after_seconds or READ_RETRY_SECONDS
        return not_run(refused.reason, refused.detail, retry)

    async def commit_until_done(
        self, records: Sequence[JournalRecord], on_delay: Callable[[Refused], None]
    ) -> bool:
        """Commit an outcome, however long it takes; False when the program tree is lost first.

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
            if isinstance(applied, Ignored):
                self._log.warning("record_dropped", family=self.root, cause=applied.cause)

    def _look_for_loss(self, refused: Refused | None) -> None:
        """Give the program tree up once whoever asked has dealt with the refusal."""
        if refused is not None and refused.reason is Reason.FENCED:
            asyncio.get_running_loop().call_soon(self._on_lost, self)

    def advance(self, program_id: ProgramId) -> None:
        """Give the next waiting call of a program its turn."""
        program = self.table.find(program_id)
        call_id = self.table.next_waiting(program) if program is not None else None
        running = self.running.get(call_id) if call_id is not None else None
        if running is not None and running.turn is not None and not running.turn.done():
            running.turn.set_result(None)

    def lose(self) -> list[asyncio.Task[None]]:
        """Stop all calls: another node serves the tree now; returns the tasks that are ending."""
        self.lost = True
        calls = list(self.running.values())
        for call in calls:
            call.end(lost_tree(RunState.UNKNOWN if call.intent_sent else RunState.NOT_RUN))
        tasks = [call.task for call in calls if call.task is not None]
        for task in tasks:
            task.cancel()
        return tasks


def lost_tree(run_state: RunState) -> Refused:
    """Return the refusal of a call whose program tree has gone to another node."""
    if run_state is RunState.NOT_RUN:
        return not_run(Reason.NOT_OWNER, TAKEN_OVER, TAKEN_OVER_RETRY_SECONDS)
    return Refused(Reason.NOT_OWNER, run_state, TAKEN_OVER, TAKEN_OVER_RETRY_SECONDS)
