"""The owner's side of programs: the shards held here, their calls, and how calls end.

The journal's service calls `load_shard` after it has taken a shard over, `drop_shard` when it has
lost one, and `snapshot_records` before it truncates a shard's journal.
"""

import asyncio
from collections.abc import Coroutine, Iterable, Iterator
from typing import Any, TypeVar

from foxwinch._generated.journal_pb2 import CallAdmitted, JournalRecord
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.held_shard import HeldShard, lost_shard
from foxwinch.commands.model_call import ModelCallDriver
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.running_call import RunningCall
from foxwinch.commands.terms import model_terms, tool_declaration
from foxwinch.commands.tool_call import ToolCallDriver
from foxwinch.core.program.identity import is_single_call
from foxwinch.core.program.recovery import Recovery, decide, unknown_outcome
from foxwinch.core.program.snapshot import snapshot_records
from foxwinch.core.program.state import Call, Program
from foxwinch.core.program.table import ProgramTable
from foxwinch.identifiers import CallId, Epoch, ProgramId, ShardNumber
from foxwinch.log import EventLog
from foxwinch.node.interfaces import OwnedBy, OwnedHere
from foxwinch.outcomes import Reason, Refused, RunState, not_run

Result = TypeVar("Result")
CLIENT_GONE = "client_gone"
IDLE_POLL_SECONDS = 0.1
LOADING_RETRY_SECONDS = 0.5
"""When to ask again while a shard that was taken over is still being read."""


class ProgramOwner:
    """Holds the programs of the shards that this node owns."""

    def __init__(self, ports: ProgramPorts) -> None:
        """Start without shards."""
        self.ports = ports
        self.log = EventLog("programs")
        self._shards: dict[ShardNumber, HeldShard] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    # --- shards --------------------------------------------------------------------------

    def load_shard(
        self, shard: ShardNumber, epoch: Epoch, records: Iterable[JournalRecord]
    ) -> None:
        """Take a shard over: rebuild its programs and settle what was left running.

        Called on the event loop once the epoch is held and the journal's tail is read. Under the
        epoch that is held already, only what this node has missed is applied: calls go on.
        """
        present = self._shards.get(shard)
        if present is not None and present.epoch == epoch:
            for program_id in present.catch_up(records):
                self.ports.grants.finish(program_id)
            return
        self.drop_shard(shard)
        table = ProgramTable(records)
        held = HeldShard(shard, epoch, table, self.ports.journal, self.ports.clock, self.log)
        self._shards[shard] = held
        self.log.info("shard_loaded", shard=shard, epoch=epoch, programs=len(table))
        for program in table:
            self.ports.grants.adopt(program.program_id)
            if program.finished is not None:
                self.ports.grants.finish(program.program_id)
            left = program.calls.get(program.active) if program.active is not None else None
            if left is not None:
                self._recover(held, program, left)

    def drop_shard(self, shard: ShardNumber) -> None:
        """Give a shard up: its running calls end truthfully, its programs leave memory."""
        held = self._shards.pop(shard, None)
        if held is None:
            return
        self.log.info("shard_dropped", shard=shard, epoch=held.epoch, running=len(held.running))
        held.lose()

    def snapshot_records(self, shard: ShardNumber) -> list[JournalRecord]:
        """Return the least records that rebuild the shard's programs; empty when not held.

        Covers exactly what `append` has committed and this node has applied by now.
        """
        held = self._shards.get(shard)
        if held is None:
            return []
        return snapshot_records(p for p in held.table if p.program_id not in held.uncommitted)

    def shards(self) -> Iterator[HeldShard]:
        """Iterate over the shards held."""
        return iter(list(self._shards.values()))

    def locate(self, root: ProgramId) -> HeldShard | OwnedBy | Refused:
        """Find the shard of a program by the root of its family, or the node that holds it."""
        located = self.ports.ownership.locate(root)
        if not isinstance(located, OwnedHere):
            return located
        held = self._shards.get(located.shard)
        if held is None:
            detail = "the program's shard is being taken over"
            return not_run(Reason.NOT_OWNER, detail, LOADING_RETRY_SECONDS)
        held.closing = located.closing
        return held

    # --- calls ---------------------------------------------------------------------------

    def open_call(
        self, held: HeldShard, program: Program, call_id: CallId, key: str
    ) -> RunningCall:
        """Return a new call of a program, to be driven by `drive`."""
        running = RunningCall(call_id, program, bool(key), self._unfollowed)
        running.unfollowed_at_seconds = self.ports.clock.monotonic()
        held.running[call_id] = running
        return running

    def drive(self, running: RunningCall, work: Coroutine[Any, Any, None]) -> None:
        """Run a call's driver in a task of its own."""
        running.task = self.spawn_task(work, running)

    def spawn_task(
        self, work: Coroutine[Any, Any, None], running: RunningCall | None = None
    ) -> asyncio.Task[None]:
        """Run work whose failure is logged and, for a call, told to its followers."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

        def ended(done: asyncio.Task[None]) -> None:
            self._tasks.discard(done)
            self._task_ended(done, running)

        task.add_done_callback(ended)
        return task

    async def run_apart(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Wait for work that goes on to its end even when the one who waits is cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def stop(self) -> None:
        """Drop every shard and end every task."""
        for shard in list(self._shards):
            self.drop_shard(shard)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_idle(self) -> None:
        """Return when no call is running."""
        while self.running_calls():
            await self.ports.clock.sleep(IDLE_POLL_SECONDS)

    def running_in(self, shard: ShardNumber) -> int:
        """Return the number of calls of a shard that have not ended."""
        held = self._shards.get(shard)
        return 0 if held is None else len(held.running)

    def running_calls(self) -> int:
        """Return the number of calls that have not ended."""
        return sum(len(held.running) for held in self._shards.values())

    def _task_ended(self, task: asyncio.Task[None], running: RunningCall | None) -> None:
        if running is not None and running.final is None:
            state = RunState.UNKNOWN if running.intent_sent else RunState.NOT_RUN
            running.end(lost_shard(state) if task.cancelled() else _internal(state))
        if not task.cancelled() and task.exception() is not None:
            self.log.error(
                "call_driver_failed",
                call=running.call_id if running is not None else "",
                error=repr(task.exception()),
            )

    def _unfollowed(self, running: RunningCall) -> None:
        """React to the last caller going: keyed calls wait a while for it to come back."""
        running.unfollowed_at_seconds = self.ports.clock.monotonic()
        if running.cancellable and not running.keyed:
            self.log.info("call_cancelled", call=running.call_id, cause=CLIENT_GONE)
            running.cancel(CLIENT_GONE)

    # --- recovery ------------------------------------------------------------------------

    def _recover(self, held: HeldShard, program: Program, call: Call) -> None:
        now = self.ports.clock.wall()
        running = self.open_call(held, program, call.call_id, call.admitted.idempotency_key)
        running.intent_sent = True
        running.cancellable = False
        running.rerun = True
        life = CallLifecycle(self.ports, held, running, is_single_call(program.program_id))
        decision = decide(call, now)
        self.log.info("call_recovered", call=call.call_id, decision=decision)
        if decision is Recovery.RUN_AGAIN and self._run_again(life, call):
            return
        outcome = unknown_outcome(program, call, now)
        detail = Refused(Reason.OUTCOME_UNKNOWN, RunState.UNKNOWN, outcome.detail)

        async def record() -> None:
            try:
                await life.commit_outcome(outcome, detail)
            finally:
                life.close()

        self.drive(running, record())

    def _run_again(self, life: CallLifecycle, call: Call) -> bool:
        snapshot = self.ports.configuration.current()
        if isinstance(snapshot, Refused):
            return False
        admitted = call.admitted
        life.admitted = admitted
        if admitted.kind == CallAdmitted.MODEL:
            terms = model_terms(snapshot.document, life.program, admitted.target)
            if isinstance(terms, Refused):
                return False
            model = ModelCallDriver(self.ports, life, terms, admitted)
            self.drive(life.running, model.run(None))
            return True
        declaration = tool_declaration(snapshot.document, life.program, admitted.target)
        if isinstance(declaration, Refused):
            return False
        tool = ToolCallDriver(self.ports, life, declaration.terms, admitted)
        self.drive(life.running, tool.run(None))
        return True


def _internal(run_state: RunState) -> Refused:
    return Refused(Reason.INTERNAL, run_state, "the call ended by an internal error")
