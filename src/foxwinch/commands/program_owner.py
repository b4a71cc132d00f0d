"""The programs that this node serves: their trees, their calls, and how calls end.

A program tree is opened by the first request for one of its programs. It is served until another
node takes it over, or until all its programs are over and nobody may read them any more.
"""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

from foxwinch._generated.journal_pb2 import CallAdmitted
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.call_settings import model_terms, tool_declaration
from foxwinch.commands.model_call import ModelCallDriver
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.running_call import RunningCall
from foxwinch.commands.served_tree import ServedTree, lost_tree
from foxwinch.commands.tool_call import ToolCallDriver
from foxwinch.core.program.identity import is_single_call
from foxwinch.core.program.recovery import Recovery, decide_recovery, unknown_outcome
from foxwinch.core.program.state import Call, Program
from foxwinch.core.program.table import ProgramTable
from foxwinch.identifiers import CallId, NodeId, ProgramId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.records.program_trees import OpenedTree, OwnedElsewhere

Result = TypeVar("Result")
CLIENT_GONE = "client_gone"
IDLE_POLL_SECONDS = 0.1


class ProgramOwner:
    """Holds the program trees that this node serves."""

    def __init__(self, ports: ProgramPorts) -> None:
        """Start without program trees."""
        self.ports = ports
        self.log = EventLog("programs")
        self.closing = False
        """True while this node is leaving: what is idle is left to other nodes."""
        self._trees: dict[ProgramId, ServedTree] = {}
        self._opening: dict[ProgramId, asyncio.Task[ServedTree | OwnedElsewhere | Refused]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    # --- program trees ------------------------------------------------------------------------

    async def locate(
        self, root: ProgramId, over: NodeId | None = None
    ) -> ServedTree | OwnedElsewhere | Refused:
        """Return the program tree of a root, served from now on if no other node serves it.

        A program tree that node `over` serves is taken over.
        """
        held = self._trees.get(root)
        if held is not None:
            held.closing = self.closing
            return held
        opening = self._opening.get(root)
        if opening is None:
            opening = asyncio.get_running_loop().create_task(self._open(root, over))
            self._opening[root] = opening
            opening.add_done_callback(lambda _: self._opening.pop(root, None))
        return await asyncio.shield(opening)

    def held(self, root: ProgramId) -> ServedTree | None:
        """Return a program tree if this node serves it."""
        return self._trees.get(root)

    def trees(self) -> Iterator[ServedTree]:
        """Iterate over the program trees that this node serves."""
        return iter(list(self._trees.values()))

    def held_count(self) -> int:
        """Return how many program trees this node serves."""
        return len(self._trees)

    def drop(self, held: ServedTree) -> None:
        """Give a program tree up: its running calls end truthfully, its programs leave memory."""
        if self._trees.get(held.root) is not held:
            return
        del self._trees[held.root]
        self.log.info("family_dropped", family=held.root, running=len(held.running))
        held.lose()

    async def _open(
        self, root: ProgramId, over: NodeId | None
    ) -> ServedTree | OwnedElsewhere | Refused:
        opened = await self.ports.trees.open(root, over)
        if not isinstance(opened, OpenedTree):
            return opened
        return self._serve(root, opened)

    def _serve(self, root: ProgramId, opened: OpenedTree) -> ServedTree:
        """Rebuild a program tree's programs and settle what was left running."""
        table = ProgramTable(opened.records)
        held = ServedTree(root, table, opened.journal, self.ports.clock, self.log, self.drop)
        self._trees[root] = held
        if opened.records:
            self.log.info("family_opened", family=root, programs=len(table))
        for program in table:
            self.ports.grants.adopt(program.program_id)
            if program.finished is not None:
                self.ports.grants.finish(program.program_id)
            left = program.calls.get(program.active) if program.active is not None else None
            if left is not None:
                self._recover(held, program, left)
        return held

    # --- calls ---------------------------------------------------------------------------

    def open_call(
        self, held: ServedTree, program: Program, call_id: CallId, key: str
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
        """Drop every program tree and end every task."""
        for held in self.trees():
            self.drop(held)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_idle(self) -> None:
        """Return when no call is running."""
        while self.running_calls():
            await self.ports.clock.sleep(IDLE_POLL_SECONDS)

    def running_calls(self) -> int:
        """Return the number of calls that have not ended."""
        return sum(len(held.running) for held in self._trees.values())

    def _task_ended(self, task: asyncio.Task[None], running: RunningCall | None) -> None:
        if running is not None and running.final is None:
            state = RunState.UNKNOWN if running.intent_sent else RunState.NOT_RUN
            running.end(lost_tree(state) if task.cancelled() else _internal(state))
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

    def _recover(self, held: ServedTree, program: Program, call: Call) -> None:
        now = self.ports.clock.wall()
        running = self.open_call(held, program, call.call_id, call.admitted.idempotency_key)
        running.intent_sent = True
        running.cancellable = False
        running.rerun = True
        life = CallLifecycle(self.ports, held, running, is_single_call(program.program_id))
        decision = decide_recovery(call, now)
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
