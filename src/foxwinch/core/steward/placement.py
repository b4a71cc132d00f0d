"""Where a call runs: predicted wait, uncached prefill or transfer, and what it costs the others."""

from collections.abc import Iterable
from dataclasses import dataclass

from foxwinch.core.steward.calls import PoolCall
from foxwinch.core.steward.estimates import (
    PREFILL_TOKEN_SECONDS,
    SEQUENCE_SECONDS,
    Estimates,
)
from foxwinch.core.steward.policy import PolicySettings
from foxwinch.core.steward.workers import WorkerState
from foxwinch.identifiers import WorkerId

SMALLEST_TRANSFER_BLOCKS = 2
"""Fewer blocks are not worth the round trip of an export and an import."""
SHORTEST_WAIT_SECONDS = 0.1
"""A place predicted to be free by now but not free yet still takes a few steps."""
LONGEST_CACHE_WAIT_SECONDS = 2.0
"""A call that has waited so long takes any free place: predictions have failed it."""
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
    usable = [w for w in workers if _may_use(w, call)]
    if not usable:
        return None
    cached = {w.description.worker: w.index.cached_prefix(call.prefix_hashes) for w in usable}
    source = max(usable, key=lambda w: cached[w.description.worker])
    best: Placement | None = None
    for worker in usable:
        wait = _wait_seconds(worker, call, waited_seconds, now, policy, estimates)
        if wait is None:
            continue
        held = cached[worker.description.worker]
        found = _cheapest(worker, call, wait, held, source, cached, now, policy, estimates)
        if best is None or found.cost_seconds < best.cost_seconds:
            best = found
    return best


def private_blocks(call: PoolCall, worker: WorkerState, estimates: Estimates) -> int:
    """Return the blocks that the answer and the prompt's last, partial block will need."""
    size = worker.description.block_tokens
    answer = estimates.answer_tokens(call.class_name, call.output_tokens)
    rest = max(0, call.prompt_tokens - len(call.prefix_hashes) * size)
    return int((rest + answer) / size) + 1


def _may_use(worker: WorkerState, call: PoolCall) -> bool:
    description = worker.description
    return (
        not worker.leaving
        and call.model in description.models
        and description.worker not in call.excluded_workers
    )


def _wait_seconds(
    worker: WorkerState,
    call: PoolCall,
    waited_seconds: float,
    now: float,
    policy: PolicySettings,
    estimates: Estimates,
) -> float | None:
    """Return the predicted wait for a place: 0 when there is one, None when it may not wait."""
    features = policy.features
    urgent = call.class_rank == 0
    quiet = features.quiet_lane and worker.urgent > 0 and not urgent
    free = worker.free_slots > 0 and worker.fits(call, private_blocks(call, worker, estimates))
    if free and not quiet:
        return 0.0
    if urgent and features.preemption and worker.urgent < worker.description.slots:
        return 0.0
    if not features.wait_for_cache or waited_seconds > LONGEST_CACHE_WAIT_SECONDS:
        return None
    return max(SHORTEST_WAIT_SECONDS, worker.next_place_seconds(now))


def _cheapest(
    worker: WorkerState,
    call: PoolCall,
    wait: float,
    held: int,
    source: WorkerState,
    cached: dict[WorkerId, int],
    now: float,
    policy: PolicySettings,
    estimates: Estimates,
) -> Placement:
    """Return the cheaper of computing the missing prefix and copying it."""
    beside = len(worker.placed)
    answer = estimates.answer_tokens(call.class_name, call.output_tokens)
    others = 0.0 if call.class_rank == 0 else policy.others_weight * beside
    base = wait + answer * SEQUENCE_SECONDS * beside * (1.0 + policy.others_weight)
    if call.class_rank == 0:
        base += max(0.0, worker.prefill_until_seconds - now)
        base += PREEMPTION_SECONDS if worker.free_slots <= 0 else 0.0
    size = worker.description.block_tokens
    counted = held if policy.features.cache_placement else 0
    prefill = (call.prompt_tokens - counted * size) * PREFILL_TOKEN_SECONDS * (1.0 + others)
    computed = Placement(worker, base + prefill, wait, held)
    more = cached[source.description.worker] - held
    if not policy.features.transfers or more < SMALLEST_TRANSFER_BLOCKS:
        return computed
    transfer = more * estimates.transfer_block_seconds.value
    saved = more * size * PREFILL_TOKEN_SECONDS * (1.0 + others)
    if transfer >= saved * policy.transfer_margin:
        return computed
    cost = base + prefill - saved + transfer
    return Placement(worker, cost, wait, held + more, source, more)
