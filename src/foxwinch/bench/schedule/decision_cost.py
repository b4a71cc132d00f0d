"""Measure the time of scheduling decisions by queue length and number of workers."""

import time
from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch.core.coordinator.actions import Dispatch
from foxwinch.core.coordinator.calls import PoolCall, WorkerDescription
from foxwinch.core.coordinator.events import CallArrived, CallFinished, WorkerJoined
from foxwinch.core.coordinator.policy import Features, policy_for
from foxwinch.core.coordinator.scheduler import PoolScheduler
from foxwinch.identifiers import CallId, ClassName, ModelName, ProgramId, TenantName, WorkerId

QUEUE_LENGTHS = (0, 10, 100, 1_000, 10_000)
WORKER_COUNTS = (4, 9, 18, 36)
DECISIONS = 200
SLOTS_PER_WORKER = 16
PROMPT_BLOCKS = 40
MODEL = ModelName("model")


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Mean time to handle one arriving call and one finished call."""

    workers: int
    queued: int
    arrival_microseconds: float
    finish_microseconds: float


def measure_decisions(
    worker_counts: Sequence[int] = WORKER_COUNTS, queue_lengths: Sequence[int] = QUEUE_LENGTHS
) -> list[DecisionCost]:
    """Measure every combination of queue length and number of workers."""
    return [_measure(workers, queued) for workers in worker_counts for queued in queue_lengths]


def _measure(workers: int, queued: int) -> DecisionCost:
    scheduler = PoolScheduler(policy_for("latency", Features(admission=False)))
    for index in range(workers):
        description = WorkerDescription(
            WorkerId(f"w{index}"), (MODEL,), SLOTS_PER_WORKER, 1 << 20, 64
        )
        scheduler.handle(WorkerJoined(description), 0.0)
    running: list[CallId] = []
    number = 0
    now = 0.0
    while scheduler.waiting_calls < queued or (
        queued == 0 and number < workers * SLOTS_PER_WORKER // 2
    ):
        number += 1
        running += _dispatched_calls(scheduler, CallArrived(_call(number)), now)
    arrival = finish = 0.0
    for _ in range(DECISIONS):
        now += 0.001
        number += 1
        started_at = time.perf_counter()
        dispatched = _dispatched_calls(scheduler, CallArrived(_call(number)), now)
        arrival += time.perf_counter() - started_at
        running += dispatched
        ended = CallFinished(running.pop(0), 2600, 0, 100)
        started_at = time.perf_counter()
        dispatched = _dispatched_calls(scheduler, ended, now)
        finish += time.perf_counter() - started_at
        running += dispatched
    scale = 1e6 / DECISIONS
    return DecisionCost(workers, queued, arrival * scale, finish * scale)


def _dispatched_calls(
    scheduler: PoolScheduler, event: CallArrived | CallFinished, now: float
) -> list[CallId]:
    actions = scheduler.handle(event, now)
    return [action.call_id for action in actions if isinstance(action, Dispatch)]


def _call(number: int) -> PoolCall:
    first = number * 1_000
    return PoolCall(
        call_id=CallId(f"c{number}"),
        program_id=ProgramId(f"p{number}"),
        tenant=TenantName("tenant"),
        class_name=ClassName("class"),
        class_rank=1,
        model=MODEL,
        prompt_tokens=PROMPT_BLOCKS * 64 + 40,
        output_tokens=100,
        prefix_hashes=tuple(range(first, first + PROMPT_BLOCKS)),
        service_seconds=0.0,
        deadline_at_seconds=1e9,
    )
