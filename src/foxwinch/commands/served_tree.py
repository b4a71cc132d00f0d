"""A program tree that this node serves: its state, running calls and commits."""

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
"""Retry-After for a read that the store did not confirm."""
COMMIT_RETRY_SECONDS = 0.2
"""First backoff between attempts to commit; doubles up to `MAX_COMMIT_RETRY_SECONDS`."""
MAX_COMMIT_RETRY_SECONDS = 2.0
TAKEN_OVER_DETAIL = "another node has taken over the program"
TAKEN_OVER_RETRY_SECONDS = 0.2
"""Retry-After for a taken-over program; the retry is forwarded to the node that serves it."""
UNCOMMITTED_REPORT_SECONDS = 2.0
"""Time after which an outcome that is not yet committed is reported as `unknown`."""


class ServedTree:
    """A root program and its descendants, while this node serves them."""

    def __init__(
        self,
        root: ProgramId,
        table: ProgramTable,
        journal: TreeJournal,
        clock: Clock,
        log: EventLog,
        on_lost: Callable[["ServedTree"], None],
    ) -> None:
        """Serve the program tree of `root`; `on_lost` runs after another node has taken it over."""
        self.root = root
        self.table = table
        self.journal = journal
        self.running: dict[CallId, RunningCall] = {}
        self.uncommitted_creations: dict[ProgramId, JournalRecord] = {}
        """Creation records that are committed with the program's first call."""
        self.ending_programs: set[ProgramId] = set()
        """Programs that are being finished or abandoned and accept no new calls."""
        self.draining = False
        """True while this node drains and only finishes calls that it has accepted."""
        self.lost = False
        self.opened_at_seconds = clock.monotonic()
        self._clock = clock
        self._log = log
        self._on_lost = on_lost
        journal.on_late_append(self.apply)

    @property
    def is_idle(self) -> bool:
        """Whether no call of the program tree runs or waits on this node."""
        return not self.running and not self.ending_programs

    async def commit(self, records: Sequence[JournalRecord]) -> Refused | None:
        """Append records and apply them; returns a refusal if they are not committed."""
        if self.lost:
            return lost_tree(RunState.NOT_RUN)
        refused = await self.journal.append(records)
        if refused is None:
            self.apply(records)
        self._check_fenced(refused)
        return refused

    async def confirm_read(self) -> Refused | None:
        """Confirm that this node still serves the program tree; returns a refusal if it cannot.

        Without this, a node that was partitioned or suspended could serve stale reads.
        """
        refused = await self.journal.confirm()
        if refused is None:
            return None
        self._check_fenced(refused)
        retry = refused.retry_after_seconds or READ_RETRY_SECONDS
        return not_run(refused.reason, refused.detail, retry)

    async def commit_until_done(
        self, records: Sequence[JournalRecord], on_delay: Callable[[Refused], None]
    ) -> bool:
        """Retry a commit until it succeeds; returns False if the program tree is taken over first.

        `on_delay` is called once, after `UNCOMMITTED_REPORT_SECONDS` or when the journal is fenced.
        A record that is committed twice after an unknown first attempt is ignored when applied.
        """
        started_at = self._clock.monotonic()
        backoff_seconds = COMMIT_RETRY_SECONDS
        is_reported = False
        while True:
            refused = await self.commit(records)
            if refused is None:
                return True
            waited = self._clock.monotonic() - started_at
            if not is_reported and (
                refused.reason is Reason.FENCED or waited >= UNCOMMITTED_REPORT_SECONDS
            ):
                is_reported = True
                on_delay(refused)
            if self.lost or refused.reason is Reason.FENCED:
                return False
            await self._clock.sleep(backoff_seconds * (0.5 + self._clock.uniform()))
            backoff_seconds = min(backoff_seconds * 2, MAX_COMMIT_RETRY_SECONDS)

    def apply(self, records: Sequence[JournalRecord]) -> None:
        """Apply committed records; records that change nothing are logged."""
        for record in records:
            created = ProgramId(record.program_created.program_id)
            if self.uncommitted_creations.pop(created, None) is not None:
                continue  # it was applied when the first call arrived
            applied = self.table.apply(record)
            if isinstance(applied, Ignored):
                self._log.warning("record_dropped", family=self.root, cause=applied.cause)

    def _check_fenced(self, refused: Refused | None) -> None:
        """Release a fenced program tree after the caller of the commit has handled the refusal."""
        if refused is not None and refused.reason is Reason.FENCED:
            asyncio.get_running_loop().call_soon(self._on_lost, self)

    def start_next_call(self, program_id: ProgramId) -> None:
        """Start the next waiting call of a program."""
        program = self.table.find(program_id)
        call_id = self.table.next_waiting(program) if program is not None else None
        running = self.running.get(call_id) if call_id is not None else None
        if (
            running is not None
            and running.earlier_calls_ended is not None
            and not running.earlier_calls_ended.done()
        ):
            running.earlier_calls_ended.set_result(None)

    def end_calls(self) -> list[asyncio.Task[None]]:
        """End all calls when this node stops serving the tree; returns the cancelled tasks."""
        self.lost = True
        calls = list(self.running.values())
        for call in calls:
            call.end(lost_tree(RunState.UNKNOWN if call.intent_sent else RunState.NOT_RUN))
        tasks = [call.task for call in calls if call.task is not None]
        for task in tasks:
            task.cancel()
        return tasks


def lost_tree(run_state: RunState) -> Refused:
    """Return the refusal of a call whose program tree another node has taken over."""
    if run_state is RunState.NOT_RUN:
        return not_run(Reason.NOT_OWNER, TAKEN_OVER_DETAIL, TAKEN_OVER_RETRY_SECONDS)
    return Refused(Reason.NOT_OWNER, run_state, TAKEN_OVER_DETAIL, TAKEN_OVER_RETRY_SECONDS)
