"""The scheduler of one pool of workers: pure, exact about what it dispatched itself.

To use it, feed each event with the time and carry out the actions returned, in order:

    scheduler = PoolScheduler(policy_for(configuration.objective))
    actions = scheduler.handle(WorkerJoined(WorkerDescription(...)), now)
    actions = scheduler.handle(CallArrived(call), now)   # perhaps [Dispatch(...)], perhaps []
    actions = scheduler.handle(CallFinished(...), now)   # perhaps [Dispatch(...)] of a waiting call

`now` must never go back. Nothing needs a timer: call `handle(Tick(), now)` about once a
second so that calls that waited for a better place take another. Every arrived call is answered
by exactly one `Dispatch` or `RefuseCall`, unless it is withdrawn first. `ReleaseCache` is asked
again after each `ReleaseCompleted(done=False)` until it succeeds or the worker leaves.
"""

from collections.abc import Callable

from foxwinch.core.coordinator.actions import (
    CopyPrefix,
    Dispatch,
    PoolAction,
    RefuseCall,
    ReleaseCache,
    ResyncCache,
)
from foxwinch.core.coordinator.admission import refusal
from foxwinch.core.coordinator.cache_index import CacheIndex
from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.estimates import PREFILL_TOKEN_SECONDS, Estimates
from foxwinch.core.coordinator.events import (
    CacheChanged,
    CallArrived,
    CallFailed,
    CallFinished,
    CallWithdrawn,
    LoadReported,
    PolicyChanged,
    PoolEvent,
    ProgramEnded,
    ProgramPaused,
    ReleaseCompleted,
    Tick,
    TransferCompleted,
    WorkerJoined,
    WorkerLeaving,
    WorkerLeft,
)
from foxwinch.core.coordinator.placement import Placement, choose_worker, private_blocks
from foxwinch.core.coordinator.policy import PolicySettings
from foxwinch.core.coordinator.programs import ProgramState, ProgramTable
from foxwinch.core.coordinator.reasons import placement_reason
from foxwinch.core.coordinator.waiting import WaitingCall, WaitingCalls, order_key
from foxwinch.core.coordinator.workers import PlacedCall, WorkerState
from foxwinch.identifiers import CallId, WorkerId

PREFILL_SHARE_SECONDS = 0.00007
"""Each prefilled token's share of the fixed part of a step: 18 ms over 256 tokens."""

NO_PLACE_FREED = (CacheChanged, ProgramPaused, ProgramEnded, ReleaseCompleted, LoadReported)
"""Events after which no waiting call can get a place that it could not get before."""


class PoolScheduler:
    """Decides for one pool."""

    def __init__(self, policy: PolicySettings) -> None:
        """Start without workers."""
        self.policy = policy
        self.estimates = Estimates()
        self._workers: dict[WorkerId, WorkerState] = {}
        self._waiting = WaitingCalls()
        self._placed: dict[CallId, PlacedCall] = {}
        self._programs = ProgramTable()
        self._sequence = 0
        self._lowest_rank = 0
        self._handlers: dict[type, Callable[..., list[PoolAction]]] = {
            CallArrived: self._call_arrived,
            CallWithdrawn: self._call_withdrawn,
            CallFinished: self._call_finished,
            CallFailed: self._call_failed,
            ProgramPaused: self._program_paused,
            ProgramEnded: self._program_ended,
            ReleaseCompleted: self._release_answered,
            TransferCompleted: self._transfer_answered,
            CacheChanged: self._cache_changed,
            WorkerJoined: self._worker_joined,
            WorkerLeaving: self._worker_leaving,
            WorkerLeft: self._worker_left,
            LoadReported: self._load_reported,
            PolicyChanged: self._policy_changed,
            Tick: self._time_passed,
        }

    def handle(self, event: PoolEvent, now: float) -> list[PoolAction]:
        """Take in an event and return what is to be done, in order."""
        actions = self._handlers[type(event)](event, now)
        if len(self._waiting) > 0 and not isinstance(event, NO_PLACE_FREED):
            actions += self._place_waiting(now)
        return actions

    @property
    def waiting_calls(self) -> int:
        """Number of queued calls."""
        return len(self._waiting)

    def placed_calls(self, worker: WorkerId) -> tuple[CallId, ...]:
        """Return the calls that hold a place on a worker."""
        state = self._workers.get(worker)
        return tuple(state.placed) if state else ()

    def explain(self, call_id: CallId) -> str:
        """Say why a call waits or went where it did; empty for an unknown call."""
        placed = self._placed.get(call_id)
        if placed is not None:
            return placed.reason
        for position, waiting in enumerate(self._waiting):
            if waiting.call.call_id == call_id:
                return f"waits for a place; {position} calls go before it"
        return ""

    # --- calls -------------------------------------------------------------------------------

    def _call_arrived(self, event: CallArrived, now: float) -> list[PoolAction]:
        call = event.call
        if call.call_id in self._placed or call.call_id in self._waiting:
            return []
        self._lowest_rank = max(self._lowest_rank, call.class_rank)
        expected = self.estimates.call_seconds(call.class_name, 0, call.output_tokens)
        refused = self._admit(call, now)
        if refused is not None:
            return [refused]
        program = self._programs.ensure(call.program_id)
        program.hashes = call.prefix_hashes
        tree = self._programs.ensure(call.tree)
        if tree.active_calls == 0:
            tree.step_began_at_seconds = now
        tree.active_calls += 1
        key = self.order_key(call, tree, expected, now)
        self._sequence += 1
        self._waiting.add(WaitingCall(call, key, self._sequence, now, expected))
        return []

    def order_key(
        self, call: PoolCall, tree: ProgramState, expected_seconds: float, now: float
    ) -> float:
        """Return a call's place in the order; an experiment may order otherwise."""
        return order_key(self.policy, call, now, tree.step_began_at_seconds, expected_seconds)

    def _admit(self, call: PoolCall, now: float) -> RefuseCall | None:
        known = self._programs.get(call.tree) is not None or call.service_seconds > 0
        if known or not self.policy.features.admission:
            return None
        wait = self.predicted_wait_seconds(call.class_rank)
        refused = refusal(self.policy, call, self._lowest_rank, wait, now)
        return RefuseCall(call.call_id, refused) if refused else None

    def predicted_wait_seconds(self, class_rank: int) -> float:
        """Return how long a newcomer of a class would wait behind calls as urgent or more."""
        slots = sum(w.description.slots for w in self._workers.values() if not w.leaving)
        return self._waiting.expected_seconds(class_rank) / max(slots, 1)

    def _call_withdrawn(self, event: CallWithdrawn, now: float) -> list[PoolAction]:
        waiting = self._waiting.remove(event.call_id)
        if waiting is not None:
            self._tree_call_over(waiting.call)
            return []
        return self._vacate(event.call_id)

    def _call_finished(self, event: CallFinished, now: float) -> list[PoolAction]:
        placed = self._placed.get(event.call_id)
        if placed is None:
            return []
        call = placed.call
        dispatched = placed.dispatched_at_seconds or placed.placed_at_seconds
        uncached = event.prompt_tokens - event.cached_tokens
        self.estimates.observe_answer(call.class_name, event.completion_tokens)
        self.estimates.observe_call(now - dispatched, uncached, event.completion_tokens)
        placed.worker.index.use(call.prefix_hashes, call.program_id, now)
        return self._vacate(event.call_id)

    def _call_failed(self, event: CallFailed, now: float) -> list[PoolAction]:
        return self._vacate(event.call_id)

    def _vacate(self, call_id: CallId) -> list[PoolAction]:
        """Free a call's place; a program that has ended meanwhile is released once more."""
        placed = self._placed.pop(call_id, None)
        if placed is None:
            return []
        placed.worker.leave(placed)
        self._tree_call_over(placed.call)
        program_id = placed.call.program_id
        gone = self._programs.get(program_id) is None
        worker = placed.worker.description.worker
        if gone and self.policy.features.release_ended and worker in self._workers:
            return [ReleaseCache(worker, program_id)]
        return []

    def _tree_call_over(self, call: PoolCall) -> None:
        tree = self._programs.get(call.tree)
        if tree is not None:
            tree.active_calls = max(0, tree.active_calls - 1)

    # --- programs ----------------------------------------------------------------------------

    def _program_paused(self, event: ProgramPaused, now: float) -> list[PoolAction]:
        """Keep the cache: dropping it for long pauses was measured to bring nothing."""
        return []

    def _program_ended(self, event: ProgramEnded, now: float) -> list[PoolAction]:
        program = self._programs.forget(event.program_id)
        if program is None or not self.policy.features.release_ended:
            return []
        held = [worker for worker in program.workers if worker in self._workers]
        return [self._release(worker, program) for worker in held]

    def _release(self, worker: WorkerId, program: ProgramState) -> ReleaseCache:
        program.workers.pop(worker, None)
        self._workers[worker].index.forget_program(program.hashes, program.program_id)
        return ReleaseCache(worker, program.program_id)

    def _release_answered(self, event: ReleaseCompleted, now: float) -> list[PoolAction]:
        back = self._programs.get(event.program_id) is not None
        if event.done or back or event.worker not in self._workers:
            return []
        return [ReleaseCache(event.worker, event.program_id)]

    # --- workers -----------------------------------------------------------------------------

    def _worker_joined(self, event: WorkerJoined, now: float) -> list[PoolAction]:
        description = event.description
        known = self._workers.get(description.worker)
        if known is not None:
            known.description = description
            known.leaving = False
            return []
        index = CacheIndex(description.cache_blocks)
        self._workers[description.worker] = WorkerState(description, index)
        return [ResyncCache(description.worker)]

    def _worker_leaving(self, event: WorkerLeaving, now: float) -> list[PoolAction]:
        if event.worker in self._workers:
            self._workers[event.worker].leaving = True
        return []

    def _worker_left(self, event: WorkerLeft, now: float) -> list[PoolAction]:
        state = self._workers.pop(event.worker, None)
        for call_id in list(state.placed) if state else []:
            self._vacate(call_id)
        return []

    def _load_reported(self, event: LoadReported, now: float) -> list[PoolAction]:
        """Load is known exactly from what was dispatched; a lagging report changes nothing."""
        return []

    def _cache_changed(self, event: CacheChanged, now: float) -> list[PoolAction]:
        state = self._workers.get(event.worker)
        if state is None:
            return []
        state.index.apply(event.changes, now)
        return [ResyncCache(event.worker)] if event.gap else []

    def _policy_changed(self, event: PolicyChanged, now: float) -> list[PoolAction]:
        self.policy = event.policy
        return []

    def _time_passed(self, event: Tick, now: float) -> list[PoolAction]:
        return []

    # --- placing -----------------------------------------------------------------------------

    def _place_waiting(self, now: float) -> list[PoolAction]:
        """Give places to waiting calls in order, as far as `scan_limit` allows."""
        actions: list[PoolAction] = []
        for waiting in self._waiting.first(self.policy.scan_limit):
            if not self._may_have_place(waiting):
                break
            placement = choose_worker(
                self._workers.values(),
                waiting.call,
                now - waiting.arrived_at_seconds,
                now,
                self.policy,
                self.estimates,
            )
            if placement is not None and placement.wait_seconds == 0.0:
                actions += self._place(waiting, placement, now)
        return actions

    def _may_have_place(self, waiting: WaitingCall) -> bool:
        if waiting.call.class_rank == 0 and self.policy.features.preemption:
            return True
        return any(w.free_slots > 0 and not w.leaving for w in self._workers.values())

    def _place(self, waiting: WaitingCall, placement: Placement, now: float) -> list[PoolAction]:
        call, worker = waiting.call, placement.worker
        self._waiting.remove(call.call_id)
        cached = placement.cached_blocks * worker.description.block_tokens
        uncached = max(0, call.prompt_tokens - cached)
        seconds = self.estimates.call_seconds(call.class_name, uncached, call.output_tokens)
        answer = self.estimates.answer_tokens(call.class_name, call.output_tokens)
        placed = PlacedCall(
            call=call,
            worker=worker,
            placed_at_seconds=now,
            arrived_at_seconds=waiting.arrived_at_seconds,
            expected_cached_tokens=cached,
            expected_end_seconds=now + seconds,
            private_blocks=private_blocks(call, worker.description.block_tokens, answer),
            reason=placement_reason(waiting, placement, cached, now),
            copied_blocks=placement.copied_blocks,
        )
        self._placed[call.call_id] = placed
        worker.place(placed)
        program = self._programs.get(call.program_id)
        if program is not None:
            program.workers[worker.description.worker] = None
        if placement.source is not None:
            return [self._copy(placed, placement)]
        return self._dispatch(placed, now)

    def _copy(self, placed: PlacedCall, placement: Placement) -> PoolAction:
        assert placement.source is not None
        hashes = placed.call.prefix_hashes[: placement.cached_blocks]
        holder = placement.source.index.program_of(hashes[-1])
        return CopyPrefix(
            placed.call.call_id,
            holder or placed.call.program_id,
            placement.source.description.worker,
            placed.worker.description.worker,
            hashes,
        )

    def _transfer_answered(self, event: TransferCompleted, now: float) -> list[PoolAction]:
        placed = self._placed.get(event.call_id)
        if placed is None or placed.dispatched_at_seconds is not None:
            return []
        if event.done and placed.copied_blocks:
            seconds = (now - placed.placed_at_seconds) / placed.copied_blocks
            self.estimates.transfer_block_seconds.observe(seconds)
        if not event.done:
            placed.expected_cached_tokens = 0
        return self._dispatch(placed, now)

    def _dispatch(self, placed: PlacedCall, now: float) -> list[PoolAction]:
        placed.dispatched_at_seconds = now
        call, worker = placed.call, placed.worker
        uncached = max(0, call.prompt_tokens - placed.expected_cached_tokens)
        work = uncached * (PREFILL_TOKEN_SECONDS + PREFILL_SHARE_SECONDS)
        worker.prefill_until_seconds = max(now, worker.prefill_until_seconds) + work
        worker.index.use(call.prefix_hashes, call.program_id, now)
        dispatch = Dispatch(
            call.call_id,
            worker.description.worker,
            call.class_rank,
            placed.expected_cached_tokens,
            now - placed.arrived_at_seconds,
            placed.reason,
        )
        return [dispatch, *self._release_elsewhere(placed)]

    def _release_elsewhere(self, placed: PlacedCall) -> list[PoolAction]:
        """Free what other workers hold of a program that now runs here: it will not go back."""
        program = self._programs.get(placed.call.program_id)
        if program is None or not self.policy.features.release_moved:
            return []
        here = placed.worker.description.worker
        others = [w for w in program.workers if w != here and w in self._workers]
        return [self._release(worker, program) for worker in others]
