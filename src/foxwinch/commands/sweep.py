"""Expiry of calls without followers, idle programs, ended programs and empty program trees."""

from foxwinch.commands.end_program import end_program
from foxwinch.commands.periodic import PeriodicWork
from foxwinch.commands.program_owner import CLIENT_GONE
from foxwinch.commands.served_tree import ServedTree
from foxwinch.core.program.lifetime import abandonment_reason
from foxwinch.core.program.state import Program
from foxwinch.outcomes import Reason

SWEEP_SECONDS = 1.0
RECONNECT_SECONDS = 10.0
"""Time for which a call with an idempotency key runs on after its caller has disconnected."""
EMPTY_SECONDS = 5.0
"""Minimum lifetime of a program tree without programs, because its first call may be in flight."""
RETENTION_SECONDS = 600.0
"""Time for which a finished program can be read and its calls repeated by idempotency key."""


class ProgramSweeper(PeriodicWork):
    """Periodically expires the calls, programs and program trees that this node serves."""

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_SECONDS)
            for held in self._owner.trees():
                self.sweep(held)
                await self._remove_if_over(held)

    def sweep(self, held: ServedTree) -> None:
        """Expire the calls and programs of one program tree."""
        now = self._clock.monotonic()
        for call in list(held.running.values()):
            left_at = call.unfollowed_at_seconds
            if call.cancellable and left_at is not None and now - left_at > RECONNECT_SECONDS:
                call.cancel(CLIENT_GONE)
        wall = self._clock.wall()
        for program in list(held.table):
            cause = abandonment_reason(program, wall)
            if cause is not None:
                if program.program_id not in held.ending:
                    self._owner.spawn_task(self._abandon(held, program, cause))
            elif not program.children and _expired(program, wall):
                held.table.forget(program.program_id)

    async def _remove_if_over(self, held: ServedTree) -> None:
        """Release a tree that has no programs left, and remove its journal from the store."""
        kept_seconds = self._clock.monotonic() - held.opened_at_seconds
        if len(held.table) or not held.idle or kept_seconds < EMPTY_SECONDS:
            return
        refused = await held.journal.remove()
        if refused is None or refused.reason is Reason.FENCED:
            self._owner.drop(held)

    async def _abandon(self, held: ServedTree, program: Program, cause: str) -> None:
        refused = await end_program(self._owner.ports, held, program, True, cause)
        self._owner.log.info(
            "program_abandoned",
            program=program.program_id,
            cause=cause,
            refused=refused.reason if refused is not None else "",
        )


def _expired(program: Program, wall_seconds: float) -> bool:
    finished = program.finished
    return finished is not None and wall_seconds - finished.finished_at_seconds > RETENTION_SECONDS
