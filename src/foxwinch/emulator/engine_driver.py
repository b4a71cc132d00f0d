"""Runs the engine model on the time of the event loop, which may be virtual in tests."""

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
    """Feeds inputs and timer ticks to a model, and dispatches its outputs to the waiting calls."""

    def __init__(self, model: EngineModel) -> None:
        """Drive `model`; nothing runs until the first input."""
        self._model = model
        self._timer: asyncio.TimerHandle | None = None
        self._calls: dict[CallId, asyncio.Queue[CallOutput]] = {}
        self._completions: dict[str, asyncio.Future[EngineOutput]] = {}

    def load_report(self, age_seconds: float = 0.0) -> LoadReport:
        """Return the load, `age_seconds` older than with the model's own lag."""
        return self._model.load_report(self._now() - age_seconds)

    def cache_events(self, after: int, age_seconds: float = 0.0) -> CacheEventPage:
        """Return cache events, delayed by `age_seconds` beyond the model's own lag."""
        return self._model.cache_events(after, self._now() - age_seconds)

    def feed(self, event: EngineInput) -> None:
        """Feed an input without waiting for an output."""
        self._handle(event)

    async def run(self, request: Submit) -> AsyncGenerator[CallOutput, None]:
        """Run a call and yield its outputs; the last is completed, stopped or rejected.

        A call with the same identifier that still runs is stopped first, because its reader has
        disconnected. Closing the iterator early cancels the call.
        """
        if request.call_id in self._calls:
            self._handle(CancelCall(request.call_id))
        queue: asyncio.Queue[CallOutput] = asyncio.Queue()
        self._calls[request.call_id] = queue
        finished = False
        try:
            self._handle(request)
            while not finished:
                output = await queue.get()
                finished = not isinstance(output, TokensProduced)
                yield output
        finally:
            if self._calls.get(request.call_id) is queue:
                del self._calls[request.call_id]
                if not finished:
                    self._handle(CancelCall(request.call_id))

    async def complete(
        self, name: str, event: LoadModel | UnloadModel | ExportBlocks | ImportBlocks
    ) -> EngineOutput:
        """Feed an input, identified by its token or transfer as `name`, and wait for completion."""
        completion = self._completions.get(name)
        if completion is None:
            completion = asyncio.get_running_loop().create_future()
            self._completions[name] = completion
            self._handle(event)
        return await asyncio.shield(completion)

    def stop(self) -> None:
        """Cancel the timer, so that the model does not advance any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _handle(self, event: EngineInput) -> None:
        for output in self._model.handle(event, self._now()):
            self._dispatch(output)
        self._set_timer()

    def _dispatch(self, output: EngineOutput) -> None:
        match output:
            case OrderCompleted():
                self._resolve(output.token, output)
            case BlocksExported() | BlocksImported():
                self._resolve(output.transfer, output)
            case _:
                queue = self._calls.get(output.call_id)
                if queue is not None:
                    queue.put_nowait(output)

    def _resolve(self, name: str, output: EngineOutput) -> None:
        completion = self._completions.pop(name, None)
        if completion is not None and not completion.done():
            completion.set_result(output)

    def _set_timer(self) -> None:
        self.stop()
        wake_at = self._model.next_event_time()
        if wake_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(wake_at, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._handle(Tick())
