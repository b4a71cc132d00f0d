"""Where a call runs: predicted wait, uncached prefill or transfer, and what it costs the others."""

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

SMALLEST_TRANSFER_BLOCKS = 2
"""Fewer blocks are not worth the round trip of an export and an import."""
MIN_WAIT_SECONDS = 0.1
"""A place predicted to be free by now but not free yet still takes a few steps."""
PREEMPTION_SECONDS = 0.05
"""Cost of preempting: two steps until the batch changes."""


@dataclass(frozen=True, slots=True)
class Placement:
    """A worker for a call and what was predicted of it."""

    worker: WorkerState
    cost_seconds: float
    wait_seconds: float
    """More than 0: no place yet."""
    cached_blocks: int
    """Leading blocks that will be cached when it starts, those copied included."""
    source: WorkerState | None = None
    """Worker to copy blocks from."""
    copied_blocks: int = 0


def choose_worker(
    workers: Iterable[WorkerState],
    call: PoolCall,
    waited_seconds: float,
    now: float,
    policy: PolicySettings,
    estimates: Estimates,
) -> Placement | None:
    """Return the placement of least predicted cost; None when no worker may take the call now."""
    usable = [worker for worker in workers if _may_use(worker, call)]
    if not usable:
        return None
    choice = _Choice(call, waited_seconds, now, policy, estimates, usable)
    best: WorkerState | None = None
    best_cost = best_wait = 0.0
    for worker in usable:
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
    """Return the blocks that the answer and the prompt's last, partial block will need."""
    rest = max(0, call.prompt_tokens - len(call.prefix_hashes) * block_tokens)
    return int((rest + answer_tokens) / block_tokens) + 1


def _may_use(worker: WorkerState, call: PoolCall) -> bool:
    description = worker.description
    return (
        not worker.leaving
        and call.model in description.models
        and description.worker not in call.excluded_workers
    )


class _Choice:
    """What the choice for one call has in common for all workers."""

    def __init__(
        self,
        call: PoolCall,
        waited_seconds: float,
        now: float,
        policy: PolicySettings,
        estimates: Estimates,
        usable: list[WorkerState],
    ) -> None:
        self._call = call
        self._now = now
        self._policy = policy
        self._features = policy.features
        self._urgent = call.class_rank == 0
        self._answer = estimates.answer_tokens(call.class_name, call.output_tokens)
        self._copy_seconds = estimates.transfer_block_seconds.value
        self._cached = [worker.index.cached_prefix(call.prefix_hashes) for worker in usable]
        self._held = dict(zip((w.description.worker for w in usable), self._cached, strict=True))
        self._source = usable[max(range(len(usable)), key=self._cached.__getitem__)]
        self._source_blocks = max(self._cached)
        self._may_wait = (
            self._features.wait_for_cache and waited_seconds <= policy.longest_cache_wait_seconds
        )

    def wait_seconds(self, worker: WorkerState) -> float | None:
        """Return the predicted wait for a place: 0 for a free one, None when it may not wait."""
        if worker.free_slots > 0 and not self._disturbs(worker) and self._fits(worker):
            return 0.0
        if self._urgent and self._features.preemption and worker.urgent < worker.description.slots:
            return 0.0
        if not self._may_wait:
            return None
        return max(MIN_WAIT_SECONDS, worker.next_place_seconds(self._now))

    def _disturbs(self, worker: WorkerState) -> bool:
        """Tell whether the call would slow urgent calls that run there."""
        if self._urgent or worker.urgent == 0 or not self._features.quiet_lane:
            return False
        if len(worker.placed) >= self._policy.quiet_slots_share * worker.description.slots:
            return True
        held = self._held[worker.description.worker] * worker.description.block_tokens
        too_long = self._call.prompt_tokens - held > self._policy.quiet_prefill_tokens
        return too_long or worker.prefill_until_seconds > self._now

    def _fits(self, worker: WorkerState) -> bool:
        size = worker.description.block_tokens
        return worker.fits(self._call, private_blocks(self._call, size, self._answer))

    def cost_seconds(self, worker: WorkerState) -> float:
        """Return the predicted cost of running there, the wait apart."""
        beside = len(worker.placed)
        weight = self._policy.others_weight
        cost = self._answer * SEQUENCE_SECONDS * beside * (1.0 + weight)
        if self._urgent:
            cost += max(0.0, worker.prefill_until_seconds - self._now)
            cost += PREEMPTION_SECONDS if worker.free_slots <= 0 else 0.0
            cost += self._policy.new_lane_seconds if worker.urgent == 0 else 0.0
        held = self._held[worker.description.worker] if self._features.cache_placement else 0
        missing = self._call.prompt_tokens - held * worker.description.block_tokens
        prefill = missing * self._prefill_seconds(worker)
        return cost + prefill - self._gain_of_copying(worker)

    def _prefill_seconds(self, worker: WorkerState) -> float:
        """Return the cost of one prompt token: its own time and the delay of the calls beside."""
        others = 0.0 if self._urgent else self._policy.others_weight * len(worker.placed)
        return PREFILL_TOKEN_SECONDS * (1.0 + others)

    def _gain_of_copying(self, worker: WorkerState) -> float:
        """Return what copying the missing prefix saves; 0 where computing it is cheaper."""
        more = self._source_blocks - self._held[worker.description.worker]
        if not self._features.transfers or more < SMALLEST_TRANSFER_BLOCKS:
            return 0.0
        saved = more * worker.description.block_tokens * self._prefill_seconds(worker)
        transfer = more * self._copy_seconds
        return saved - transfer if transfer < saved * self._policy.transfer_margin else 0.0

    def placement(self, worker: WorkerState, cost: float, wait: float) -> Placement:
        """Return the placement on the chosen worker."""
        held = self._held[worker.description.worker]
        if self._gain_of_copying(worker) <= 0.0:
            return Placement(worker, cost, wait, held)
        more = self._source_blocks - held
        return Placement(worker, cost, wait, held + more, self._source, more)
