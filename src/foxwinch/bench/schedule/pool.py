"""Simulated pool: one policy, its engines and the calls in flight."""

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
from foxwinch.emulator import engine_events
from foxwinch.emulator.engine_parameters import EngineParameters
from foxwinch.identifiers import CallId, ProgramId, WorkerId

POLL_SECONDS = 0.5
"""Interval at which cache events are polled; the policy gets a `Tick` if there are none."""
RELEASE_LAG_SECONDS = 0.05
"""Delay between the decision to release or resynchronize a cache and its execution."""


class CallListener(Protocol):
    """Receives the outcome of calls."""

    def call_finished(self, chain: Chain, now: float) -> None:
        """Handle a completed call."""
        ...

    def call_refused(self, chain: Chain, retry_after_seconds: float | None, now: float) -> None:
        """Handle a refused call; `retry_after_seconds` is None if a retry is pointless."""
        ...


class Pool:
    """Executes the actions of a policy on the engines."""

    def __init__(
        self,
        workload: Workload,
        parameters: EngineParameters,
        policy: PoolPolicy,
        simulator: Simulator,
        listener: CallListener,
        keep_timeline: bool,
    ) -> None:
        """Create the engines with the model loaded."""
        self._policy = policy
        self._simulator = simulator
        self._listener = listener
        self._keep_timeline = keep_timeline
        count = workload.deployment.engines
        self.engines = Engines(parameters, count, workload.seed, simulator, self._handle_output)
        self.chains: dict[CallId, Chain] = {}
        """Chains whose call is queued or running."""
        self.timeline: list[TimelinePoint] = []
        self._copies: dict[str, CopyPrefix] = {}

    def start(self) -> None:
        """Announce every engine to the policy and start polling cache events."""
        count = len(self.engines.names)
        for number in range(count):
            self.decide(WorkerJoined(self.engines.description(number)), 0.0)
            self._simulator.at(POLL_SECONDS * (1 + number / count), self._poller(number))

    def decide(self, event: PoolEvent, now: float) -> None:
        """Pass an event to the policy and execute its actions."""
        for action in self._policy.handle(event, now):
            self._execute(action, now)

    def add_call(self, chain: Chain, call: PoolCall, now: float) -> None:
        """Submit the current call of a chain to the policy."""
        self.chains[call.call_id] = chain
        self.decide(CallArrived(call), now)

    def withdraw_call(self, chain: Chain, now: float) -> None:
        """Cancel the call of a chain if it is queued or running."""
        if chain.call_id is None or chain.call_id not in self.chains:
            return
        del self.chains[chain.call_id]
        if chain.engine is not None:
            self.engines.feed(chain.engine, engine_events.CancelCall(chain.call_id), now)
        self.decide(CallWithdrawn(chain.call_id), now)

    def end_program(self, program_id: ProgramId, now: float) -> None:
        """Notify the engines and the policy of the end of a program."""
        self.engines.feed_all(engine_events.ProgramEnded(program_id), now)
        self.decide(ProgramEnded(program_id), now)

    def _poller(self, number: int) -> Callable[[], None]:
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

    # --- policy actions ----------------------------------------------------------------------

    def _execute(self, action: PoolAction, now: float) -> None:
        match action:
            case Dispatch():
                self._dispatch(action, now)
            case RefuseCall():
                chain = self.chains.pop(action.call_id)
                self._listener.call_refused(chain, action.refused.retry_after_seconds, now)
            case CopyPrefix():
                self._copies[action.call_id] = action
                source = self.engines.numbers[action.source]
                export = engine_events.ExportBlocks(action.call_id, action.block_hashes)
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
        submit = engine_events.Submit(
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
        self.engines.feed(number, engine_events.ReleaseProgram(action.program_id), now)
        self.decide(ReleaseCompleted(action.worker, action.program_id, True), now)

    def _resync(self, worker: WorkerId, now: float) -> None:
        page = self.engines.full_cache(self.engines.numbers[worker], now)
        self.decide(CacheChanged(worker, page.changes, page.gap), now)

    # --- engine outputs ----------------------------------------------------------------------

    def _handle_output(self, number: int, output: engine_events.EngineOutput, now: float) -> None:
        match output:
            case engine_events.CallCompleted():
                self._handle_completed(output, now)
            case engine_events.BlocksExported():
                self._handle_exported(output, now)
            case engine_events.BlocksImported():
                done = output.blocks > 0
                self.decide(TransferCompleted(CallId(output.transfer), done), now)
            case engine_events.CallRejected():
                raise AssertionError(f"engine {number}: {output.detail}")
            case _:
                pass

    def _handle_completed(self, output: engine_events.CallCompleted, now: float) -> None:
        chain = self.chains.pop(output.call_id, None)
        if chain is None:
            return
        chain.call_id = None
        chain.run.service_seconds += now - chain.dispatched_at_seconds
        finished = CallFinished(
            output.call_id, output.prompt_tokens, output.cached_tokens, output.completion_tokens
        )
        self.decide(finished, now)
        self._listener.call_finished(chain, now)

    def _handle_exported(self, output: engine_events.BlocksExported, now: float) -> None:
        copy = self._copies.pop(output.transfer)
        chain = self.chains.get(copy.call_id)
        if not output.block_hashes or chain is None:
            self.decide(TransferCompleted(copy.call_id, False), now)
            return
        target = self.engines.numbers[copy.target]
        import_blocks = engine_events.ImportBlocks(
            output.transfer, chain.program_id, output.block_hashes
        )
        self.engines.feed(target, import_blocks, now)
