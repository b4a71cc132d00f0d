"""Drives the model of an engine on the event loop's time, which a test may make virtual."""

import asyncio
from collections.abc import AsyncGenerator

from foxwinch.backends.ports import CacheEventPage, LoadReport
from foxwinch.emulator.engine_events import (
    BlocksExported,
    BlocksImported,
    CallCompleted,
    CallRejected,
    CallStopped,
    CancelCall,
    EngineInput,
    EngineOutput,
    ExportBlocks,
    ImportBlocks,
    LoadModel,
    OrderCompleted,
    Submit,
    Tick,
    TokensProduced,
    UnloadModel,
)
from foxwinch.emulator.engine_model import EngineModel
from foxwinch.identifiers import CallId

CallOutput = TokensProduced | CallCompleted | CallStopped | CallRejected


class EngineDriver:
    """Feeds inputs to a model, wakes it when something is due, and hands its outputs out."""

    def __init__(self, model: EngineModel) -> None:
        """Drive `model`; nothing runs until the first input."""
        self._model = model
        self._timer: asyncio.TimerHandle | None = None
        self._calls: dict[CallId, asyncio.Queue[CallOutput]] = {}
        self._completions: dict[str, asyncio.Future[EngineOutput]] = {}

    def load_report(self, age_seconds: float = 0.0) -> LoadReport:
        """Return the load, `age_seconds` older than the model's own lag."""
        return self._model.load_report(self._now() - age_seconds)

    def cache_events(self, after: int, age_seconds: float = 0.0) -> CacheEventPage:
        """Return cache events, `age_seconds` later than the model's own lag."""
        return self._model.cache_events(after, self._now() - age_seconds)

    def tell(self, event: EngineInput) -> None:
        """Feed an input that has no answer."""
        self._handle(event)

    async def run(self, order: Submit) -> AsyncGenerator[CallOutput, None]:
        """Run a call; the last output is completed, stopped or rejected.

        A call of the same name that still runs is stopped first: its reader has gone away.
        Closing the iterator early cancels the call.
        """
        if order.call_id in self._calls:
            self._handle(CancelCall(order.call_id))
        queue: asyncio.Queue[CallOutput] = asyncio.Queue()
        self._calls[order.call_id] = queue
        over = False
        try:
            self._handle(order)
            while not over:
                output = await queue.get()
                over = not isinstance(output, TokensProduced)
                yield output
        finally:
            if self._calls.get(order.call_id) is queue:
                del self._calls[order.call_id]
                if not over:
                    self._handle(CancelCall(order.call_id))

    async def complete(
        self, name: str, event: LoadModel | UnloadModel | ExportBlocks | ImportBlocks
    ) -> EngineOutput:
        """Feed an input named `name` (its token or transfer) and wait for its completion."""
        waiting = self._completions.get(name)
        if waiting is None:
            waiting = asyncio.get_running_loop().create_future()
            self._completions[name] = waiting
            self._handle(event)
        return await asyncio.shield(waiting)

    def stop(self) -> None:
        """Let nothing happen any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _handle(self, event: EngineInput) -> None:
        for output in self._model.handle(event, self._now()):
            self._hand_out(output)
        self._set_timer()

    def _hand_out(self, output: EngineOutput) -> None:
        match output:
            case OrderCompleted():
                self._finish(output.token, output)
            case BlocksExported() | BlocksImported():
                self._finish(output.transfer, output)
            case _:
                queue = self._calls.get(output.call_id)
                if queue is not None:
                    queue.put_nowait(output)

    def _finish(self, name: str, output: EngineOutput) -> None:
        waiting = self._completions.pop(name, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(output)

    def _set_timer(self) -> None:
        self.stop()
        wake_at = self._model.next_event_time()
        if wake_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(wake_at, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._handle(Tick())
