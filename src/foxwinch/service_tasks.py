"""Background tasks of a service, which report failures and end with the service."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from foxwinch.log import EventLog

FAILED_SERVICE = "failed_service"
"""Key in the event loop's exception context for the service of a failed task."""
log = EventLog("tasks")


class TaskFailedError(Exception):
    """A background task failed, so the process has to stop."""


def stop_on_failure(
    loop: asyncio.AbstractEventLoop, stop: Callable[[TaskFailedError], None]
) -> None:
    """Call `stop` if a background task fails; other exceptions get the loop's default handling."""

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        loop.default_exception_handler(context)
        if FAILED_SERVICE in context:
            failure = TaskFailedError(context["message"])
            failure.__cause__ = context["exception"]
            stop(failure)

    loop.set_exception_handler(handle)


class ServiceTasks:
    """Runs tasks; a failure is a violated invariant and goes to the loop's exception handler."""

    def __init__(self, service: str) -> None:
        """Use `service` as the name in log lines."""
        self._service = service
        self._tasks: dict[asyncio.Task[None], None] = {}
        """The running tasks in the order of their start."""

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task until it ends or the service stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._on_done)
        return task

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
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
