"""Driver of a pool's scheduler, which passes events to it and executes its actions."""

import asyncio
from collections.abc import Callable, Collection

from foxwinch.backends.ports import Completed, EnginePort
from foxwinch.clock import Clock
from foxwinch.core.coordinator.actions import (
    CopyPrefix,
    Dispatch,
    PoolAction,
    RefuseCall,
    ReleaseCache,
    ResyncCache,
)
from foxwinch.core.coordinator.calls import PoolCall, WorkerDescription
from foxwinch.core.coordinator.events import (
    CallArrived,
    CallWithdrawn,
    PoolEvent,
    ReleaseCompleted,
    TransferCompleted,
    WorkerJoined,
    WorkerLeaving,
    WorkerLeft,
)
from foxwinch.core.coordinator.policy import PolicySettings
from foxwinch.core.coordinator.scheduler import PoolScheduler
from foxwinch.identifiers import CallId, ModelName, ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.workers.engine_retries import EngineRetries, OperationKey, OperationKind

TRANSFER_TIMEOUT_SECONDS = 5.0
"""Transfer timeout; a longer transfer costs the call more than recomputing its prefix."""
RETRY_AFTER_SECONDS = 0.1
"""Retry delay after this pool has lost its last worker for a model."""

PlacementResult = Dispatch | Refused


class PoolDriver:
    """Scheduler of one pool together with its waiting calls."""

    def __init__(
        self,
        policy: PolicySettings,
        engine: EnginePort,
        retries: EngineRetries,
        clock: Clock,
        on_resync: Callable[[WorkerId], None],
    ) -> None:
        """Create a pool without workers.

        `on_resync` is called with each worker whose complete cache state must be read.
        """
        self.scheduler = PoolScheduler(policy)
        self._engine = engine
        self._retries = retries
        self._clock = clock
        self._on_resync = on_resync
        self._waiting: dict[CallId, asyncio.Future[PlacementResult]] = {}
        self._models: dict[CallId, ModelName] = {}
        self._workers: dict[WorkerId, tuple[WorkerDescription, bool]] = {}
        self._joined: set[WorkerId] = set()
        """Workers known to the scheduler; a worker that was leaving from the start never joins."""
        self._transfers: set[asyncio.Task[None]] = set()

    def serves(self, model: ModelName, excluded: Collection[WorkerId] = ()) -> bool:
        """Return whether a worker outside `excluded` accepts calls for a model."""
        return any(
            model in description.models and not leaving and worker not in excluded
            for worker, (description, leaving) in self._workers.items()
        )

    def queued(self, model: ModelName) -> int:
        """Return the number of waiting calls for a model."""
        return sum(waiting == model for waiting in self._models.values())

    def predicted_wait_seconds(self, class_rank: int) -> float:
        """Return the predicted wait of a new call of a class."""
        return self.scheduler.predicted_wait_seconds(class_rank)

    async def place(self, call: PoolCall) -> PlacementResult:
        """Wait for the placement of a call; cancellation withdraws the call."""
        self.withdraw(call.call_id)
        future: asyncio.Future[PlacementResult] = asyncio.get_running_loop().create_future()
        self._waiting[call.call_id] = future
        self._models[call.call_id] = call.model
        self.handle(CallArrived(call))
        try:
            return await future
        except asyncio.CancelledError:
            if self._waiting.get(call.call_id, future) is future:
                self.withdraw(call.call_id)
            raise

    def withdraw(self, call_id: CallId) -> None:
        """Remove a waiting or placed call."""
        self._resolve(call_id, not_run(Reason.CANCELLED, "the request was withdrawn"))
        self.handle(CallWithdrawn(call_id))

    def set_worker(self, description: WorkerDescription, leaving: bool) -> None:
        """Add a worker or replace its description."""
        if self._workers.get(description.worker) == (description, leaving):
            return
        self._workers[description.worker] = (description, leaving)
        if not leaving:
            self._joined.add(description.worker)
            self.handle(WorkerJoined(description))
        elif description.worker in self._joined:
            self.handle(WorkerLeaving(description.worker))
        self._refuse_unservable()

    def remove_worker(self, worker: WorkerId) -> None:
        """Remove a worker that is unavailable or has another coordinator."""
        if self._workers.pop(worker, None) is not None:
            self._joined.discard(worker)
            self.handle(WorkerLeft(worker))
            self._refuse_unservable()

    def handle(self, event: PoolEvent) -> None:
        """Pass an event to the scheduler and execute the resulting actions."""
        for action in self.scheduler.handle(event, self._clock.monotonic()):
            self._execute(action)

    async def stop(self) -> None:
        """Refuse the waiting calls and cancel the transfers."""
        for call_id in list(self._waiting):
            self._resolve(call_id, not_run(Reason.DRAINING, "the coordinator is stopping", 0.0))
        tasks = list(self._transfers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _execute(self, action: PoolAction) -> None:
        match action:
            case Dispatch():
                self._dispatch(action)
            case RefuseCall():
                self._resolve(action.call_id, action.refused)
            case CopyPrefix():
                self._start_transfer(action)
            case ReleaseCache():
                self.release(action.worker, action.program_id)
            case ResyncCache():
                self._on_resync(action.worker)

    def _dispatch(self, action: Dispatch) -> None:
        if not self._resolve(action.call_id, action):
            self.handle(CallWithdrawn(action.call_id))

    def _resolve(self, call_id: CallId, result: PlacementResult) -> bool:
        """Set the result of a waiting call, and return False if the call is no longer waiting."""
        self._models.pop(call_id, None)
        future = self._waiting.pop(call_id, None)
        if future is None or future.done():
            return False
        future.set_result(result)
        return True

    def _refuse_unservable(self) -> None:
        """Refuse waiting calls for models without a worker, so that they try other coordinators."""
        for call_id, model in list(self._models.items()):
            if not self.serves(model):
                detail = f"this coordinator has no workers left for model {model}"
                self._resolve(call_id, not_run(Reason.NOT_OWNER, detail, RETRY_AFTER_SECONDS))
                self.handle(CallWithdrawn(call_id))

    def release(
        self,
        worker: WorkerId,
        program_id: ProgramId,
        on_done: Callable[[], None] | None = None,
    ) -> None:
        """Release the cache of a program on a worker, retrying until it succeeds."""

        def done() -> None:
            self.handle(ReleaseCompleted(worker, program_id, done=True))
            if on_done is not None:
                on_done()

        self._retries.submit(
            OperationKey(OperationKind.RELEASE, worker, program_id),
            lambda: self._engine.release(worker, program_id),
            done,
        )

    def _start_transfer(self, action: CopyPrefix) -> None:
        task = asyncio.get_running_loop().create_task(self._transfer(action))
        self._transfers.add(task)
        task.add_done_callback(self._transfers.discard)

    async def _transfer(self, action: CopyPrefix) -> None:
        done = False
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
                done = await copy_cache(
                    self._engine, action.source, action.target, action.program_id
                )
        except TimeoutError:
            done = False
        self.handle(TransferCompleted(action.call_id, done))


async def copy_cache(
    engine: EnginePort, source: WorkerId, target: WorkerId, program_id: ProgramId
) -> bool:
    """Copy a program's cache between workers, and return False if either worker refused."""
    data = await engine.export_cache(source, program_id)
    if isinstance(data, Refused):
        return False
    return isinstance(await engine.import_cache(target, program_id, data), Completed)
