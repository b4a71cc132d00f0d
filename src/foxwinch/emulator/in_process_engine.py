"""`EnginePort` over emulated engines, without sockets and on the time of the event loop."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from contextlib import aclosing
from typing import TypeVar

from foxwinch.backends.ports import (
    CacheEventPage,
    Completed,
    EngineEvent,
    GenerateRequest,
    LoadReport,
    ModelOrder,
)
from foxwinch.emulator.engine_worker import EngineWorker
from foxwinch.emulator.faults import GateVerdict, ResponseOutcome
from foxwinch.identifiers import CallId, ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown

REQUEST_TIMEOUT_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 120.0
"""Time without data after which a stream times out, the same as in the HTTP adapter."""
ORDER_TIMEOUT_SECONDS = 120.0
"""Loading a model takes tens of seconds."""
Result = TypeVar("Result")


class InProcessEngine:
    """`EnginePort` over workers that several clients may share; removed workers are unreachable."""

    def __init__(self, workers: Mapping[WorkerId, EngineWorker]) -> None:
        """Use `workers`, which the caller may change and must stop."""
        self.workers = workers

    async def generate(
        self, worker: WorkerId, request: GenerateRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        """See the port."""
        engine = self.workers.get(worker)
        if engine is None:
            yield _unreachable(worker)
            return
        refused = await self._enter(worker, engine, IDLE_TIMEOUT_SECONDS)
        if refused is not None:
            yield refused
            return
        outcome = await engine.gate.leave()
        async with aclosing(engine.generate(request)) as events:
            async for event in events:
                if outcome is ResponseOutcome.DELIVERED or isinstance(event, Refused):
                    yield event
        if outcome is not ResponseOutcome.DELIVERED:
            yield outcome_unknown(Reason.BACKEND_FAILED, f"the response of {worker} was lost")

    async def cancel(self, worker: WorkerId, call_id: CallId) -> Completed | Refused:
        """See the port."""
        return await self._request(worker, lambda engine: _now(engine.cancel(call_id)))

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed | Refused:
        """See the port."""
        return await self._request(worker, lambda engine: _now(engine.release(program_id)))

    async def load(self, worker: WorkerId) -> LoadReport | Refused:
        """See the port."""
        return await self._request(worker, lambda engine: _now(engine.load()))

    async def cache_events(self, worker: WorkerId, after: int) -> CacheEventPage | Refused:
        """See the port."""
        return await self._request(worker, lambda engine: _now(engine.cache_events(after)))

    async def export_cache(self, worker: WorkerId, program_id: ProgramId) -> bytes | Refused:
        """See the port."""
        return await self._request(worker, lambda engine: engine.export_cache(program_id))

    async def import_cache(
        self, worker: WorkerId, program_id: ProgramId, data: bytes
    ) -> Completed | Refused:
        """See the port."""
        return await self._request(worker, lambda engine: engine.import_cache(program_id, data))

    async def apply_order(self, worker: WorkerId, order: ModelOrder) -> Completed | Refused:
        """See the port."""
        return await self._request(
            worker, lambda engine: engine.apply_order(order), ORDER_TIMEOUT_SECONDS
        )

    async def _enter(
        self, worker: WorkerId, engine: EngineWorker, timeout_seconds: float
    ) -> Refused | None:
        try:
            async with asyncio.timeout(timeout_seconds):
                decision = await engine.gate.enter()
        except TimeoutError:
            return outcome_unknown(
                Reason.BACKEND_FAILED, f"worker {worker} did not respond in time"
            )
        if decision.verdict is GateVerdict.PASS:
            return None
        limited = decision.verdict is GateVerdict.LIMITED
        reason = Reason.RATE_LIMITED if limited else Reason.BACKEND_UNAVAILABLE
        return not_run(reason, f"worker {worker} refused", decision.retry_after_seconds)

    async def _request(
        self,
        worker: WorkerId,
        effect: Callable[[EngineWorker], Awaitable[Result]],
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> Result | Refused:
        engine = self.workers.get(worker)
        if engine is None:
            return _unreachable(worker)
        refused = await self._enter(worker, engine, timeout_seconds)
        if refused is not None:
            return refused
        try:
            async with asyncio.timeout(timeout_seconds):
                result = await effect(engine)
                outcome = await engine.gate.leave()
        except TimeoutError:
            return outcome_unknown(
                Reason.BACKEND_FAILED, f"worker {worker} did not respond in time"
            )
        if outcome is ResponseOutcome.DELIVERED:
            return result
        return outcome_unknown(Reason.BACKEND_FAILED, f"the response of {worker} was lost")


async def _now(result: Result) -> Result:
    return result


def _unreachable(worker: WorkerId) -> Refused:
    return not_run(Reason.BACKEND_UNAVAILABLE, f"worker {worker} cannot be reached")
