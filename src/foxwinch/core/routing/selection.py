"""Choice of the worker for one request: the one where it is expected to be served best."""

from collections.abc import Collection
from dataclasses import dataclass

from foxwinch.core.routing.affinity import preferred_worker
from foxwinch.core.routing.directory import Worker
from foxwinch.core.routing.load import LoadTable

OTHER_ZONE_COST = 0.04
"""Of a worker's slots: a call into another zone costs a little way and bytes."""
LAST_WORKER_GAIN = 0.25
"""Of a worker's slots: what the cache of the line's last worker is worth."""
PREFERRED_GAIN = 0.2
"""Of a worker's slots: what the cache of the program's history is worth, where it mostly lies."""
WAIT_COST_PER_SECOND = 2.0
"""What the time until a worker begins to answer costs: it tells of calls of other nodes."""
IDLE_WAIT_SECONDS = 0.06
"""Within which a worker with free slots begins to answer."""
AVOIDED_COST = 10.0
"""More than any load: avoided workers come last."""
COLD_COST = 0.3


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen worker and what decided."""

    worker: Worker
    cost: float
    candidates: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class Wish:
    """What a request asks of the choice."""

    zone: str
    last_worker: str | None = None
    """Incarnation of the worker that served the conversation's last turn; it may hold the cache."""
    program: str | None = None
    """The program, where the call leaves a cache behind: all nodes prefer one worker for it."""
    excluded: Collection[str] = ()
    """Workers that this request has been offered to."""


def choose(
    workers: list[Worker], loads: LoadTable, wish: Wish, now: float, random_number: float
) -> Choice | None:
    """Return the cheapest worker; None when all are excluded or there is none.

    `random_number` is from 0 up to 1 and breaks ties, so that nodes do not all choose alike.
    """
    candidates = [worker for worker in workers if worker.worker_id not in wish.excluded]
    if not candidates:
        return None
    start = int(random_number * len(candidates))
    turned = candidates[start:] + candidates[:start]
    costs = {worker.worker_id: cost_of(worker, loads, wish, now) for worker in turned}
    if wish.program is not None:
        preferred = preferred_worker(wish.program, wish.zone, turned)
        costs[preferred.worker_id] -= PREFERRED_GAIN
    best = min(turned, key=lambda worker: costs[worker.worker_id])
    in_flight = loads.of(best.incarnation).in_flight
    return Choice(best, costs[best.worker_id], len(candidates), in_flight)


def cost_of(worker: Worker, loads: LoadTable, wish: Wish, now: float) -> float:
    """Return the cost of a worker, in parts of its slots."""
    load = loads.of(worker.incarnation)
    cost = load.in_flight / max(1, worker.slots)
    if worker.zone != wish.zone:
        cost += OTHER_ZONE_COST
    if worker.incarnation == wish.last_worker:
        cost -= LAST_WORKER_GAIN
    if worker.warmup_seconds > 0:
        cost += COLD_COST
    cost += WAIT_COST_PER_SECOND * max(0.0, load.expected_wait_seconds(now) - IDLE_WAIT_SECONDS)
    if load.avoided(now):
        cost += AVOIDED_COST
    return cost
