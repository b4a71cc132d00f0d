"""Work of an owner that goes on until the node stops."""

import asyncio
from abc import ABC, abstractmethod

from foxwinch.commands.program_owner import ProgramOwner


class PeriodicWork(ABC):
    """A service of one task."""

    def __init__(self, owner: ProgramOwner) -> None:
        """Work on the programs of `owner` once started."""
        self._owner = owner
        self._clock = owner.ports.clock
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start working."""
        self._task = self._owner.spawn_task(self._run())

    async def stop(self) -> None:
        """Stop working."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @abstractmethod
    async def _run(self) -> None:
        """Work for ever."""
