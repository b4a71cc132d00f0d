"""Base class for background tasks that run until the node stops."""

import asyncio
from abc import ABC, abstractmethod

from foxwinch.commands.program_owner import ProgramOwner


class BackgroundTask(ABC):
    """A background service with a single task."""

    def __init__(self, owner: ProgramOwner) -> None:
        """Prepare a task over the programs of `owner`; `start` runs it."""
        self._owner = owner
        self._clock = owner.ports.clock
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task."""
        self._task = self._owner.spawn_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @abstractmethod
    async def _run(self) -> None:
        """Run until cancelled."""
