"""A pure model of one model engine: continuous batching over a limited prefix cache.

The same model runs on virtual time and, behind an HTTP server, in real time. It does no I/O and
reads no clock. To drive it:

    engine = EngineModel(load_engine_parameters(), models=("rail-chat",))
    outputs = engine.handle(Submit(...), now)      # feed an input; get what has happened until now
    wake_at = engine.next_event_time()             # None: nothing will happen without an input
    outputs = engine.handle(TimePassed(), wake_at) # call again no later than that
    engine.load_report(now)                        # lagging load, as `LoadReport`
    engine.cache_events(after, now)                # lagging, gapped events, as `CacheEventPage`

`handle` first brings the engine to `now`, then applies the input; `now` must never go back, and
may be later than `next_event_time()` (all steps until then are carried out, each output bearing
its own `at_seconds`). Equal steps are joined into one event on virtual time and `TokensProduced`
is left out; a real-time server passes `steps_per_event=1` to get each token when it is due.

Scheduling inside the engine: calls enter the batch by priority (lower first), then by arrival,
when a batch slot and memory for prompt and answer are free. A waiting call that does not fit
preempts running calls of strictly lower urgency; a preempted call keeps its tokens, goes back to
waiting, and prefills again whatever of its blocks was evicted meanwhile. A step gives one token
to each decoding call and the rest of its token budget to prefill, by priority then arrival.
"""

import heapq
from collections import deque
from collections.abc import Iterable

from foxwinch.backends.ports import CacheEventPage, LoadReport
from foxwinch.emulator.block_cache import BlockCache, CacheLedger
from foxwinch.emulator.cache_feed import CacheFeed
from foxwinch.emulator.engine_batch import EngineCall, Segment
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
    ProgramEnded,
    ReleaseProgram,
    Submit,
    Tick,
    TokensProduced,
    UnloadModel,
)
from foxwinch.emulator.engine_parameters import EngineParameters
from foxwinch.emulator.weight_store import WeightStore
from foxwinch.identifiers import CallId, ModelName

UNBOUNDED_STEPS = 1 << 30


class EngineModel:
    """One engine."""

    def __init__(
        self,
        parameters: EngineParameters,
        models: Iterable[str] = (),
        seed: int = 0,
        ledger: CacheLedger | None = None,
        weights: WeightStore | None = None,
        steps_per_event: int = UNBOUNDED_STEPS,
    ) -> None:
        """Start idle with `models` loaded; a pool shares `ledger` and `weights`."""
        self._parameters = parameters
        self._steps_per_event = steps_per_event
        self._ledger = ledger if ledger is not None else CacheLedger()
        self._weights = weights or WeightStore(parameters.weight_store_bytes_per_second)
        self._feed = CacheFeed(parameters, seed)
        self.cache = BlockCache(
            parameters.cache_blocks, parameters.block_tokens, self._ledger, self._feed.publish
        )
        self._loaded: dict[tuple[str, str], None] = {(model, ""): None for model in models}
        self._waiting: list[EngineCall] = []
        self._running: list[EngineCall] = []
        self._segment: Segment | None = None
        self._timers: list[tuple[float, int, LoadModel | ExportBlocks | ImportBlocks]] = []
        self._sequence = 0
        self._load_history: deque[tuple[float, int, int, int]] = deque()
        self.prefill_tokens: dict[str, int] = {}
        """Measurement: prompt tokens computed, by program."""
        self.wasted_prefill_tokens: dict[str, int] = {}
        """Measurement: those of them in blocks that some engine had computed before."""
        self.busy_seconds = 0.0

    # --- the interface -----------------------------------------------------------------------

    def handle(self, event: EngineInput, now: float) -> list[EngineOutput]:
        """Bring the engine to `now`, apply an input, and return what has happened."""
        outputs: list[EngineOutput] = []
        self._advance(now, outputs)
        self._apply(event, now, outputs)
        if self._segment is not None and (self._waiting or self._finished_early()):
            self._segment = self._segment.cut_at(now)
        if self._segment is None:
            self._start_segment(now)
        self._record_load(now)
        return outputs

    def next_event_time(self) -> float | None:
        """Return when something happens next without an input, or None."""
        times = []
        if self._segment is not None:
            times.append(self._segment.end_seconds)
        if self._timers:
            times.append(self._timers[0][0])
        return min(times, default=None)

    def load_report(self, now: float) -> LoadReport:
        """Return the load as it was one lag ago."""
        visible = now - self._parameters.load_lag_seconds
        running = waiting = used = 0
        for at, *load in self._load_history:
            if at > visible:
                break
            running, waiting, used = load
        return LoadReport(running, waiting, used, self._parameters.cache_blocks, self._models())

    def cache_events(self, after: int, now: float) -> CacheEventPage:
        """Return the cache events after a sequence number; after 0 a snapshot of all blocks."""
        return self._feed.page(after, self.cache.hashes(), now)

    # --- inputs ------------------------------------------------------------------------------

    def _apply(self, event: EngineInput, now: float, outputs: list[EngineOutput]) -> None:
        match event:
            case Submit():
                self._submit(event, now, outputs)
            case CancelCall():
                self._cancel(event.call_id, now, outputs)
            case ReleaseProgram():
                self.cache.release(event.program_id, now)
            case ProgramEnded():
                self.cache.program_ended(event.program_id, now)
            case ExportBlocks() | ImportBlocks():
                blocks = len(event.block_hashes)
                self._set_timer(now + self._parameters.transfer_seconds(blocks), event)
            case LoadModel():
                size = self._weight_bytes(event)
                self._set_timer(self._weights.read(size, now), event)
            case UnloadModel():
                self._unload(event, now, outputs)
            case Tick():
                pass

    def _weight_bytes(self, event: LoadModel) -> float:
        return self._parameters.adapter_bytes if event.adapter else self._parameters.model_bytes

    def _submit(self, order: Submit, now: float, outputs: list[EngineOutput]) -> None:
        needed = self._parameters.blocks_of(order.prompt_tokens + order.output_tokens)
        if (order.model, "") not in self._loaded or (
            order.model,
            order.adapter,
        ) not in self._loaded:
            outputs.append(CallRejected(order.call_id, f"{order.model} is not loaded", now))
        elif needed > self.cache.capacity_blocks:
            outputs.append(CallRejected(order.call_id, "the call exceeds the memory", now))
        else:
            self._sequence += 1
            self._waiting.append(EngineCall(order, self._sequence, order.produced_tokens))
            self._waiting.sort(key=lambda call: call.rank)

    def _cancel(self, call_id: CallId, now: float, outputs: list[EngineOutput]) -> None:
        for call in self._waiting + self._running:
            if call.order.call_id == call_id:
                if call in self._running:
                    self._leave_batch(call, now)
                else:
                    self._waiting.remove(call)
                outputs.append(CallStopped(call_id, now))

    def _unload(self, event: UnloadModel, now: float, outputs: list[EngineOutput]) -> None:
        for model, adapter in list(self._loaded):
            if model == event.model and (not event.adapter or adapter == event.adapter):
                del self._loaded[(model, adapter)]
        for call in list(self._waiting):
            if (call.order.model, call.order.adapter) not in self._loaded:
                self._waiting.remove(call)
                detail = f"{event.model} was unloaded"
                outputs.append(CallRejected(call.order.call_id, detail, now))
        outputs.append(OrderCompleted(event.token, now))

    def _set_timer(self, at: float, event: LoadModel | ExportBlocks | ImportBlocks) -> None:
        self._sequence += 1
        heapq.heappush(self._timers, (at, self._sequence, event))

    def _fire_timer(self, outputs: list[EngineOutput]) -> None:
        at, _, event = heapq.heappop(self._timers)
        match event:
            case LoadModel():
                self._loaded[(event.model, event.adapter)] = None
                outputs.append(OrderCompleted(event.token, at))
            case ExportBlocks():
                cached = event.block_hashes[: self.cache.cached_prefix(event.block_hashes)]
                outputs.append(BlocksExported(event.transfer, cached, at))
            case ImportBlocks():
                outputs.append(BlocksImported(event.transfer, self._import(event, at), at))

    def _import(self, event: ImportBlocks, now: float) -> int:
        start = self.cache.cached_prefix(event.block_hashes)
        head = event.block_hashes[:start]
        self.cache.pin(head, event.program_id, now)
        room = min(self.cache.available_blocks(), len(event.block_hashes) - start)
        fresh = event.block_hashes[start : start + room]
        self.cache.reserve(room, now)
        self.cache.store(fresh, event.program_id, now)
        self.cache.unpin(head + fresh, now)
        return len(fresh)

    # --- time --------------------------------------------------------------------------------

    def _advance(self, now: float, outputs: list[EngineOutput]) -> None:
        while True:
            at = self.next_event_time()
            if at is None or at > now:
                return
            if self._timers and self._timers[0][0] <= at:
                self._fire_timer(outputs)
                continue
            self._finish_segment(at, outputs)
            self._start_segment(at)
            self._record_load(at)

    def _finish_segment(self, at: float, outputs: list[EngineOutput]) -> None:
        segment = self._segment
        assert segment is not None
        self._segment = None
        self.busy_seconds += at - segment.start_seconds
        for call, tokens in segment.prefill:
            if call.running:
                self._prefilled(call, tokens, at, outputs)
        for call in segment.decoding:
            if call.running:
                self._produced(call, segment.steps, at, outputs)

    def _prefilled(
        self, call: EngineCall, tokens: int, at: float, outputs: list[EngineOutput]
    ) -> None:
        before = call.context_tokens - call.prefill_left
        call.prefill_left -= tokens
        self._count_prefill(call, before, tokens)
        self._store_blocks(call, before + tokens, at)
        if call.prefill_left == 0:
            self._produced(call, 1, at, outputs)

    def _produced(
        self, call: EngineCall, tokens: int, at: float, outputs: list[EngineOutput]
    ) -> None:
        call.produced += tokens
        if self._steps_per_event < UNBOUNDED_STEPS:
            outputs.append(TokensProduced(call.order.call_id, tokens, at))
        if call.produced < call.order.output_tokens:
            return
        self._leave_batch(call, at)
        order = call.order
        cached = call.cached_tokens or 0
        outputs.append(CallCompleted(order.call_id, order.prompt_tokens, cached, call.produced, at))

    def _count_prefill(self, call: EngineCall, before: int, tokens: int) -> None:
        size = self._parameters.block_tokens
        program = call.order.program_id
        hashes = call.order.block_hashes[before // size : -(-(before + tokens) // size)]
        wasted = 0
        for index, block_hash in enumerate(hashes, before // size):
            if block_hash in self._ledger.known:
                wasted += min(before + tokens, (index + 1) * size) - max(before, index * size)
        self.prefill_tokens[program] = self.prefill_tokens.get(program, 0) + tokens
        self.wasted_prefill_tokens[program] = self.wasted_prefill_tokens.get(program, 0) + wasted

    # --- the batch ---------------------------------------------------------------------------

    def _start_segment(self, now: float) -> None:
        self._admit(now)
        if not self._running:
            return
        decoding = [call for call in self._running if call.prefill_left == 0]
        budget = max(1, self._parameters.step_tokens - len(decoding))
        prefill = []
        for call in sorted(self._running, key=lambda call: call.rank):
            tokens = min(budget, call.prefill_left)
            if tokens > 0:
                prefill.append((call, tokens))
                budget -= tokens
        steps = 1
        if not prefill:
            steps = min(self._steps_per_event, *(call.output_left for call in decoding))
        parameters = self._parameters
        step_seconds = (
            parameters.step_base_seconds
            + parameters.decode_sequence_seconds * len(decoding)
            + parameters.prefill_token_seconds * sum(tokens for _, tokens in prefill)
        )
        self._segment = Segment(now, step_seconds, steps, tuple(decoding), tuple(prefill))

    def _admit(self, now: float) -> None:
        while self._waiting:
            call = self._waiting[0]
            while not self._fits(call):
                victim = max(self._running, key=lambda running: running.rank, default=None)
                if victim is None or victim.order.priority <= call.order.priority:
                    return
                self._preempt(victim, now)
            self._waiting.remove(call)
            self._enter_batch(call, now)

    def _fits(self, call: EngineCall) -> bool:
        if len(self._running) >= self._parameters.maximum_running:
            return False
        hits = self._hits(call)
        return self._total_blocks(call) - len(hits) <= self.cache.available_blocks(hits)

    def _hits(self, call: EngineCall) -> tuple[int, ...]:
        """Return the leading blocks found in the cache; the last context token is computed."""
        whole = (call.context_tokens - 1) // self._parameters.block_tokens
        hashes = call.order.block_hashes[:whole]
        return hashes[: self.cache.cached_prefix(hashes)]

    def _total_blocks(self, call: EngineCall) -> int:
        return self._parameters.blocks_of(call.order.prompt_tokens + call.order.output_tokens)

    def _enter_batch(self, call: EngineCall, now: float) -> None:
        hits = self._hits(call)
        self.cache.pin(hits, call.order.program_id, now)
        call.pinned = len(hits)
        call.reserved = self._total_blocks(call) - len(hits)
        self.cache.reserve(call.reserved, now)
        cached = len(hits) * self._parameters.block_tokens
        call.prefill_left = call.context_tokens - cached
        if call.cached_tokens is None:
            call.cached_tokens = min(cached, call.order.prompt_tokens)
        self._running.append(call)
        call.running = True

    def _preempt(self, call: EngineCall, now: float) -> None:
        self._leave_batch(call, now)
        self._waiting.append(call)
        self._waiting.sort(key=lambda waiting: waiting.rank)

    def _leave_batch(self, call: EngineCall, now: float) -> None:
        self._store_blocks(call, call.context_tokens - call.prefill_left, now)
        self._running.remove(call)
        call.running = False
        self.cache.unpin(call.order.block_hashes[: call.pinned], now)
        self.cache.unreserve(call.reserved)
        call.pinned = call.reserved = 0

    def _store_blocks(self, call: EngineCall, computed_tokens: int, now: float) -> None:
        """Make the whole blocks among the computed tokens known to the cache."""
        whole = min(computed_tokens // self._parameters.block_tokens, len(call.order.block_hashes))
        fresh = call.order.block_hashes[call.pinned : whole]
        if fresh:
            self.cache.store(fresh, call.order.program_id, now)
            call.reserved -= len(fresh)
            call.pinned = whole

    def _finished_early(self) -> bool:
        """Tell whether the segment holds a call that has left the batch."""
        segment = self._segment
        return segment is not None and any(not call.running for call in segment.decoding)

    # --- load --------------------------------------------------------------------------------

    def _models(self) -> tuple[ModelName, ...]:
        return tuple(ModelName(model) for model, adapter in self._loaded if not adapter)

    def _record_load(self, now: float) -> None:
        history = self._load_history
        running, waiting = len(self._running), len(self._waiting)
        if history and history[-1][1] == running and history[-1][2] == waiting:
            return
        history.append((now, running, waiting, self.cache.used_blocks))
        visible = now - self._parameters.load_lag_seconds
        while len(history) > 1 and history[1][0] <= visible:
            history.popleft()
