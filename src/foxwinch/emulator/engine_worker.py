"""One emulated engine: fencing, counters, responses and faults around the engine model."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncGenerator, Iterator
from contextlib import aclosing
from dataclasses import dataclass, replace
from typing import Literal, cast

from foxwinch.backends.ports import (
    CacheEventPage,
    Completed,
    EngineEvent,
    GenerateFinished,
    GenerateRequest,
    LoadReport,
    ModelOrder,
    TokenChunk,
)
from foxwinch.clock import Clock
from foxwinch.emulator.engine_driver import CallOutput, EngineDriver
from foxwinch.emulator.engine_events import (
    BlocksExported,
    CallCompleted,
    CallRejected,
    CancelCall,
    ExportBlocks,
    ImportBlocks,
    LoadModel,
    ReleaseProgram,
    Submit,
    TokensProduced,
    UnloadModel,
)
from foxwinch.emulator.engine_model import EngineModel
from foxwinch.emulator.engine_parameters import EngineParameters, load_engine_parameters
from foxwinch.emulator.engine_responses import PlannedResponse, plan_response
from foxwinch.emulator.faults import EngineFaults, FaultGate
from foxwinch.identifiers import CallId, ModelName, ProgramId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown, ran

STEPS_PER_EVENT = 1
"""Each token is sent when it is due."""
LEAVING_RETRY_SECONDS = 1.0
ORDER_KINDS = frozenset(
    ("load", "unload", "load_adapter", "unload_adapter", "set_version", "set_role")
)
Pace = Literal["modelled", "instant"]
"""`instant` responds without delay, to measure the overhead between a caller and an engine."""


@dataclass(frozen=True, slots=True)
class EngineWorkerSettings:
    """Settings of one emulated engine."""

    name: str
    models: tuple[ModelName, ...]
    pace: Pace = "modelled"
    maximum_answer_tokens: int = 16
    parameters: EngineParameters | None = None
    """Engine parameters; None uses those of `engine_parameters.toml`."""
    seed: int = 0


class EngineWorker:
    """Server side of `EnginePort`; `gate.faults` may be replaced at any time."""

    def __init__(
        self, settings: EngineWorkerSettings, clock: Clock, faults: EngineFaults | None = None
    ) -> None:
        """Start idle with the models loaded."""
        self.settings = settings
        self.gate = FaultGate(clock, faults or EngineFaults())
        self._clock = clock
        self.newest_epoch = 0
        self.executions: Counter[CallId] = Counter()
        """Number of times that each call was started from its first token."""
        self.resumes: Counter[CallId] = Counter()
        self.released: Counter[ProgramId] = Counter()
        self.role = ""
        self.versions: dict[ModelName, str] = {}
        self._orders: dict[str, ModelOrder] = {}
        self._order_tasks: dict[str, asyncio.Task[None]] = {}
        self._cached_prefixes: dict[ProgramId, tuple[int, ...]] = {}
        parameters = settings.parameters or load_engine_parameters()
        model = EngineModel(
            parameters, settings.models, settings.seed, steps_per_event=STEPS_PER_EVENT
        )
        self._driver = EngineDriver(model)

    @property
    def faults(self) -> EngineFaults:
        """Active faults of this engine."""
        return cast(EngineFaults, self.gate.faults)

    def stop(self) -> None:
        """Cancel pending orders and stop the model."""
        for task in self._order_tasks.values():
            task.cancel()
        self._driver.stop()

    # --- generation --------------------------------------------------------------------------

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[EngineEvent, None]:
        """Stream a response; the last event is `GenerateFinished` or `Refused`."""
        refused = self._check_request(request)
        if refused is not None:
            yield refused
            return
        response = plan_response(request, self.settings.maximum_answer_tokens)
        break_at = self._chunks_before_break(len(response.tokens))
        sent = request.resume_offset
        async with aclosing(self._run(request, response)) as events:
            async for event in events:
                if isinstance(event, TokenChunk):
                    if sent >= break_at:
                        yield outcome_unknown(Reason.BACKEND_FAILED, "the stream was interrupted")
                        return
                    sent += 1
                yield event

    def _check_request(self, request: GenerateRequest) -> Refused | None:
        refused = self._check_epoch(request.epoch)
        if refused is None and self.faults.leaving:
            detail = f"worker {self.settings.name} is leaving"
            refused = not_run(Reason.BACKEND_UNAVAILABLE, detail, LEAVING_RETRY_SECONDS)
        if refused is None and request.resume_offset < 0:
            refused = not_run(Reason.INVALID_REQUEST, "the resume offset must not be negative")
        return refused

    def _check_epoch(self, epoch: int) -> Refused | None:
        if epoch < self.newest_epoch:
            detail = f"epoch {epoch} is older than {self.newest_epoch}"
            return not_run(Reason.FENCED, detail)
        self.newest_epoch = epoch
        return None

    def _chunks_before_break(self, length: int) -> int:
        """Return the number of chunks after which the stream breaks."""
        probability = self.faults.cut_stream_probability
        if probability > 0 and self._clock.uniform() < probability:
            return length // 2
        return length

    def _run(
        self, request: GenerateRequest, response: PlannedResponse
    ) -> AsyncGenerator[EngineEvent, None]:
        if self.settings.pace == "instant":
            return self._generate_instantly(request, response)
        return self._generate_modelled(request, response)

    def _count_execution(self, request: GenerateRequest) -> None:
        counter = self.resumes if request.resume_offset else self.executions
        counter[request.call_id] += 1

    async def _generate_instantly(
        self, request: GenerateRequest, response: PlannedResponse
    ) -> AsyncGenerator[EngineEvent, None]:
        self._count_execution(request)
        for token in response.tokens[request.resume_offset :]:
            yield TokenChunk(token, 1)
        yield GenerateFinished("stop", response.prompt_tokens, 0, len(response.tokens))

    async def _generate_modelled(
        self, request: GenerateRequest, response: PlannedResponse
    ) -> AsyncGenerator[EngineEvent, None]:
        sent_tokens = min(request.resume_offset, len(response.tokens))
        if sent_tokens == len(response.tokens):
            self._count_execution(request)
            yield GenerateFinished("stop", response.prompt_tokens, 0, sent_tokens)
            return
        self._cached_prefixes[request.program_id] = response.block_hashes
        submit = Submit(
            request.call_id,
            request.program_id,
            request.model,
            response.prompt_tokens,
            len(response.tokens),
            response.block_hashes,
            request.priority,
            sent_tokens,
        )
        async with aclosing(self._driver.run(submit)) as outputs:
            async for output in outputs:
                for event in self._events(request, response, output, sent_tokens):
                    yield event
                if isinstance(output, TokensProduced):
                    sent_tokens += output.tokens

    def _events(
        self,
        request: GenerateRequest,
        response: PlannedResponse,
        output: CallOutput,
        sent_tokens: int,
    ) -> Iterator[EngineEvent]:
        """Return the events of one model output, after `sent_tokens` tokens were sent."""
        match output:
            case TokensProduced():
                if sent_tokens == request.resume_offset:
                    self._count_execution(request)
                for token in response.tokens[sent_tokens : sent_tokens + output.tokens]:
                    yield TokenChunk(token, 1)
            case CallCompleted():
                cached = output.cached_tokens
                yield GenerateFinished("stop", output.prompt_tokens, cached, len(response.tokens))
            case CallRejected():
                yield not_run(Reason.BACKEND_UNAVAILABLE, output.detail, LEAVING_RETRY_SECONDS)
            case _:
                yield ran(Reason.CANCELLED, "the call was cancelled")

    # --- the rest of the port ----------------------------------------------------------------

    def cancel(self, call_id: CallId) -> Completed:
        """Cancel a call; unknown and finished calls are ignored."""
        self._driver.feed(CancelCall(call_id))
        return Completed()

    def has_cache_of(self, program_id: ProgramId) -> bool:
        """Return whether the program ran here and has not been released since."""
        return program_id in self._cached_prefixes

    def release(self, program_id: ProgramId) -> Completed:
        """Free the cache blocks that only this program uses."""
        self.released[program_id] += 1
        self._cached_prefixes.pop(program_id, None)
        self._driver.feed(ReleaseProgram(program_id))
        return Completed()

    def load(self) -> LoadReport:
        """Return the load, delayed by the faults' lag."""
        report = self._driver.load_report(self.faults.lag_seconds)
        return replace(report, leaving=self.faults.leaving)

    def cache_events(self, after: int) -> CacheEventPage:
        """Return cache events, with the delay and gaps that the faults specify."""
        page = self._driver.cache_events(after, self.faults.event_delay_seconds)
        probability = self.faults.event_gap_probability
        if probability <= 0:
            return page
        delivered = tuple(e for e in page.events if self._clock.uniform() >= probability)
        return replace(page, events=delivered, gap=page.gap or len(delivered) < len(page.events))

    async def export_cache(self, program_id: ProgramId) -> bytes | Refused:
        """Return the hashes of the program's cached blocks as JSON."""
        hashes = self._cached_prefixes.get(program_id)
        if hashes is None:
            return not_run(Reason.NOT_FOUND, "nothing is cached for this program")
        transfer = self._clock.identifier()
        output = await self._driver.complete(transfer, ExportBlocks(transfer, hashes))
        assert isinstance(output, BlocksExported)
        return json.dumps({"blocks": output.block_hashes}).encode()

    async def import_cache(self, program_id: ProgramId, data: bytes) -> Completed | Refused:
        """Import blocks that another engine exported."""
        try:
            hashes = tuple(int(block) for block in json.loads(data)["blocks"])
        except (ValueError, KeyError, TypeError):
            return not_run(Reason.INVALID_REQUEST, "the data is not an exported KV cache")
        transfer = self._clock.identifier()
        await self._driver.complete(transfer, ImportBlocks(transfer, program_id, hashes))
        self._cached_prefixes[program_id] = hashes
        return Completed()

    async def apply_order(self, order: ModelOrder) -> Completed | Refused:
        """Execute a fenced order once; a repeated token waits for the first execution."""
        known = self._orders.get(order.token)
        if known == order:
            return Completed()
        if known is not None:
            return not_run(Reason.INVALID_REQUEST, "the token was used for another order")
        refused = self._check_epoch(order.epoch)
        if refused is None and order.kind not in ORDER_KINDS:
            refused = not_run(Reason.INVALID_REQUEST, f"unknown kind of order {order.kind}")
        if refused is not None:
            return refused
        task = self._order_tasks.get(order.token)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._execute_order(order))
            self._order_tasks[order.token] = task
        await asyncio.shield(task)
        return Completed()

    async def _execute_order(self, order: ModelOrder) -> None:
        """Execute an order to completion, even if its sender has timed out."""
        adapter = order.value if order.kind.endswith("_adapter") else ""
        match order.kind:
            case "load" | "load_adapter":
                load = LoadModel(order.token, order.model, adapter)
                await self._driver.complete(order.token, load)
            case "unload" | "unload_adapter":
                unload = UnloadModel(order.token, order.model, adapter)
                await self._driver.complete(order.token, unload)
            case "set_version":
                self.versions[order.model] = order.value
            case _:
                self.role = order.value
        self._orders[order.token] = order
        self._order_tasks.pop(order.token, None)
