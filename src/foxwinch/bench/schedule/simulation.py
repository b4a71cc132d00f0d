"""A pool of engines, its programs and one policy on virtual time."""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from foxwinch.bench.schedule.context import system_context
from foxwinch.bench.schedule.plans import program_alone_seconds
from foxwinch.bench.schedule.runs import Chain, ProgramRun
from foxwinch.bench.schedule.workload import Workload
from foxwinch.core.steward.actions import (
    Dispatch,
    MovePrefix,
    PoolAction,
    RefuseCall,
    ReleaseCache,
    ResyncCache,
)
from foxwinch.core.steward.calls import PoolCall, WorkerDescription
from foxwinch.core.steward.events import (
    BlockChange,
    CacheChanged,
    CallArrived,
    CallFinished,
    CallWithdrawn,
    PoolEvent,
    ProgramEnded,
    ProgramPaused,
    ReleaseAnswered,
    TimePassed,
    TransferAnswered,
    WorkerJoined,
)
from foxwinch.emulator import engine_events as engine_side
from foxwinch.emulator.block_cache import CacheLedger
from foxwinch.emulator.engine_model import EngineModel
from foxwinch.emulator.engine_parameters import EngineParameters
from foxwinch.identifiers import CallId, ClassName, ModelName, ProgramId, TenantName, ToolName
from foxwinch.identifiers import WorkerId as Worker

MODEL = ModelName("model")
TENANT = TenantName("tenant")
POLL_SECONDS = 0.5
"""Cache events are read so often, and the policy learns that time has passed."""
RELEASE_LAG_SECONDS = 0.05
"""From the decision to release cache until the engine has done it."""
RETRIES = 3
"""A refused program asks again after the time it was told, so often; then it gives up."""
CHILD_NUMBERS = 1_000_000
"""Numbers of sub-agents' histories start here."""
LONGEST_DRAIN_SECONDS = 7200.0
"""Programs that have not ended so long after the last arrival count as unfinished."""


class Policy(Protocol):
    """What decides for the pool."""

    def handle(self, event: PoolEvent, now: float) -> Sequence[PoolAction]:
        """Take in an event and return what is to be done."""
        ...


@dataclass(frozen=True, slots=True)
class TimelinePoint:
    """The pool at one moment."""

    at_seconds: float
    running: tuple[int, ...]
    cache_blocks: tuple[int, ...]
    unfinished_calls: int


@dataclass(slots=True)
class SimulationResult:
    """What a run gave; figures are made of it elsewhere."""

    runs: list[ProgramRun]
    prefill_tokens: dict[str, int]
    wasted_prefill_tokens: dict[str, int]
    held_dead_token_seconds: dict[str, float]
    ended_tokens: int
    """Cache tokens held for programs at the moment they ended."""
    busy_seconds: float
    timeline: list[TimelinePoint] = field(default_factory=list)


class Simulation:
    """One run."""

    def __init__(
        self,
        workload: Workload,
        parameters: EngineParameters,
        policy: Policy,
        keep_timeline: bool = False,
    ) -> None:
        """Prepare engines with the model loaded and programs at their arrival times."""
        self._parameters = parameters
        self._policy = policy
        self._keep_timeline = keep_timeline
        self._ledger = CacheLedger()
        self._engines = [
            EngineModel(parameters, [MODEL], workload.seed * 100 + index, self._ledger)
            for index in range(workload.deployment.engines)
        ]
        self._names = [Worker(f"w{index}") for index in range(len(self._engines))]
        self._numbers = {name: index for index, name in enumerate(self._names)}
        self._versions = [0] * len(self._engines)
        self._last_sequence = [0] * len(self._engines)
        self._shapes = {shape.name: shape for shape in workload.deployment.classes}
        self._workload = workload
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0
        self._chains: dict[CallId, Chain] = {}
        self._moves: dict[str, MovePrefix] = {}
        self._unfinished = 0
        self._calls = 0
        self._children = CHILD_NUMBERS
        self._timeline: list[TimelinePoint] = []
        self._runs: list[ProgramRun] = []

    def run(self) -> SimulationResult:
        """Run until every program has ended."""
        for index, name in enumerate(self._names):
            description = WorkerDescription(
                name,
                (MODEL,),
                self._parameters.maximum_running,
                self._parameters.cache_blocks,
                self._parameters.block_tokens,
            )
            self._decide(WorkerJoined(description), 0.0)
            self._at(POLL_SECONDS * (1 + index / len(self._names)), self._poll_of(index))
        for plan in self._workload.programs:
            run = ProgramRun(plan, ProgramId(f"p{plan.number}"))
            self._runs.append(run)
            self._at(plan.arrival_seconds, lambda now, run=run: self._start(run, now))  # type: ignore[misc]
        self._unfinished = len(self._runs)
        end = self._workload.duration_seconds + LONGEST_DRAIN_SECONDS
        now = 0.0
        while self._unfinished and self._heap and now < end:
            now, _, act = heapq.heappop(self._heap)
            act(now)
        return self._result(now)

    def _result(self, now: float) -> SimulationResult:
        prefill: dict[str, int] = {}
        wasted: dict[str, int] = {}
        for engine in self._engines:
            engine.cache.close_measurement(now)
            for program, tokens in engine.prefill_tokens.items():
                prefill[program] = prefill.get(program, 0) + tokens
            for program, tokens in engine.wasted_prefill_tokens.items():
                wasted[program] = wasted.get(program, 0) + tokens
        for run in self._runs:
            if run.ended_at_seconds is None:
                run.ended_at_seconds = now
        return SimulationResult(
            self._runs,
            prefill,
            wasted,
            {str(p): held for p, held in self._ledger.held_dead_token_seconds.items()},
            self._ledger.ended_tokens,
            sum(engine.busy_seconds for engine in self._engines),
            self._timeline,
        )

    def remaining_seconds(self, call_id: CallId) -> float:
        """Return what is left of the call's program on idle engines, for a clairvoyant policy."""
        run = self._chains[call_id].run
        position = run.chains[run.program_id].position
        rest = replace(run.plan, calls=run.plan.calls[position:])
        return program_alone_seconds(self._parameters, rest)

    def answer_tokens(self, call_id: CallId) -> int:
        """Return the true length of a call's answer, for a clairvoyant policy."""
        return self._chains[call_id].plan.output_tokens

    # --- time --------------------------------------------------------------------------------

    def _at(self, at: float, act: Callable[[float], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, act))

    def _poll_of(self, index: int) -> Callable[[float], None]:
        def poll(now: float) -> None:
            engine = self._engines[index]
            page = engine.cache_events(max(1, self._last_sequence[index]), now)
            if page.events or page.gap:
                self._last_sequence[index] = page.next_sequence
                changes = tuple(BlockChange(e.kind, e.block_hashes) for e in page.events)
                self._decide(CacheChanged(self._names[index], changes, page.gap), now)
            else:
                self._decide(TimePassed(), now)
            if self._keep_timeline and index == 0:
                self._record(now)
            self._at(now + POLL_SECONDS, poll)

        return poll

    def _record(self, now: float) -> None:
        loads = [engine.load_report(now) for engine in self._engines]
        self._timeline.append(
            TimelinePoint(
                now,
                tuple(load.running for load in loads),
                tuple(load.cache_blocks_used for load in loads),
                len(self._chains),
            )
        )

    # --- programs ----------------------------------------------------------------------------

    def _start(self, run: ProgramRun, now: float) -> None:
        plan = run.plan
        context = system_context(
            plan.number, plan.system_prefix, plan.system_tokens, self._parameters.block_tokens
        )
        chain = Chain(run, run.program_id, context, plan.calls)
        run.chains[chain.program_id] = chain
        self._ask(chain, now)

    def _ask(self, chain: Chain, now: float) -> None:
        """Ask for the chain's current call, unless the program has ended."""
        run = chain.run
        if run.ended_at_seconds is not None:
            return
        self._calls += 1
        chain.call_id = CallId(f"c{self._calls}")
        chain.engine = None
        self._chains[chain.call_id] = chain
        shape = self._shapes[run.plan.class_name]
        spent = now - run.plan.arrival_seconds - run.paused_seconds
        call = PoolCall(
            call_id=chain.call_id,
            program_id=chain.program_id,
            tenant=TENANT,
            class_name=ClassName(shape.name),
            class_rank=shape.rank,
            model=MODEL,
            prompt_tokens=chain.prompt_tokens,
            output_tokens=shape.maximum_tokens,
            prefix_hashes=chain.context.hashes(chain.prompt_tokens),
            service_seconds=run.service_seconds,
            deadline_at_seconds=now + shape.deadline_seconds - spent,
            family_id=run.program_id if chain.is_child else None,
        )
        self._plan_abandonment(chain, now)
        self._decide(CallArrived(call), now)

    def _plan_abandonment(self, chain: Chain, now: float) -> None:
        plan = chain.run.plan
        if chain.is_child or plan.abandoned_after != chain.position:
            return
        if plan.abandoned_during is not None:
            at = now + plan.abandoned_during
            self._at(at, lambda then: self._end(chain.run, "abandoned", then))

    def _call_over(self, chain: Chain, now: float) -> None:
        """Go on after a finished call."""
        run, plan = chain.run, chain.plan
        chain.context.tokens = chain.prompt_tokens + plan.output_tokens
        chain.position += 1
        if plan.children:
            self._start_children(chain, plan.children, now)
        elif plan.tool:
            self._pause(chain, plan.tool, plan.pause_seconds, now)
        elif chain.is_child:
            self._child_over(chain, now)
        else:
            self._end(run, "stopped" if run.plan.loops else "finished", now)

    def _pause(self, chain: Chain, tool: str, seconds: float, now: float) -> None:
        run = chain.run
        self._decide(ProgramPaused(chain.program_id, ToolName(tool)), now)
        if not chain.is_child:
            run.paused_seconds += seconds
        leaves = not chain.is_child and run.plan.abandoned_after == chain.position - 1
        if leaves:
            self._at(now + seconds, lambda then: self._end(run, "abandoned", then))
        else:
            self._at(now + seconds, lambda then: self._ask(chain, then))

    def _start_children(
        self, parent: Chain, children: Sequence[Sequence[object]], now: float
    ) -> None:
        run = parent.run
        run.children_left = len(children)
        for calls in children:
            run.children_started += 1
            self._children += 1
            program_id = ProgramId(f"{run.program_id}.{run.children_started}")
            child = Chain(run, program_id, parent.context.fork(self._children), tuple(calls))  # type: ignore[arg-type]
            run.chains[program_id] = child
            self._ask(child, now)

    def _child_over(self, child: Chain, now: float) -> None:
        run = child.run
        del run.chains[child.program_id]
        self._tell_ended(child.program_id, now)
        run.children_left -= 1
        if run.children_left == 0:
            self._ask(run.chains[run.program_id], now)

    def _end(self, run: ProgramRun, outcome: str, now: float) -> None:
        """End a program: withdraw its calls, then tell that its chains are over."""
        if run.ended_at_seconds is not None:
            return
        run.ended_at_seconds = now
        run.outcome = outcome
        self._unfinished -= 1
        for chain in run.chains.values():
            self._withdraw(chain, now)
        for program_id in list(run.chains):
            self._tell_ended(program_id, now)
        run.chains.clear()

    def _withdraw(self, chain: Chain, now: float) -> None:
        if chain.call_id is None or chain.call_id not in self._chains:
            return
        del self._chains[chain.call_id]
        if chain.engine is not None:
            self._feed(chain.engine, engine_side.CancelCall(chain.call_id), now)
        self._decide(CallWithdrawn(chain.call_id), now)

    def _tell_ended(self, program_id: ProgramId, now: float) -> None:
        for index in range(len(self._engines)):
            self._feed(index, engine_side.ProgramEnded(program_id), now)
        self._decide(ProgramEnded(program_id), now)

    # --- the policy's actions ----------------------------------------------------------------

    def _decide(self, event: PoolEvent, now: float) -> None:
        for action in self._policy.handle(event, now):
            self._act(action, now)

    def _act(self, action: PoolAction, now: float) -> None:
        match action:
            case Dispatch():
                self._dispatch(action, now)
            case RefuseCall():
                self._refused(action, now)
            case MovePrefix():
                self._moves[action.call_id] = action
                source = self._numbers[action.source]
                export = engine_side.ExportBlocks(action.call_id, action.block_hashes)
                self._feed(source, export, now)
            case ReleaseCache():
                self._at(now + RELEASE_LAG_SECONDS, lambda then: self._release(action, then))
            case ResyncCache():
                self._at(now + RELEASE_LAG_SECONDS, lambda then: self._resync(action, then))

    def _dispatch(self, action: Dispatch, now: float) -> None:
        chain = self._chains[action.call_id]
        chain.engine = self._numbers[action.worker]
        chain.dispatched_at_seconds = now
        output = chain.plan.output_tokens
        submit = engine_side.Submit(
            action.call_id,
            chain.program_id,
            MODEL,
            chain.prompt_tokens,
            output,
            chain.context.hashes(chain.prompt_tokens + output),
            action.priority,
        )
        self._feed(chain.engine, submit, now)

    def _refused(self, action: RefuseCall, now: float) -> None:
        chain = self._chains.pop(action.call_id)
        run = chain.run
        run.refusals += 1
        after = action.refused.retry_after_seconds
        if run.refusals > RETRIES or after is None:
            self._end(run, "refused", now)
        else:
            self._at(now + after, lambda then: self._ask(chain, then))

    def _release(self, action: ReleaseCache, now: float) -> None:
        index = self._numbers[action.worker]
        self._feed(index, engine_side.ReleaseProgram(action.program_id), now)
        self._decide(ReleaseAnswered(action.worker, action.program_id, True), now)

    def _resync(self, action: ResyncCache, now: float) -> None:
        index = self._numbers[action.worker]
        page = self._engines[index].cache_events(0, now)
        self._last_sequence[index] = page.next_sequence
        changes = tuple(BlockChange(e.kind, e.block_hashes) for e in page.events)
        self._decide(CacheChanged(action.worker, changes, False), now)

    # --- engines -----------------------------------------------------------------------------

    def _feed(self, index: int, event: engine_side.EngineInput, now: float) -> None:
        engine = self._engines[index]
        outputs = engine.handle(event, now)
        self._versions[index] += 1
        at = engine.next_event_time()
        if at is not None:
            version = self._versions[index]
            self._at(at, lambda then: self._wake(index, version, then))
        for output in outputs:
            self._engine_output(index, output, now)

    def _wake(self, index: int, version: int, now: float) -> None:
        if version == self._versions[index]:
            self._feed(index, engine_side.TimePassed(), now)

    def _engine_output(self, index: int, output: engine_side.EngineOutput, now: float) -> None:
        match output:
            case engine_side.CallCompleted():
                self._completed(output, now)
            case engine_side.BlocksExported():
                self._exported(output, now)
            case engine_side.BlocksImported():
                done = output.blocks > 0
                self._decide(TransferAnswered(CallId(output.transfer), done), now)
            case engine_side.CallRejected():
                raise AssertionError(output.detail)
            case _:
                pass

    def _completed(self, output: engine_side.CallCompleted, now: float) -> None:
        chain = self._chains.pop(output.call_id, None)
        if chain is None:
            return
        chain.call_id = None
        chain.run.service_seconds += now - chain.dispatched_at_seconds
        finished = CallFinished(
            output.call_id, output.prompt_tokens, output.cached_tokens, output.completion_tokens
        )
        self._decide(finished, now)
        self._call_over(chain, now)

    def _exported(self, output: engine_side.BlocksExported, now: float) -> None:
        move = self._moves.pop(output.transfer)
        chain = self._chains.get(move.call_id)
        if not output.block_hashes or chain is None:
            self._decide(TransferAnswered(move.call_id, False), now)
            return
        target = self._numbers[move.target]
        importing = engine_side.ImportBlocks(output.transfer, chain.program_id, output.block_hashes)
        self._feed(target, importing, now)
