"""A simulated node process, which can be frozen and killed together with its tasks."""

import asyncio
import inspect
from collections.abc import AsyncGenerator, Callable, Coroutine
from contextlib import aclosing
from contextvars import ContextVar
from typing import Any

from foxwinch.emulator.clock import VirtualClock
from foxwinch.peer.ports import PeerAddress, PeerContext, PeerPort, StreamHandler, UnaryHandler

CURRENT: ContextVar["SimulatedProcess | None"] = ContextVar("CURRENT", default=None)


class SimulatedProcess:
    """The tasks of one node; each task belongs to the process in whose context it was created."""

    def __init__(self, clock: VirtualClock) -> None:
        """Use `clock`, which stops while the process is frozen."""
        self.clock = clock
        self.dead = False
        self.frozen = False
        self._tasks: set[asyncio.Task[Any]] = set()

    def track(self, task: asyncio.Task[Any]) -> None:
        """Add a task to this process."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def gate(self) -> None:
        """Return at once, wait while the process is frozen, or cancel the task if it is dead."""
        if self.dead:
            raise asyncio.CancelledError
        await self.clock.sleep(0.0)
        if self.dead:
            raise asyncio.CancelledError

    def freeze(self) -> None:
        """Freeze the process, as SIGSTOP does."""
        self.frozen = True
        self.clock.pause()

    def wake(self) -> None:
        """Resume the process, as SIGCONT does."""
        self.frozen = False
        self.clock.resume()

    async def kill(self) -> None:
        """Cancel every task and block its port calls, as SIGKILL does."""
        self.dead = True
        self.clock.resume()
        own = asyncio.current_task()
        while tasks := [task for task in self._tasks if task is not own]:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=1.0)


def install_task_factory(loop: asyncio.AbstractEventLoop) -> None:
    """Assign every new task of the loop to the process of its context."""

    def factory(
        loop: asyncio.AbstractEventLoop, coroutine: Coroutine[Any, Any, Any], **options: Any
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, **options)
        process = CURRENT.get()
        if process is not None:
            process.track(task)
        return task

    loop.set_task_factory(factory)  # type: ignore[arg-type]


class GuardedPort:
    """Wrapper of a port; each call passes the process's gate before and after."""

    def __init__(self, inner: Any, process: SimulatedProcess) -> None:
        """Wrap `inner`."""
        self._inner = inner
        self._process = process

    def __getattr__(self, name: str) -> Any:
        """Return a guarded method, or any other attribute unchanged."""
        attribute = getattr(self._inner, name)
        if inspect.isasyncgenfunction(attribute):
            return self._stream(attribute)
        if inspect.iscoroutinefunction(attribute):
            return self._call(attribute)
        return attribute

    def _call(self, method: Callable[..., Any]) -> Callable[..., Any]:
        async def guarded(*arguments: Any, **options: Any) -> Any:
            await self._process.gate()
            result = await method(*arguments, **options)
            await self._process.gate()
            return result

        return guarded

    def _stream(self, method: Callable[..., Any]) -> Callable[..., Any]:
        async def guarded(*arguments: Any, **options: Any) -> AsyncGenerator[Any, None]:
            await self._process.gate()
            async with aclosing(method(*arguments, **options)) as events:
                async for event in events:
                    await self._process.gate()
                    yield event

        return guarded


class GuardedPeers:
    """Wrapper of a node's peer port; handlers and their tasks belong to the serving node."""

    def __init__(self, inner: PeerPort, process: SimulatedProcess) -> None:
        """Wrap `inner`."""
        self._inner = inner
        self._process = process
        self._guarded = GuardedPort(inner, process)

    def __getattr__(self, name: str) -> Any:
        """Return a guarded method, or any other attribute unchanged."""
        return getattr(self._guarded, name)

    def stream(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncGenerator[Any, None]:
        """Stream a request to a peer through the gate; see `PeerPort.stream`."""
        guarded = self._guarded._stream(self._inner.stream)
        events: AsyncGenerator[Any, None] = guarded(address, method, payload, deadline_seconds)
        return events

    def send_datagram(self, address: PeerAddress, payload: bytes) -> None:
        """Send a datagram, unless the node is frozen or dead."""
        if not self._process.dead and not self._process.frozen:
            self._inner.send_datagram(address, payload)

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Serve within this node's process."""

        async def serve(context: PeerContext, payload: bytes) -> Any:
            CURRENT.set(self._process)
            await self._process.gate()
            return await handler(context, payload)

        self._inner.handle(method, serve)

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Serve within this node's process."""

        async def serve(context: PeerContext, payload: bytes) -> AsyncGenerator[Any, None]:
            CURRENT.set(self._process)
            await self._process.gate()
            async with aclosing(handler(context, payload)) as responses:  # type: ignore[type-var]
                async for response in responses:
                    await self._process.gate()
                    yield response

        self._inner.handle_stream(method, serve)

    def handle_datagrams(self, handler: Callable[[PeerAddress, bytes], None]) -> None:
        """Serve within this node's process."""

        def serve(source: PeerAddress, payload: bytes) -> None:
            token = CURRENT.set(self._process)
            try:
                if not self._process.dead:
                    handler(source, payload)
            finally:
                CURRENT.reset(token)

        self._inner.handle_datagrams(serve)
