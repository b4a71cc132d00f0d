"""What ends by itself: calls that nobody follows, programs left alone, trees that are over."""

from foxwinch.commands.end_program import end_program
from foxwinch.commands.periodic import PeriodicWork
from foxwinch.commands.program_owner import CLIENT_GONE
from foxwinch.commands.served_tree import ServedTree
from foxwinch.core.program.lifetime import abandonment_reason
from foxwinch.core.program.state import Program
from foxwinch.outcomes import Reason

SWEEP_SECONDS = 1.0
RECONNECT_SECONDS = 10.0
"""How long a call with an idempotency key runs on after its caller has gone."""
EMPTY_SECONDS = 5.0
"""A program tree without programs is kept so long: its first call may still be on its way."""
RETENTION_SECONDS = 600.0
"""How long a finished program can be read and its calls repeated by key."""


class ProgramSweeper(PeriodicWork):
    """Looks over all programs served here from time to time."""

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_SECONDS)
            for held in self._owner.trees():
                self.sweep(held)
                await self._remove_if_over(held)

    def sweep(self, held: ServedTree) -> None:
        """Look over one program tree."""
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
                held.table.remove_finished(program.program_id)

    async def _remove_if_over(self, held: ServedTree) -> None:
        """Drop a program tree without programs, and remove what the store still keeps of it."""
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
