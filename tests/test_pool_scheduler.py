"""Tests of the pool scheduler: invariants under random events and individual decisions."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxwinch.core.coordinator.actions import (
    CopyPrefix,
    Dispatch,
    RefuseCall,
    ReleaseCache,
    ResyncCache,
)
from foxwinch.core.coordinator.calls import PoolCall, WorkerDescription
from foxwinch.core.coordinator.events import (
    BlockChange,
    CacheChanged,
    CallArrived,
    CallFailed,
    CallFinished,
    CallWithdrawn,
    ProgramEnded,
    ReleaseCompleted,
    Tick,
    TransferCompleted,
    WorkerJoined,
    WorkerLeaving,
    WorkerLeft,
)
from foxwinch.core.coordinator.policy import policy_for
from foxwinch.core.coordinator.scheduler import PoolScheduler
from foxwinch.identifiers import CallId, ClassName, ModelName, ProgramId, TenantName, WorkerId
from foxwinch.outcomes import RunState

MODEL = ModelName("m")


def call(name: str, program: str | None = None, rank: int = 1, **more) -> PoolCall:
    values = {
        "prompt_tokens": 640,
        "output_tokens": 100,
        "prefix_hashes": (),
        "service_seconds": 0.0,
        "deadline_at_seconds": 1000.0,
    } | more
    return PoolCall(
        call_id=CallId(name),
        program_id=ProgramId(program or name),
        tenant=TenantName("t"),
        class_name=ClassName(f"class-{rank}"),
        class_rank=rank,
        model=MODEL,
        **values,
    )


def worker(name: str, slots: int = 2, blocks: int = 200) -> WorkerJoined:
    return WorkerJoined(WorkerDescription(WorkerId(name), (MODEL,), slots, blocks, 64))


def scheduler(*names: str, slots: int = 2) -> PoolScheduler:
    pool = PoolScheduler(policy_for("latency"))
    for name in names:
        pool.handle(worker(name, slots), 0.0)
    return pool


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


class PoolMachine(RuleBasedStateMachine):
    """Sends random events to a scheduler and checks its invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.pool = PoolScheduler(policy_for("latency"))
        self.count = 0
        self.asked: dict[str, PoolCall] = {}
        self.answered: set[str] = set()
        self.running: dict[str, str] = {}
        self.copying: set[str] = set()
        self.leaving: set[str] = set()
        self.joined: set[str] = set()

    def feed(self, event) -> None:
        self.now += 0.5
        for action in self.pool.handle(event, self.now):
            if isinstance(action, Dispatch):
                assert action.call_id in self.asked
                assert action.call_id not in self.answered, "dispatched twice"
                was_copying = action.call_id in self.copying
                assert was_copying or action.worker not in self.leaving
                assert action.worker in self.joined
                self.answered.add(action.call_id)
                self.copying.discard(action.call_id)
                self.running[action.call_id] = action.worker
            elif isinstance(action, RefuseCall):
                assert action.call_id not in self.answered
                assert action.refused.run_state is RunState.NOT_RUN
                assert action.refused.retry_after_seconds > 0
                self.answered.add(action.call_id)
                del self.asked[action.call_id]
            elif isinstance(action, CopyPrefix):
                assert action.source != action.target
                assert action.target not in self.leaving
                self.copying.add(action.call_id)

    def forget(self, name: str) -> None:
        self.running.pop(name, None)
        self.copying.discard(name)
        self.asked.pop(name, None)

    @rule(name=st.sampled_from("abc"))
    def join(self, name):
        self.joined.add(name)
        self.leaving.discard(name)
        self.feed(worker(name))

    @rule(name=st.sampled_from("abc"))
    def leave(self, name):
        if name in self.joined:
            self.leaving.add(name)
        self.feed(WorkerLeaving(WorkerId(name)))

    @rule(name=st.sampled_from("abc"))
    def lose(self, name):
        for held in self.pool.placed_calls(WorkerId(name)):
            self.forget(held)
        self.joined.discard(name)
        self.leaving.discard(name)
        self.feed(WorkerLeft(WorkerId(name)))

    @rule(program=st.integers(0, 5), rank=st.integers(0, 2), blocks=st.integers(0, 9))
    def arrive(self, program, rank, blocks):
        self.count += 1
        hashes = tuple(program * 100 + i for i in range(blocks))
        fresh = call(f"c{self.count}", f"p{program}", rank, prefix_hashes=hashes)
        self.asked[fresh.call_id] = fresh
        self.feed(CallArrived(fresh))
        self.feed(CallArrived(fresh))

    @rule(data=st.data(), failed=st.booleans())
    def end(self, data, failed):
        if self.running:
            name = CallId(data.draw(st.sampled_from(sorted(self.running))))
            self.forget(name)
            self.feed(CallFailed(name, False) if failed else CallFinished(name, 640, 0, 100))

    @rule(data=st.data())
    def withdraw(self, data):
        if self.asked:
            name = CallId(data.draw(st.sampled_from(sorted(self.asked))))
            self.forget(name)
            self.feed(CallWithdrawn(name))

    @rule(data=st.data(), done=st.booleans())
    def copied(self, data, done):
        if self.copying:
            self.feed(
                TransferCompleted(CallId(data.draw(st.sampled_from(sorted(self.copying)))), done)
            )

    @rule(program=st.integers(0, 5))
    def finish(self, program):
        self.feed(ProgramEnded(ProgramId(f"p{program}")))

    @rule(name=st.sampled_from("abc"), kind=st.sampled_from(["stored", "removed", "cleared"]))
    def cache(self, name, kind):
        self.feed(
            CacheChanged(WorkerId(name), (BlockChange(kind, (1, 100, 101)),), kind == "stored")
        )

    @invariant()
    def capacity_is_not_exceeded(self):
        for name in self.joined:
            held = self.pool.placed_calls(WorkerId(name))
            ordinary = [c for c in held if c in self.asked and self.asked[c].class_rank > 0]
            assert len(ordinary) <= 2

    @invariant()
    def no_call_is_lost(self):
        open_calls = len(self.asked) - len(self.running) - len(self.copying)
        assert self.pool.waiting_calls == open_calls


TestPoolInvariants = PoolMachine.TestCase
TestPoolInvariants.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_waiting_call_is_not_starved_by_new_calls() -> None:
    pool = scheduler("a", slots=1)
    policy = pool.policy
    bound = policy.class_step_seconds * 2
    pool.handle(CallArrived(call("running")), 0.0)
    old = call("old", rank=3, service_seconds=1e6, deadline_at_seconds=1e6)
    pool.handle(CallArrived(old), 0.0)
    now, index, running = 0.0, 0, "running"
    while running != "old":
        now += 1.0
        assert now < bound + 10.0
        index += 1
        pool.handle(CallArrived(call(f"new{index}", rank=1)), now)
        dispatched = of_kind(pool.handle(CallFinished(CallId(running), 640, 0, 1), now), Dispatch)
        running = dispatched[0].call_id


def test_cached_prefix_attracts_call_and_resync_corrects_lost_event() -> None:
    pool = scheduler("a", "b")
    hashes = tuple(range(100, 150))
    page = CacheChanged(WorkerId("b"), (BlockChange("stored", hashes),), gap=True)
    assert of_kind(pool.handle(page, 0.0), ResyncCache) == [ResyncCache(WorkerId("b"))]
    asked = call("x", prefix_hashes=hashes, prompt_tokens=3300)
    (dispatch,) = of_kind(pool.handle(CallArrived(asked), 1.0), Dispatch)
    assert dispatch.worker == "b"
    assert dispatch.expected_cached_tokens == 3200
    pool.handle(CallFinished(CallId("x"), 3300, 0, 10), 2.0)
    listed = (BlockChange("cleared", ()), BlockChange("stored", ()))
    pool.handle(CacheChanged(WorkerId("b"), listed, gap=False), 60.0)
    again = call("y", prefix_hashes=hashes, prompt_tokens=3300)
    (dispatch,) = of_kind(pool.handle(CallArrived(again), 61.0), Dispatch)
    assert dispatch.expected_cached_tokens == 0


def test_prefix_is_copied_if_its_worker_is_full() -> None:
    pool = scheduler("a", "b", slots=1)
    hashes = tuple(range(100, 150))
    pool.handle(CacheChanged(WorkerId("a"), (BlockChange("stored", hashes),), False), 0.0)
    first = call("x", prefix_hashes=hashes, prompt_tokens=3300)
    pool.handle(CallArrived(first), 1.0)
    second = call("y", prefix_hashes=hashes, prompt_tokens=3300)
    (move,) = of_kind(pool.handle(CallArrived(second), 1.0), CopyPrefix)
    assert (move.source, move.target) == ("a", "b")
    answered = pool.handle(TransferCompleted(CallId("y"), True), 1.5)
    assert of_kind(answered, Dispatch)[0].expected_cached_tokens == 3200


def test_cache_release_of_ended_program_is_retried_until_it_succeeds() -> None:
    pool = scheduler("a")
    pool.handle(CallArrived(call("x", "p")), 0.0)
    pool.handle(CallFinished(CallId("x"), 640, 0, 10), 1.0)
    release = [ReleaseCache(WorkerId("a"), ProgramId("p"))]
    assert pool.handle(ProgramEnded(ProgramId("p")), 2.0) == release
    failed = ReleaseCompleted(WorkerId("a"), ProgramId("p"), False)
    assert pool.handle(failed, 3.0) == release
    assert pool.handle(ReleaseCompleted(WorkerId("a"), ProgramId("p"), True), 4.0) == []


def test_cache_of_call_that_outlives_its_program_is_released() -> None:
    pool = scheduler("a")
    pool.handle(CallArrived(call("x", "p")), 0.0)
    pool.handle(ProgramEnded(ProgramId("p")), 1.0)
    late = pool.handle(CallFinished(CallId("x"), 640, 0, 10), 2.0)
    assert late == [ReleaseCache(WorkerId("a"), ProgramId("p"))]


def test_urgent_call_is_dispatched_to_full_worker() -> None:
    pool = scheduler("a", slots=1)
    pool.handle(CallArrived(call("x")), 0.0)
    (dispatch,) = of_kind(pool.handle(CallArrived(call("u", rank=0)), 0.1), Dispatch)
    assert dispatch.priority == 0


def test_overload_rejects_least_urgent_class_first() -> None:
    pool = scheduler("a", slots=1)
    refused: dict[int, int] = {}
    for index in range(60):
        for rank in (2, 1):
            asked = call(f"{rank}-{index}", rank=rank, deadline_at_seconds=60.0, output_tokens=200)
            if of_kind(pool.handle(CallArrived(asked), 0.0), RefuseCall):
                refused.setdefault(rank, index)
    assert refused[2] < refused.get(1, 60)
    known = call("again", "2-0", rank=2, deadline_at_seconds=60.0)
    assert not of_kind(pool.handle(CallArrived(known), 0.0), RefuseCall)


def test_waiting_call_falls_back_to_another_slot_over_time() -> None:
    pool = scheduler("a", "b", slots=1)
    pool.handle(CallArrived(call("x")), 0.0)
    pool.handle(WorkerLeaving(WorkerId("b")), 0.0)
    pool.handle(CallArrived(call("y")), 0.0)
    assert pool.waiting_calls == 1
    pool.handle(worker("b", 1), 1.0)
    pool.handle(Tick(), 9.0)
    assert pool.waiting_calls == 0
