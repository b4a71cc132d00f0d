"""Drives the scheduler of one pool: feeds it events and carries its actions out."""

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
from foxwinch.workers.engine_retries import EngineRetries, RetriedKey, RetriedKind

TRANSFER_SECONDS = 5.0
"""A transfer that takes longer costs the call more than computing its prefix again."""
ASK_ELSEWHERE_SECONDS = 0.1
"""When to ask again after this pool has lost its last worker of a model."""

Answer = Dispatch | Refused


class PoolDriver:
    """One pool's scheduler and the calls that wait for it."""

    def __init__(
        self,
        policy: PolicySettings,
        engine: EnginePort,
        retries: EngineRetries,
        clock: Clock,
        on_resync: Callable[[WorkerId], None],
    ) -> None:
        """Start without workers; `on_resync` is told of workers whose cache must be read anew."""
        self.scheduler = PoolScheduler(policy)
        self._engine = engine
        self._retries = retries
        self._clock = clock
        self._on_resync = on_resync
        self._waiting: dict[CallId, asyncio.Future[Answer]] = {}
        self._models: dict[CallId, ModelName] = {}
        self._workers: dict[WorkerId, tuple[WorkerDescription, bool]] = {}
        self._joined: set[WorkerId] = set()
        """Workers that the scheduler knows; one that was leaving from the start never joins."""
        self._transfers: set[asyncio.Task[None]] = set()

    def serves(self, model: ModelName, excluded: Collection[WorkerId] = ()) -> bool:
        """Tell whether a worker here, not one of `excluded`, may be given calls of a model."""
        return any(
            model in description.models and not leaving and worker not in excluded
            for worker, (description, leaving) in self._workers.items()
        )

    def queued(self, model: ModelName) -> int:
        """Count the waiting calls of a model."""
        return sum(waiting == model for waiting in self._models.values())

    def predicted_wait_seconds(self, class_rank: int) -> float:
        """Return how long a newcomer of a class would wait."""
        return self.scheduler.predicted_wait_seconds(class_rank)

    async def place(self, call: PoolCall) -> Answer:
        """Wait for a place; cancelling withdraws the call."""
        self.withdraw(call.call_id)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
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
        """Take a call out, waiting or placed."""
        self._answer(call_id, not_run(Reason.CANCELLED, "the request was withdrawn"))
        self.handle(CallWithdrawn(call_id))

    def set_worker(self, description: WorkerDescription, leaving: bool) -> None:
        """Add a worker or replace what is known of it."""
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
        """Forget a worker that is gone or another coordinator's."""
        if self._workers.pop(worker, None) is not None:
            self._joined.discard(worker)
            self.handle(WorkerLeft(worker))
            self._refuse_unservable()

    def handle(self, event: PoolEvent) -> None:
        """Feed an event and carry out what is decided."""
        for action in self.scheduler.handle(event, self._clock.monotonic()):
            self._carry_out(action)

    async def stop(self) -> None:
        """Refuse what waits and stop transfers."""
        for call_id in list(self._waiting):
            self._answer(call_id, not_run(Reason.DRAINING, "the steward stops", 0.0))
        tasks = list(self._transfers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _carry_out(self, action: PoolAction) -> None:
        match action:
            case Dispatch():
                self._dispatch(action)
            case RefuseCall():
                self._answer(action.call_id, action.refused)
            case CopyPrefix():
                self._move(action)
            case ReleaseCache():
                self.release(action.worker, action.program_id)
            case ResyncCache():
                self._on_resync(action.worker)

    def _dispatch(self, action: Dispatch) -> None:
        if not self._answer(action.call_id, action):
            self.handle(CallWithdrawn(action.call_id))

    def _answer(self, call_id: CallId, answer: Answer) -> bool:
        """Answer a waiting call; False when nobody waits any more."""
        self._models.pop(call_id, None)
        future = self._waiting.pop(call_id, None)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True

    def _refuse_unservable(self) -> None:
        """Send calls elsewhere whose model no worker here serves any more."""
        for call_id, model in list(self._models.items()):
            if not self.serves(model):
                detail = f"no worker of model {model} is left at this steward"
                self._answer(call_id, not_run(Reason.NOT_OWNER, detail, ASK_ELSEWHERE_SECONDS))
                self.handle(CallWithdrawn(call_id))

    def release(
        self,
        worker: WorkerId,
        program_id: ProgramId,
        when_done: Callable[[], None] | None = None,
    ) -> None:
        """Have a worker free what it holds for a program, until it has."""

        def done() -> None:
            self.handle(ReleaseCompleted(worker, program_id, done=True))
            if when_done is not None:
                when_done()

        self._retries.submit(
            RetriedKey(RetriedKind.RELEASE, worker, program_id),
            lambda: self._engine.release(worker, program_id),
            done,
        )

    def _move(self, action: CopyPrefix) -> None:
        task = asyncio.get_running_loop().create_task(self._transfer(action))
        self._transfers.add(task)
        task.add_done_callback(self._transfers.discard)

    async def _transfer(self, action: CopyPrefix) -> None:
        done = False
        try:
            async with asyncio.timeout(TRANSFER_SECONDS):
                done = await copy_cache(
                    self._engine, action.source, action.target, action.program_id
                )
        except TimeoutError:
            done = False
        self.handle(TransferCompleted(action.call_id, done))


async def copy_cache(
    engine: EnginePort, source: WorkerId, target: WorkerId, program_id: ProgramId
) -> bool:
    """Copy a program's cache between workers; False when either side refused."""
    data = await engine.export_cache(source, program_id)
    if isinstance(data, Refused):
        return False
    return isinstance(await engine.import_cache(target, program_id, data), Completed)
