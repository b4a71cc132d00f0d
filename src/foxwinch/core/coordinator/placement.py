"""Placement of calls by predicted cost: wait, uncached prefill or transfer, and delay to others."""

from collections.abc import Iterable
from dataclasses import dataclass

from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.estimates import (
    PREFILL_TOKEN_SECONDS,
    SEQUENCE_SECONDS,
    Estimates,
)
from foxwinch.core.coordinator.policy import PolicySettings
from foxwinch.core.coordinator.workers import WorkerState

MIN_TRANSFER_BLOCKS = 2
"""Minimum size of a transfer; fewer blocks do not justify the export and import round trip."""
MIN_WAIT_SECONDS = 0.1
"""Lower bound of a predicted wait: a slot whose call is overdue is still busy for a few steps."""
PREEMPTION_SECONDS = 0.05
"""Cost of a preemption: two steps until the batch changes."""


@dataclass(frozen=True, slots=True)
class Placement:
    """A worker for a call, with the predictions for it."""

    worker: WorkerState
    cost_seconds: float
    wait_seconds: float
    """Predicted wait, which is 0 if a slot is available now."""
    cached_blocks: int
    """Leading blocks that will be cached at the start, including copied blocks."""
    source: WorkerState | None = None
    """Worker to copy blocks from, or None for no transfer."""
    copied_blocks: int = 0


def choose_worker(
    workers: Iterable[WorkerState],
    call: PoolCall,
    waited_seconds: float,
    now: float,
    policy: PolicySettings,
    estimates: Estimates,
) -> Placement | None:
    """Return the placement with the lowest predicted cost, or None if no worker is available."""
    eligible = [worker for worker in workers if _is_eligible(worker, call)]
    if not eligible:
        return None
    choice = _CostModel(call, waited_seconds, now, policy, estimates, eligible)
    best: WorkerState | None = None
    best_cost = best_wait = 0.0
    for worker in eligible:
        wait = choice.wait_seconds(worker)
        if wait is None:
            continue
        cost = wait + choice.cost_seconds(worker)
        if best is None or cost < best_cost:
            best, best_cost, best_wait = worker, cost, wait
    if best is None:
        return None
    return choice.placement(best, best_cost, best_wait)


def private_blocks(call: PoolCall, block_tokens: int, answer_tokens: float) -> int:
    """Return the number of blocks for the answer and the last, partial block of the prompt."""
    partial_tokens = max(0, call.prompt_tokens - len(call.prefix_hashes) * block_tokens)
    return int((partial_tokens + answer_tokens) / block_tokens) + 1


def _is_eligible(worker: WorkerState, call: PoolCall) -> bool:
    description = worker.description
    return (
        not worker.leaving
        and call.model in description.models
        and description.worker not in call.excluded_workers
    )


class _CostModel:
    """Values shared by all workers while placing one call."""

    def __init__(
        self,
        call: PoolCall,
        waited_seconds: float,
        now: float,
        policy: PolicySettings,
        estimates: Estimates,
        eligible: list[WorkerState],
    ) -> None:
        self._call = call
        self._now = now
        self._policy = policy
        self._features = policy.features
        self._urgent = call.class_rank == 0
        self._answer_tokens = estimates.answer_tokens(call.class_name, call.output_tokens)
        self._block_copy_seconds = estimates.transfer_block_seconds.value
        self._cached = [worker.index.cached_prefix(call.prefix_hashes) for worker in eligible]
        self._cached_blocks = dict(
            zip((w.description.worker for w in eligible), self._cached, strict=True)
        )
        self._source = eligible[max(range(len(eligible)), key=self._cached.__getitem__)]
        self._source_blocks = max(self._cached)
        self._may_wait = (
            self._features.wait_for_cache and waited_seconds <= policy.longest_cache_wait_seconds
        )

    def wait_seconds(self, worker: WorkerState) -> float | None:
        """Return the predicted wait (0 if a slot is free), or None if the call may not wait."""
        if worker.free_slots > 0 and not self._delays_urgent_calls(worker) and self._fits(worker):
            return 0.0
        if (
            self._urgent
            and self._features.preemption
            and worker.urgent_calls < worker.description.slots
        ):
            return 0.0
        if not self._may_wait:
            return None
        return max(MIN_WAIT_SECONDS, worker.next_slot_seconds(self._now))

    def _delays_urgent_calls(self, worker: WorkerState) -> bool:
        """Return whether the call would slow down urgent calls on the worker."""
        if self._urgent or worker.urgent_calls == 0 or not self._features.quiet_lane:
            return False
        if len(worker.placed) >= self._policy.quiet_slots_share * worker.description.slots:
            return True
        cached = self._cached_blocks[worker.description.worker] * worker.description.block_tokens
        too_long = self._call.prompt_tokens - cached > self._policy.quiet_prefill_tokens
        return too_long or worker.prefill_until_seconds > self._now

    def _fits(self, worker: WorkerState) -> bool:
        size = worker.description.block_tokens
        return worker.fits(self._call, private_blocks(self._call, size, self._answer_tokens))

    def cost_seconds(self, worker: WorkerState) -> float:
        """Return the predicted cost of running on the worker, excluding the wait."""
        other_calls = len(worker.placed)
        weight = self._policy.others_weight
        cost = self._answer_tokens * SEQUENCE_SECONDS * other_calls * (1.0 + weight)
        if self._urgent:
            cost += max(0.0, worker.prefill_until_seconds - self._now)
            cost += PREEMPTION_SECONDS if worker.free_slots <= 0 else 0.0
            cost += self._policy.new_lane_seconds if worker.urgent_calls == 0 else 0.0
        cached = (
            self._cached_blocks[worker.description.worker] if self._features.cache_placement else 0
        )
        uncached_tokens = self._call.prompt_tokens - cached * worker.description.block_tokens
        prefill = uncached_tokens * self._prefill_seconds(worker)
        return cost + prefill - self._transfer_gain_seconds(worker)

    def _prefill_seconds(self, worker: WorkerState) -> float:
        """Return the cost of one prompt token, including the delay of other calls on the worker."""
        delay_factor = 0.0 if self._urgent else self._policy.others_weight * len(worker.placed)
        return PREFILL_TOKEN_SECONDS * (1.0 + delay_factor)

    def _transfer_gain_seconds(self, worker: WorkerState) -> float:
        """Return the time saved by copying the missing prefix, or 0 if computing it is cheaper."""
        copied = self._source_blocks - self._cached_blocks[worker.description.worker]
        if not self._features.transfers or copied < MIN_TRANSFER_BLOCKS:
            return 0.0
        saved = copied * worker.description.block_tokens * self._prefill_seconds(worker)
        transfer = copied * self._block_copy_seconds
        return saved - transfer if transfer < saved * self._policy.transfer_margin else 0.0

    def placement(self, worker: WorkerState, cost: float, wait: float) -> Placement:
        """Return the placement on `worker`."""
        cached = self._cached_blocks[worker.description.worker]
        if self._transfer_gain_seconds(worker) <= 0.0:
            return Placement(worker, cost, wait, cached)
        copied = self._source_blocks - cached
        return Placement(worker, cost, wait, cached + copied, self._source, copied)
