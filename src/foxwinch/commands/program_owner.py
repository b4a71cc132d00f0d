"""The program trees that this node serves, and the lifetimes of their calls.

A program tree is opened by the first request for one of its programs. It is served until another
node takes it over, or until all its programs have ended and their retention time has passed.
"""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

from foxwinch._generated.journal_pb2 import CallAdmitted
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.call_settings import model_call_settings, tool_declaration
from foxwinch.commands.model_call import ModelCallDriver
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.running_call import RunningCall
from foxwinch.commands.served_tree import ServedTree, lost_tree
from foxwinch.commands.tool_call import ToolCallDriver
from foxwinch.core.program.identity import is_single_call
from foxwinch.core.program.recovery import Recovery, decide, unknown_outcome
from foxwinch.core.program.state import Call, Program
from foxwinch.core.program.table import ProgramTable
from foxwinch.identifiers import CallId, NodeId, ProgramId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.records.program_trees import OpenedTree, OwnedElsewhere

Result = TypeVar("Result")
CLIENT_DISCONNECTED = "client_gone"
IDLE_POLL_SECONDS = 0.1


class ProgramOwner:
    """Holds the program trees that this node serves."""

    def __init__(self, ports: ProgramPorts) -> None:
        """Start without program trees."""
        self.ports = ports
        self.log = EventLog("programs")
        self.draining = False
        """True while this node drains and leaves idle program trees to other nodes."""
        self._trees: dict[ProgramId, ServedTree] = {}
        self._opening: dict[ProgramId, asyncio.Task[ServedTree | OwnedElsewhere | Refused]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    # --- program trees -------------------------------------------------------------------

    async def locate(
        self, root: ProgramId, previous_owner: NodeId | None = None
    ) -> ServedTree | OwnedElsewhere | Refused:
        """Return the program tree of a root, and start to serve it if no other node does.

        A program tree that the node `previous_owner` serves is taken over.
        """
        tree = self._trees.get(root)
        if tree is not None:
            tree.draining = self.draining
            return tree
        opening = self._opening.get(root)
        if opening is None:
            opening = asyncio.get_running_loop().create_task(self._open(root, previous_owner))
            self._opening[root] = opening
            opening.add_done_callback(lambda _: self._opening.pop(root, None))
        return await asyncio.shield(opening)

    def served_tree(self, root: ProgramId) -> ServedTree | None:
        """Return a program tree, or None if this node does not serve it."""
        return self._trees.get(root)

    def trees(self) -> Iterator[ServedTree]:
        """Iterate over the program trees that this node serves."""
        return iter(list(self._trees.values()))

    def tree_count(self) -> int:
        """Return the number of program trees that this node serves."""
        return len(self._trees)

    def drop(self, tree: ServedTree) -> None:
        """Release a program tree: end its calls with their true run state and free its memory."""
        if self._trees.get(tree.root) is not tree:
            return
        del self._trees[tree.root]
        self.log.info("family_dropped", family=tree.root, running=len(tree.running))
        tree.end_calls()

    async def _open(
        self, root: ProgramId, previous_owner: NodeId | None
    ) -> ServedTree | OwnedElsewhere | Refused:
        opened = await self.ports.trees.open(root, previous_owner)
        if not isinstance(opened, OpenedTree):
            return opened
        return self._restore_tree(root, opened)

    def _restore_tree(self, root: ProgramId, opened: OpenedTree) -> ServedTree:
        """Rebuild a program tree from its journal and recover the calls that were running."""
        table = ProgramTable(opened.records)
        tree = ServedTree(root, table, opened.journal, self.ports.clock, self.log, self.drop)
        self._trees[root] = tree
        if opened.records:
            self.log.info("family_opened", family=root, programs=len(table))
        for program in table:
            self.ports.grants.mark_taken_over(program.program_id)
            if program.finished is not None:
                self.ports.grants.finish(program.program_id)
            interrupted = program.calls.get(program.active) if program.active is not None else None
            if interrupted is not None:
                self._recover(tree, program, interrupted)
        return tree

    # --- calls ---------------------------------------------------------------------------

    def open_call(
        self, tree: ServedTree, program: Program, call_id: CallId, key: str
    ) -> RunningCall:
        """Return a new call of a program, to be driven by `start_driver`."""
        running = RunningCall(call_id, program, bool(key), self._handle_last_disconnect)
        running.unfollowed_at_seconds = self.ports.clock.monotonic()
        tree.running[call_id] = running
        return running

    def start_driver(self, running: RunningCall, work: Coroutine[Any, Any, None]) -> None:
        """Run a call's driver in its own task."""
        running.task = self.spawn_task(work, running)

    def spawn_task(
        self, work: Coroutine[Any, Any, None], running: RunningCall | None = None
    ) -> asyncio.Task[None]:
        """Run a task whose failure is logged and, for a call, reported to its followers."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

        def ended(done: asyncio.Task[None]) -> None:
            self._tasks.discard(done)
            self._task_ended(done, running)

        task.add_done_callback(ended)
        return task

    async def run_shielded(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Await work that runs to completion even if the awaiting task is cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def stop(self) -> None:
        """Release all program trees and cancel all tasks."""
        for tree in self.trees():
            self.drop(tree)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_idle(self) -> None:
        """Wait until no call is running."""
        while self.running_calls():
            await self.ports.clock.sleep(IDLE_POLL_SECONDS)

    def running_calls(self) -> int:
        """Return the number of calls that have not ended."""
        return sum(len(tree.running) for tree in self._trees.values())

    def _task_ended(self, task: asyncio.Task[None], running: RunningCall | None) -> None:
        if running is not None and running.final is None:
            state = RunState.UNKNOWN if running.intent_sent else RunState.NOT_RUN
            running.end(lost_tree(state) if task.cancelled() else _internal_error(state))
        if not task.cancelled() and task.exception() is not None:
            self.log.error(
                "call_driver_failed",
                call=running.call_id if running is not None else "",
                error=repr(task.exception()),
            )

    def _handle_last_disconnect(self, running: RunningCall) -> None:
        """Handle the last caller's disconnect; a keyed call runs on so that it can reconnect."""
        running.unfollowed_at_seconds = self.ports.clock.monotonic()
        if running.cancellable and not running.has_key:
            self.log.info("call_cancelled", call=running.call_id, cause=CLIENT_DISCONNECTED)
            running.cancel(CLIENT_DISCONNECTED)

    # --- recovery ------------------------------------------------------------------------

    def _recover(self, tree: ServedTree, program: Program, call: Call) -> None:
        now = self.ports.clock.wall()
        running = self.open_call(tree, program, call.call_id, call.admitted.idempotency_key)
        running.intent_sent = True
        running.cancellable = False
        running.rerun = True
        lifecycle = CallLifecycle(self.ports, tree, running, is_single_call(program.program_id))
        decision = decide(call, now)
        self.log.info("call_recovered", call=call.call_id, decision=decision)
        if decision is Recovery.RUN_AGAIN and self._rerun(lifecycle, call):
            return
        outcome = unknown_outcome(program, call, now)
        detail = Refused(Reason.OUTCOME_UNKNOWN, RunState.UNKNOWN, outcome.detail)

        async def record() -> None:
            try:
                await lifecycle.commit_outcome(outcome, detail)
            finally:
                lifecycle.close()

        self.start_driver(running, record())

    def _rerun(self, lifecycle: CallLifecycle, call: Call) -> bool:
        snapshot = self.ports.configuration.current()
        if isinstance(snapshot, Refused):
            return False
        admitted = call.admitted
        lifecycle.admitted = admitted
        if admitted.kind == CallAdmitted.MODEL:
            settings = model_call_settings(snapshot.document, lifecycle.program, admitted.target)
            if isinstance(settings, Refused):
                return False
            model = ModelCallDriver(self.ports, lifecycle, settings, admitted)
            self.start_driver(lifecycle.running, model.run(None))
            return True
        declaration = tool_declaration(snapshot.document, lifecycle.program, admitted.target)
        if isinstance(declaration, Refused):
            return False
        tool = ToolCallDriver(self.ports, lifecycle, declaration.settings, admitted)
        self.start_driver(lifecycle.running, tool.run(None))
        return True


def _internal_error(run_state: RunState) -> Refused:
    return Refused(Reason.INTERNAL, run_state, "the call failed because of an internal error")
