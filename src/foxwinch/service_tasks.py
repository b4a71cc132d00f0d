"""The background tasks of one service: none dies silently, all end with the service."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from foxwinch.log import EventLog

FAILED_SERVICE = "failed_service"
"""Key of the loop's exception context that names the service of a failed task."""
log = EventLog("tasks")


class TaskFailedError(Exception):
    """A task that must not fail has failed: the process cannot go on."""


def stop_on_failure(
    loop: asyncio.AbstractEventLoop, stop: Callable[[TaskFailedError], None]
) -> None:
    """Call `stop` when a task of a service fails; the loop's other exceptions go on as they do."""

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        loop.default_exception_handler(context)
        if FAILED_SERVICE in context:
            failure = TaskFailedError(context["message"])
            failure.__cause__ = context["exception"]
            stop(failure)

    loop.set_exception_handler(handle)


class ServiceTasks:
    """Keeps tasks; one that fails is a broken invariant and is given to the loop's handler."""

    def __init__(self, service: str) -> None:
        """Name the service for the log."""
        self._service = service
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine until it ends or the service stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def stop(self) -> None:
        """Cancel every task and wait for its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error(
                "task_failed",
                service=self._service,
                task=task.get_coro().__qualname__,  # type: ignore[union-attr]
                error=type(error).__name__,
                detail=str(error),
            )
            task.get_loop().call_exception_handler(
                {
                    "message": f"a task of {self._service} failed",
                    "exception": error,
                    "task": task,
                    FAILED_SERVICE: self._service,
                }
            )
