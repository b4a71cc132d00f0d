"""Expiry of calls without followers, idle programs, ended programs and empty program trees."""

from foxwinch.commands.background_task import BackgroundTask
from foxwinch.commands.end_program import end_program
from foxwinch.commands.program_owner import CLIENT_DISCONNECTED
from foxwinch.commands.served_tree import ServedTree
from foxwinch.core.program.lifetime import abandonment_reason
from foxwinch.core.program.state import Program
from foxwinch.outcomes import Reason

SWEEP_INTERVAL_SECONDS = 1.0
RECONNECT_TIMEOUT_SECONDS = 10.0
"""Time for which a call with an idempotency key runs on after its caller has disconnected."""
MIN_EMPTY_TREE_SECONDS = 5.0
"""Minimum lifetime of a program tree without programs, because its first call may be in flight."""
RETENTION_SECONDS = 600.0
"""Time for which a finished program can be read and its calls repeated by idempotency key."""


class ProgramSweeper(BackgroundTask):
    """Periodically expires the calls, programs and program trees that this node serves."""

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_SECONDS)
            for tree in self._owner.trees():
                self.sweep(tree)
                await self._remove_if_empty(tree)

    def sweep(self, tree: ServedTree) -> None:
        """Expire the calls and programs of one program tree."""
        now = self._clock.monotonic()
        for call in list(tree.running.values()):
            unfollowed_at = call.unfollowed_at_seconds
            if (
                call.cancellable
                and unfollowed_at is not None
                and now - unfollowed_at > RECONNECT_TIMEOUT_SECONDS
            ):
                call.cancel(CLIENT_DISCONNECTED)
        wall_seconds = self._clock.wall()
        for program in list(tree.table):
            cause = abandonment_reason(program, wall_seconds)
            if cause is not None:
                if program.program_id not in tree.ending_programs:
                    self._owner.spawn_task(self._abandon(tree, program, cause))
            elif not program.children and _expired(program, wall_seconds):
                tree.table.forget(program.program_id)

    async def _remove_if_empty(self, tree: ServedTree) -> None:
        """Release a tree that has no programs left, and remove its journal from the store."""
        served_seconds = self._clock.monotonic() - tree.opened_at_seconds
        if len(tree.table) or not tree.is_idle or served_seconds < MIN_EMPTY_TREE_SECONDS:
            return
        refused = await tree.journal.remove()
        if refused is None or refused.reason is Reason.FENCED:
            self._owner.drop(tree)

    async def _abandon(self, tree: ServedTree, program: Program, cause: str) -> None:
        refused = await end_program(self._owner.ports, tree, program, True, cause)
        self._owner.log.info(
            "program_abandoned",
            program=program.program_id,
            cause=cause,
            refused=refused.reason if refused is not None else "",
        )


def _expired(program: Program, wall_seconds: float) -> bool:
    finished = program.finished
    return finished is not None and wall_seconds - finished.finished_at_seconds > RETENTION_SECONDS
