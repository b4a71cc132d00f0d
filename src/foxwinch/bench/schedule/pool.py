"""A pool in a simulation: one policy, the engines it decides for, and the calls in flight."""

from collections.abc import Callable
from typing import Protocol

from foxwinch.bench.schedule.engines import MODEL, Engines
from foxwinch.bench.schedule.pool_policy import PoolPolicy
from foxwinch.bench.schedule.result import TimelinePoint
from foxwinch.bench.schedule.runs import Chain
from foxwinch.bench.schedule.workload import Workload
from foxwinch.bench.simulator import Simulator
from foxwinch.core.coordinator.actions import (
    CopyPrefix,
    Dispatch,
    PoolAction,
    RefuseCall,
    ReleaseCache,
    ResyncCache,
)
from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.events import (
    CacheChanged,
    CallArrived,
    CallFinished,
    CallWithdrawn,
    PoolEvent,
    ProgramEnded,
    ReleaseCompleted,
    Tick,
    TransferCompleted,
    WorkerJoined,
)
from foxwinch.emulator import engine_events as engine_side
from foxwinch.emulator.engine_parameters import EngineParameters
from foxwinch.identifiers import CallId, ProgramId, WorkerId

POLL_SECONDS = 0.5
"""Cache events are read so often, and the policy learns that time has passed."""
RELEASE_LAG_SECONDS = 0.05
"""From the decision to release cache until the engine has done it."""


class PoolCallers(Protocol):
    """Who is told what became of a call."""

    def call_finished(self, chain: Chain, now: float) -> None:
        """Take a call's whole answer."""
        ...

    def call_refused(self, chain: Chain, retry_after_seconds: float | None, now: float) -> None:
        """Take a refusal; None: asking again is of no use."""
        ...


class Pool:
    """Carries out what the policy decides."""

    def __init__(
        self,
        workload: Workload,
        parameters: EngineParameters,
        policy: PoolPolicy,
        simulator: Simulator,
        callers: PoolCallers,
        keep_timeline: bool,
    ) -> None:
        """Prepare engines with the model loaded."""
        self._policy = policy
        self._simulator = simulator
        self._callers = callers
        self._keep_timeline = keep_timeline
        count = workload.deployment.engines
        self.engines = Engines(parameters, count, workload.seed, simulator, self._engine_output)
        self.chains: dict[CallId, Chain] = {}
        """Chains whose call is queued or running."""
        self.timeline: list[TimelinePoint] = []
        self._moves: dict[str, CopyPrefix] = {}

    def start(self) -> None:
        """Tell the policy of every engine and begin to read cache events."""
        count = len(self.engines.names)
        for number in range(count):
            self.decide(WorkerJoined(self.engines.description(number)), 0.0)
            self._simulator.at(POLL_SECONDS * (1 + number / count), self._poll_of(number))

    def decide(self, event: PoolEvent, now: float) -> None:
        """Give the policy an event and carry out what it decides."""
        for action in self._policy.handle(event, now):
            self._act(action, now)

    def add_call(self, chain: Chain, call: PoolCall, now: float) -> None:
        """Take in the current call of a chain."""
        self.chains[call.call_id] = chain
        self.decide(CallArrived(call), now)

    def withdraw_call(self, chain: Chain, now: float) -> None:
        """End the call of a chain without an answer, if one is queued or running."""
        if chain.call_id is None or chain.call_id not in self.chains:
            return
        del self.chains[chain.call_id]
        if chain.engine is not None:
            self.engines.feed(chain.engine, engine_side.CancelCall(chain.call_id), now)
        self.decide(CallWithdrawn(chain.call_id), now)

    def end_program(self, program_id: ProgramId, now: float) -> None:
        """Tell engines and policy that a program is over."""
        self.engines.feed_all(engine_side.ProgramEnded(program_id), now)
        self.decide(ProgramEnded(program_id), now)

    def _poll_of(self, number: int) -> Callable[[], None]:
        def poll() -> None:
            now = self._simulator.now
            page = self.engines.new_cache_changes(number, now)
            if page is not None:
                name = self.engines.names[number]
                self.decide(CacheChanged(name, page.changes, page.gap), now)
            else:
                self.decide(Tick(), now)
            if self._keep_timeline and number == 0:
                self.timeline.append(self.engines.timeline_point(len(self.chains), now))
            self._simulator.after(POLL_SECONDS, poll)

        return poll

    # --- the policy's actions ----------------------------------------------------------------

    def _act(self, action: PoolAction, now: float) -> None:
        match action:
            case Dispatch():
                self._dispatch(action, now)
            case RefuseCall():
                chain = self.chains.pop(action.call_id)
                self._callers.call_refused(chain, action.refused.retry_after_seconds, now)
            case CopyPrefix():
                self._moves[action.call_id] = action
                source = self.engines.numbers[action.source]
                export = engine_side.ExportBlocks(action.call_id, action.block_hashes)
                self.engines.feed(source, export, now)
            case ReleaseCache():
                at = now + RELEASE_LAG_SECONDS
                self._simulator.at(at, lambda: self._release(action, self._simulator.now))
            case ResyncCache():
                at = now + RELEASE_LAG_SECONDS
                self._simulator.at(at, lambda: self._resync(action.worker, self._simulator.now))

    def _dispatch(self, action: Dispatch, now: float) -> None:
        chain = self.chains[action.call_id]
        chain.engine = self.engines.numbers[action.worker]
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
        self.engines.feed(chain.engine, submit, now)

    def _release(self, action: ReleaseCache, now: float) -> None:
        number = self.engines.numbers[action.worker]
        self.engines.feed(number, engine_side.ReleaseProgram(action.program_id), now)
        self.decide(ReleaseCompleted(action.worker, action.program_id, True), now)

    def _resync(self, worker: WorkerId, now: float) -> None:
        page = self.engines.whole_cache(self.engines.numbers[worker], now)
        self.decide(CacheChanged(worker, page.changes, page.gap), now)

    # --- what engines give -------------------------------------------------------------------

    def _engine_output(self, number: int, output: engine_side.EngineOutput, now: float) -> None:
        match output:
            case engine_side.CallCompleted():
                self._completed(output, now)
            case engine_side.BlocksExported():
                self._exported(output, now)
            case engine_side.BlocksImported():
                done = output.blocks > 0
                self.decide(TransferCompleted(CallId(output.transfer), done), now)
            case engine_side.CallRejected():
                raise AssertionError(f"engine {number}: {output.detail}")
            case _:
                pass

    def _completed(self, output: engine_side.CallCompleted, now: float) -> None:
        chain = self.chains.pop(output.call_id, None)
        if chain is None:
            return
        chain.call_id = None
        chain.run.service_seconds += now - chain.dispatched_at_seconds
        finished = CallFinished(
            output.call_id, output.prompt_tokens, output.cached_tokens, output.completion_tokens
        )
        self.decide(finished, now)
        self._callers.call_finished(chain, now)

    def _exported(self, output: engine_side.BlocksExported, now: float) -> None:
        move = self._moves.pop(output.transfer)
        chain = self.chains.get(move.call_id)
        if not output.block_hashes or chain is None:
            self.decide(TransferCompleted(move.call_id, False), now)
            return
        target = self.engines.numbers[move.target]
        importing = engine_side.ImportBlocks(output.transfer, chain.program_id, output.block_hashes)
        self.engines.feed(target, importing, now)
