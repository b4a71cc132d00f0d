"""One stand-in engine: fences, counts, answers and faults around the model of an engine."""

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
from foxwinch.emulator.engine_answers import PlannedAnswer, plan_answer
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
from foxwinch.emulator.faults import EngineFaults, FaultGate
from foxwinch.identifiers import CallId, ModelName, ProgramId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown, ran

ONE_STEP = 1
"""Each token is handed out when it is due."""
LEAVING_RETRY_SECONDS = 1.0
ORDER_KINDS = frozenset(
    ("load", "unload", "load_adapter", "unload_adapter", "set_version", "set_role")
)
Pace = Literal["modelled", "instant"]
"""`instant`: answers at once, to measure what lies between a caller and an engine."""


@dataclass(frozen=True, slots=True)
class EngineWorkerSettings:
    """What one stand-in engine is made of."""

    name: str
    models: tuple[ModelName, ...]
    pace: Pace = "modelled"
    maximum_answer_tokens: int = 16
    parameters: EngineParameters | None = None
    """None: those of `engine_parameters.toml`."""
    seed: int = 0


class EngineWorker:
    """The engine's side of `EnginePort`; `gate.faults` may be replaced at any time."""

    def __init__(
        self, settings: EngineWorkerSettings, clock: Clock, faults: EngineFaults | None = None
    ) -> None:
        """Start idle with the models loaded."""
        self.settings = settings
        self.gate = FaultGate(clock, faults or EngineFaults())
        self._clock = clock
        self.newest_epoch = 0
        self.executions: Counter[CallId] = Counter()
        """How often each call was started from its first token."""
        self.resumes: Counter[CallId] = Counter()
        self.released: Counter[ProgramId] = Counter()
        self.role = ""
        self.versions: dict[ModelName, str] = {}
        self._orders: dict[str, ModelOrder] = {}
        self._order_tasks: dict[str, asyncio.Task[None]] = {}
        self._prefixes: dict[ProgramId, tuple[int, ...]] = {}
        parameters = settings.parameters or load_engine_parameters()
        model = EngineModel(parameters, settings.models, settings.seed, steps_per_event=ONE_STEP)
        self._driver = EngineDriver(model)

    @property
    def faults(self) -> EngineFaults:
        """The faults in force."""
        return cast(EngineFaults, self.gate.faults)

    def stop(self) -> None:
        """Let nothing happen any more."""
        for task in self._order_tasks.values():
            task.cancel()
        self._driver.stop()

    # --- generation --------------------------------------------------------------------------

    async def generate(self, order: GenerateRequest) -> AsyncGenerator[EngineEvent, None]:
        """Stream an answer; the last event is `GenerateFinished` or `Refused`."""
        refused = self._check(order)
        if refused is not None:
            yield refused
            return
        answer = plan_answer(order, self.settings.maximum_answer_tokens)
        cut_at = self._cut_at(len(answer.tokens))
        sent = order.resume_offset
        async with aclosing(self._run(order, answer)) as events:
            async for event in events:
                if isinstance(event, TokenChunk):
                    if sent >= cut_at:
                        yield outcome_unknown(Reason.BACKEND_FAILED, "the stream broke")
                        return
                    sent += 1
                yield event

    def _check(self, order: GenerateRequest) -> Refused | None:
        refused = self._fence(order.epoch)
        if refused is None and self.faults.leaving:
            detail = f"worker {self.settings.name} is leaving"
            refused = not_run(Reason.BACKEND_UNAVAILABLE, detail, LEAVING_RETRY_SECONDS)
        if refused is None and order.resume_offset < 0:
            refused = not_run(Reason.INVALID_REQUEST, "resume offset below zero")
        return refused

    def _fence(self, epoch: int) -> Refused | None:
        if epoch < self.newest_epoch:
            detail = f"epoch {epoch} is older than {self.newest_epoch}"
            return not_run(Reason.FENCED, detail)
        self.newest_epoch = epoch
        return None

    def _cut_at(self, length: int) -> int:
        """Return the number of chunks after which the stream breaks."""
        probability = self.faults.cut_stream_probability
        if probability > 0 and self._clock.uniform() < probability:
            return length // 2
        return length

    def _run(
        self, order: GenerateRequest, answer: PlannedAnswer
    ) -> AsyncGenerator[EngineEvent, None]:
        if self.settings.pace == "instant":
            return self._instant(order, answer)
        return self._modelled(order, answer)

    def _count(self, order: GenerateRequest) -> None:
        counter = self.resumes if order.resume_offset else self.executions
        counter[order.call_id] += 1

    async def _instant(
        self, order: GenerateRequest, answer: PlannedAnswer
    ) -> AsyncGenerator[EngineEvent, None]:
        self._count(order)
        for token in answer.tokens[order.resume_offset :]:
            yield TokenChunk(token, 1)
        yield GenerateFinished("stop", answer.prompt_tokens, 0, len(answer.tokens))

    async def _modelled(
        self, order: GenerateRequest, answer: PlannedAnswer
    ) -> AsyncGenerator[EngineEvent, None]:
        given = min(order.resume_offset, len(answer.tokens))
        if given == len(answer.tokens):
            self._count(order)
            yield GenerateFinished("stop", answer.prompt_tokens, 0, given)
            return
        self._prefixes[order.program_id] = answer.block_hashes
        submit = Submit(
            order.call_id,
            order.program_id,
            order.model,
            answer.prompt_tokens,
            len(answer.tokens),
            answer.block_hashes,
            order.priority,
            given,
        )
        async with aclosing(self._driver.run(submit)) as outputs:
            async for output in outputs:
                for event in self._events(order, answer, output, given):
                    yield event
                if isinstance(output, TokensProduced):
                    given += output.tokens

    def _events(
        self, order: GenerateRequest, answer: PlannedAnswer, output: CallOutput, given: int
    ) -> Iterator[EngineEvent]:
        """Return the events of one output of the model, `given` tokens having been sent before."""
        match output:
            case TokensProduced():
                if given == order.resume_offset:
                    self._count(order)
                for token in answer.tokens[given : given + output.tokens]:
                    yield TokenChunk(token, 1)
            case CallCompleted():
                cached = output.cached_tokens
                yield GenerateFinished("stop", output.prompt_tokens, cached, len(answer.tokens))
            case CallRejected():
                yield not_run(Reason.BACKEND_UNAVAILABLE, output.detail, LEAVING_RETRY_SECONDS)
            case _:
                yield ran(Reason.CANCELLED, "the call was cancelled")

    # --- the rest of the port ----------------------------------------------------------------

    def cancel(self, call_id: CallId) -> Completed:
        """Cancel a call; unknown and finished ones too."""
        self._driver.tell(CancelCall(call_id))
        return Completed()

    def holds(self, program_id: ProgramId) -> bool:
        """Tell whether the program ran here and was not released since."""
        return program_id in self._prefixes

    def release(self, program_id: ProgramId) -> Completed:
        """Free the cache that only this program has used."""
        self.released[program_id] += 1
        self._prefixes.pop(program_id, None)
        self._driver.tell(ReleaseProgram(program_id))
        return Completed()

    def load(self) -> LoadReport:
        """Return the lagging load."""
        report = self._driver.load_report(self.faults.lag_seconds)
        return replace(report, leaving=self.faults.leaving)

    def cache_events(self, after: int) -> CacheEventPage:
        """Return cache events, late and with gaps as the faults have it."""
        page = self._driver.cache_events(after, self.faults.event_delay_seconds)
        probability = self.faults.event_gap_probability
        if probability <= 0:
            return page
        kept = tuple(e for e in page.events if self._clock.uniform() >= probability)
        return replace(page, events=kept, gap=page.gap or len(kept) < len(page.events))

    async def export_cache(self, program_id: ProgramId) -> bytes | Refused:
        """Return the program's cached blocks."""
        hashes = self._prefixes.get(program_id)
        if hashes is None:
            return not_run(Reason.NOT_FOUND, "nothing is cached for this program")
        transfer = self._clock.identifier()
        output = await self._driver.complete(transfer, ExportBlocks(transfer, hashes))
        assert isinstance(output, BlocksExported)
        return json.dumps({"blocks": output.block_hashes}).encode()

    async def import_cache(self, program_id: ProgramId, data: bytes) -> Completed | Refused:
        """Take blocks that another engine exported."""
        try:
            hashes = tuple(int(block) for block in json.loads(data)["blocks"])
        except (ValueError, KeyError, TypeError):
            return not_run(Reason.INVALID_REQUEST, "not an export of a cache")
        transfer = self._clock.identifier()
        await self._driver.complete(transfer, ImportBlocks(transfer, program_id, hashes))
        self._prefixes[program_id] = hashes
        return Completed()

    async def apply_order(self, order: ModelOrder) -> Completed | Refused:
        """Carry out a fenced order once; the same token again waits for the first."""
        known = self._orders.get(order.token)
        if known == order:
            return Completed()
        if known is not None:
            return not_run(Reason.INVALID_REQUEST, "token was used for another order")
        refused = self._fence(order.epoch)
        if refused is None and order.kind not in ORDER_KINDS:
            refused = not_run(Reason.INVALID_REQUEST, f"unknown kind of order {order.kind}")
        if refused is not None:
            return refused
        task = self._order_tasks.get(order.token)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._carry_out(order))
            self._order_tasks[order.token] = task
        await asyncio.shield(task)
        return Completed()

    async def _carry_out(self, order: ModelOrder) -> None:
        """Carry out an order to its end, also when its sender has given up waiting."""
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
