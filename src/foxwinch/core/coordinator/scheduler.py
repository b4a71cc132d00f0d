"""Scheduler of one worker pool, free of I/O and with exact knowledge of the calls it dispatched.

Pass each event with the current time to `handle` and execute the returned actions in order:

    scheduler = PoolScheduler(policy_for(configuration.objective))
    actions = scheduler.handle(WorkerJoined(WorkerDescription(...)), now)
    actions = scheduler.handle(CallArrived(call), now)   # [Dispatch(...)] or []
    actions = scheduler.handle(CallFinished(...), now)   # [Dispatch(...)] of a waiting call or []

`now` must be monotonic. The scheduler has no timer: call `handle(Tick(), now)` about once per
second so that calls waiting for a preferred worker can fall back to another one. Every call gets
exactly one `Dispatch` or `RefuseCall` unless it is withdrawn first. `ReleaseCache` is repeated
after each `ReleaseCompleted(done=False)` until it succeeds or the worker leaves.
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
from foxwinch.core.coordinator.admission import check_admission
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
"""Share of the fixed step time per prefilled token: 18 ms over 256 tokens."""

NON_FREEING_EVENTS = (CacheChanged, ProgramPaused, ProgramEnded, ReleaseCompleted, LoadReported)
"""Events that cannot make a slot available to a waiting call."""


class PoolScheduler:
    """State machine that schedules the calls of one pool."""

    def __init__(self, policy: PolicySettings) -> None:
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
            ReleaseCompleted: self._release_completed,
            TransferCompleted: self._transfer_completed,
            CacheChanged: self._cache_changed,
            WorkerJoined: self._worker_joined,
            WorkerLeaving: self._worker_leaving,
            WorkerLeft: self._worker_left,
            LoadReported: self._load_reported,
            PolicyChanged: self._policy_changed,
            Tick: self._tick,
        }

    def handle(self, event: PoolEvent, now: float) -> list[PoolAction]:
        """Process an event and return the resulting actions in order."""
        actions = self._handlers[type(event)](event, now)
        if len(self._waiting) > 0 and not isinstance(event, NON_FREEING_EVENTS):
            actions += self._place_waiting(now)
        return actions

    @property
    def waiting_calls(self) -> int:
        """Number of queued calls."""
        return len(self._waiting)

    def placed_calls(self, worker: WorkerId) -> tuple[CallId, ...]:
        """Return the calls that occupy a slot on a worker."""
        state = self._workers.get(worker)
        return tuple(state.placed) if state else ()

    def explain(self, call_id: CallId) -> str:
        """Return why a call waits or why it was placed on its worker, or "" if it is unknown."""
        placed = self._placed.get(call_id)
        if placed is not None:
            return placed.reason
        for position, waiting in enumerate(self._waiting):
            if waiting.call.call_id == call_id:
                return f"waits for a slot; {position} calls are ahead of it"
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
        program = self._programs.get_or_create(call.program_id)
        program.hashes = call.prefix_hashes
        tree = self._programs.get_or_create(call.tree)
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
        """Return the sort key of a call, which experiments may override."""
        return order_key(self.policy, call, now, tree.step_began_at_seconds, expected_seconds)

    def _admit(self, call: PoolCall, now: float) -> RefuseCall | None:
        known = self._programs.get(call.tree) is not None or call.service_seconds > 0
        if known or not self.policy.features.admission:
            return None
        wait = self.predicted_wait_seconds(call.class_rank)
        refused = check_admission(self.policy, call, self._lowest_rank, wait, now)
        return RefuseCall(call.call_id, refused) if refused else None

    def predicted_wait_seconds(self, class_rank: int) -> float:
        """Return the predicted wait of a new call behind calls of the same or higher urgency."""
        slots = sum(w.description.slots for w in self._workers.values() if not w.leaving)
        return self._waiting.expected_seconds(class_rank) / max(slots, 1)

    def _call_withdrawn(self, event: CallWithdrawn, now: float) -> list[PoolAction]:
        waiting = self._waiting.remove(event.call_id)
        if waiting is not None:
            self._end_tree_call(waiting.call)
            return []
        return self._free_slot(event.call_id)

    def _call_finished(self, event: CallFinished, now: float) -> list[PoolAction]:
        placed = self._placed.get(event.call_id)
        if placed is None:
            return []
        call = placed.call
        dispatched_at = placed.dispatched_at_seconds or placed.placed_at_seconds
        uncached = event.prompt_tokens - event.cached_tokens
        self.estimates.observe_answer(call.class_name, event.completion_tokens)
        self.estimates.observe_call(now - dispatched_at, uncached, event.completion_tokens)
        placed.worker.index.use(call.prefix_hashes, call.program_id, now)
        return self._free_slot(event.call_id)

    def _call_failed(self, event: CallFailed, now: float) -> list[PoolAction]:
        return self._free_slot(event.call_id)

    def _free_slot(self, call_id: CallId) -> list[PoolAction]:
        """Free the slot of a call and release its cache again if its program has ended."""
        placed = self._placed.pop(call_id, None)
        if placed is None:
            return []
        placed.worker.remove_call(placed)
        self._end_tree_call(placed.call)
        program_id = placed.call.program_id
        has_ended = self._programs.get(program_id) is None
        worker = placed.worker.description.worker
        if has_ended and self.policy.features.release_ended and worker in self._workers:
            return [ReleaseCache(worker, program_id)]
        return []

    def _end_tree_call(self, call: PoolCall) -> None:
        tree = self._programs.get(call.tree)
        if tree is not None:
            tree.active_calls = max(0, tree.active_calls - 1)

    # --- programs ----------------------------------------------------------------------------

    def _program_paused(self, event: ProgramPaused, now: float) -> list[PoolAction]:
        """Keep the cache, because measurements showed no gain from dropping it in long pauses."""
        return []

    def _program_ended(self, event: ProgramEnded, now: float) -> list[PoolAction]:
        program = self._programs.forget(event.program_id)
        if program is None or not self.policy.features.release_ended:
            return []
        held = [worker for worker in program.workers if worker in self._workers]
        return [self._release(worker, program) for worker in held]

    def _release(self, worker: WorkerId, program: ProgramState) -> ReleaseCache:
        program.workers.pop(worker, None)
        self._workers[worker].index.remove_program(program.hashes, program.program_id)
        return ReleaseCache(worker, program.program_id)

    def _release_completed(self, event: ReleaseCompleted, now: float) -> list[PoolAction]:
        is_active = self._programs.get(event.program_id) is not None
        if event.done or is_active or event.worker not in self._workers:
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
            self._free_slot(call_id)
        return []

    def _load_reported(self, event: LoadReported, now: float) -> list[PoolAction]:
        """Ignore the lagging report, because the dispatched calls are known exactly."""
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

    def _tick(self, event: Tick, now: float) -> list[PoolAction]:
        return []

    # --- placement ---------------------------------------------------------------------------

    def _place_waiting(self, now: float) -> list[PoolAction]:
        """Assign slots to waiting calls in order, examining at most `scan_limit` calls."""
        actions: list[PoolAction] = []
        for waiting in self._waiting.first(self.policy.scan_limit):
            if not self._may_have_slot(waiting):
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

    def _may_have_slot(self, waiting: WaitingCall) -> bool:
        if waiting.call.class_rank == 0 and self.policy.features.preemption:
            return True
        return any(w.free_slots > 0 and not w.leaving for w in self._workers.values())

    def _place(self, waiting: WaitingCall, placement: Placement, now: float) -> list[PoolAction]:
        call, worker = waiting.call, placement.worker
        self._waiting.remove(call.call_id)
        cached = placement.cached_blocks * worker.description.block_tokens
        uncached = max(0, call.prompt_tokens - cached)
        seconds = self.estimates.call_seconds(call.class_name, uncached, call.output_tokens)
        expected_answer_tokens = self.estimates.answer_tokens(call.class_name, call.output_tokens)
        placed = PlacedCall(
            call=call,
            worker=worker,
            placed_at_seconds=now,
            arrived_at_seconds=waiting.arrived_at_seconds,
            expected_cached_tokens=cached,
            expected_end_seconds=now + seconds,
            private_blocks=private_blocks(
                call, worker.description.block_tokens, expected_answer_tokens
            ),
            reason=placement_reason(waiting, placement, cached, now),
            copied_blocks=placement.copied_blocks,
        )
        self._placed[call.call_id] = placed
        worker.add_call(placed)
        program = self._programs.get(call.program_id)
        if program is not None:
            program.workers[worker.description.worker] = None
        if placement.source is not None:
            return [self._copy_prefix(placed, placement)]
        return self._dispatch(placed, now)

    def _copy_prefix(self, placed: PlacedCall, placement: Placement) -> PoolAction:
        assert placement.source is not None
        hashes = placed.call.prefix_hashes[: placement.cached_blocks]
        source_program_id = placement.source.index.last_program(hashes[-1])
        return CopyPrefix(
            placed.call.call_id,
            source_program_id or placed.call.program_id,
            placement.source.description.worker,
            placed.worker.description.worker,
            hashes,
        )

    def _transfer_completed(self, event: TransferCompleted, now: float) -> list[PoolAction]:
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
        prefill_seconds = uncached * (PREFILL_TOKEN_SECONDS + PREFILL_SHARE_SECONDS)
        worker.prefill_until_seconds = max(now, worker.prefill_until_seconds) + prefill_seconds
        worker.index.use(call.prefix_hashes, call.program_id, now)
        dispatch = Dispatch(
            call.call_id,
            worker.description.worker,
            call.class_rank,
            placed.expected_cached_tokens,
            now - placed.arrived_at_seconds,
            placed.reason,
        )
        return [dispatch, *self._release_previous_workers(placed)]

    def _release_previous_workers(self, placed: PlacedCall) -> list[PoolAction]:
        """Release the cache of a program on its previous workers, where it will not run again."""
        program = self._programs.get(placed.call.program_id)
        if program is None or not self.policy.features.release_moved:
            return []
        current = placed.worker.description.worker
        previous = [w for w in program.workers if w != current and w in self._workers]
        return [self._release(worker, program) for worker in previous]
