"""Engine models driven by the virtual time of a simulation."""

from collections.abc import Callable
from dataclasses import dataclass

from foxwinch.bench.schedule.result import TimelinePoint
from foxwinch.bench.simulator import Simulator
from foxwinch.core.coordinator.calls import WorkerDescription
from foxwinch.core.coordinator.events import BlockChange
from foxwinch.emulator import engine_events
from foxwinch.emulator.block_cache import CacheStatistics
from foxwinch.emulator.engine_model import EngineModel
from foxwinch.emulator.engine_parameters import EngineParameters
from foxwinch.identifiers import ModelName, WorkerId

MODEL = ModelName("model")
OutputHandler = Callable[[int, engine_events.EngineOutput, float], None]
"""Callback that receives the engine number, its output and the time in seconds."""


@dataclass(frozen=True, slots=True)
class CachePage:
    """Changes to the cache of an engine since the previous page."""

    changes: tuple[BlockChange, ...]
    gap: bool


@dataclass(frozen=True, slots=True)
class EngineTotals:
    """Totals over all engines for a complete run."""

    prefill_tokens: dict[str, int]
    wasted_prefill_tokens: dict[str, int]
    held_dead_token_seconds: dict[str, float]
    ended_tokens: int
    busy_seconds: float


class Engines:
    """A numbered set of engines with one model loaded."""

    def __init__(
        self,
        parameters: EngineParameters,
        count: int,
        seed: int,
        simulator: Simulator,
        on_output: OutputHandler,
    ) -> None:
        """Create `count` engines, each with its own random seed."""
        self._parameters = parameters
        self._simulator = simulator
        self._on_output = on_output
        self._ledger = CacheStatistics()
        self._engines = [
            EngineModel(parameters, [MODEL], seed * 100 + number, self._ledger)
            for number in range(count)
        ]
        self.names = [WorkerId(f"w{number}") for number in range(count)]
        self.numbers = {name: number for number, name in enumerate(self.names)}
        self._versions = [0] * count
        self._last_sequence = [0] * count

    def description(self, number: int) -> WorkerDescription:
        """Return the description of an engine for the policy."""
        return WorkerDescription(
            self.names[number],
            (MODEL,),
            self._parameters.maximum_running,
            self._parameters.cache_blocks,
            self._parameters.block_tokens,
        )

    def feed(self, number: int, event: engine_events.EngineInput, now: float) -> None:
        """Pass an event to an engine and forward its outputs to the callback."""
        engine = self._engines[number]
        outputs = engine.handle(event, now)
        self._versions[number] += 1
        at = engine.next_event_time()
        if at is not None:
            version = self._versions[number]
            self._simulator.at(at, lambda: self._wake(number, version, self._simulator.now))
        for output in outputs:
            self._on_output(number, output, now)

    def feed_all(self, event: engine_events.EngineInput, now: float) -> None:
        """Pass an event to every engine."""
        for number in range(len(self._engines)):
            self.feed(number, event, now)

    def new_cache_changes(self, number: int, now: float) -> CachePage | None:
        """Return the cache changes of an engine since the previous page, or None."""
        page = self._engines[number].cache_events(max(1, self._last_sequence[number]), now)
        if not page.events and not page.gap:
            return None
        self._last_sequence[number] = page.next_sequence
        changes = tuple(BlockChange(e.kind, e.block_hashes) for e in page.events)
        return CachePage(changes, page.gap)

    def full_cache(self, number: int, now: float) -> CachePage:
        """Return the full cache content of an engine."""
        page = self._engines[number].cache_events(0, now)
        self._last_sequence[number] = page.next_sequence
        changes = tuple(BlockChange(e.kind, e.block_hashes) for e in page.events)
        return CachePage(changes, gap=False)

    def timeline_point(self, unfinished_calls: int, now: float) -> TimelinePoint:
        """Return the load of all engines."""
        loads = [engine.load_report(now) for engine in self._engines]
        return TimelinePoint(
            now,
            tuple(load.running for load in loads),
            tuple(load.cache_blocks_used for load in loads),
            unfinished_calls,
        )

    def totals(self, now: float) -> EngineTotals:
        """Close the cache measurements and return the totals."""
        prefill: dict[str, int] = {}
        wasted: dict[str, int] = {}
        for engine in self._engines:
            engine.cache.close_measurement(now)
            for program, tokens in engine.prefill_tokens.items():
                prefill[program] = prefill.get(program, 0) + tokens
            for program, tokens in engine.wasted_prefill_tokens.items():
                wasted[program] = wasted.get(program, 0) + tokens
        held = {str(p): value for p, value in self._ledger.held_dead_token_seconds.items()}
        busy = sum(engine.busy_seconds for engine in self._engines)
        return EngineTotals(prefill, wasted, held, self._ledger.ended_tokens, busy)

    def _wake(self, number: int, version: int, now: float) -> None:
        if version == self._versions[number]:
            self.feed(number, engine_events.Tick(), now)
