"""What ends by itself: calls that nobody follows, programs left alone, memory of finished ones."""

import asyncio

from foxwinch.commands.end_program import end_program
from foxwinch.commands.held_shard import HeldShard
from foxwinch.commands.program_owner import CLIENT_GONE, ProgramOwner
from foxwinch.core.program.lifetime import cause_of_abandonment
from foxwinch.core.program.state import Program

SWEEP_SECONDS = 1.0
RECONNECT_SECONDS = 10.0
"""How long a call with an idempotency key runs on after its caller has gone."""
RETENTION_SECONDS = 600.0
"""How long a finished program can be read and its calls repeated by key."""


class ProgramSweeper:
    """A service that looks over all programs held here from time to time."""

    def __init__(self, owner: ProgramOwner) -> None:
        """Sweep the owner's shards once started."""
        self._owner = owner
        self._clock = owner.ports.clock
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start sweeping."""
        self._task = self._owner.spawn_task(self._run())

    async def stop(self) -> None:
        """Stop sweeping."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_SECONDS)
            for held in self._owner.shards():
                self.sweep(held)

    def sweep(self, held: HeldShard) -> None:
        """Look over one shard."""
        now = self._clock.monotonic()
        for call in list(held.running.values()):
            left_at = call.unfollowed_at_seconds
            if call.cancellable and left_at is not None and now - left_at > RECONNECT_SECONDS:
                call.cancel(CLIENT_GONE)
        wall = self._clock.wall()
        for program in list(held.table):
            cause = cause_of_abandonment(program, wall)
            if cause is not None:
                if program.program_id not in held.ending:
                    self._owner.spawn_task(self._abandon(held, program, cause))
            elif not program.children and _expired(program, wall):
                held.table.forget(program.program_id)

    async def _abandon(self, held: HeldShard, program: Program, cause: str) -> None:
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
