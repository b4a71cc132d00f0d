"""Worker selection: the candidate with the lowest estimated cost serves a request."""

from collections.abc import Collection
from dataclasses import dataclass

from foxwinch.core.routing.affinity import preferred_worker
from foxwinch.core.routing.directory import Worker
from foxwinch.core.routing.load import LoadTable

OTHER_ZONE_COST = 0.04
"""Latency and traffic cost of a cross-zone call, as a fraction of the worker's slots."""
LAST_WORKER_GAIN = 0.25
"""Benefit of the cache at the worker of the last turn, as a fraction of the worker's slots."""
PREFERRED_GAIN = 0.2
"""Benefit of the program's cached history at its preferred worker, as a fraction of the worker's
slots."""
WAIT_COST_PER_SECOND = 2.0
"""Cost of the time to the start of a response, which reflects the load from other nodes."""
IDLE_WAIT_SECONDS = 0.06
"""Time within which a worker with free slots starts to respond."""
AVOIDED_COST = 10.0
"""Exceeds any load, so avoided workers are chosen last."""
COLD_COST = 0.3


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen worker and the figures behind the choice."""

    worker: Worker
    cost: float
    candidates: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class Wish:
    """Criteria of one request for the choice of its worker."""

    zone: str
    last_worker: str | None = None
    """Incarnation of the worker that served the last turn and may still hold its cache."""
    program: str | None = None
    """The program, if the call populates a cache; all nodes prefer the same worker for it."""
    excluded: Collection[str] = ()
    """Ids of the workers that this request has already been sent to."""


def choose(
    workers: list[Worker], loads: LoadTable, wish: Wish, now: float, random_number: float
) -> Choice | None:
    """Return the worker with the lowest cost, or None if there is no candidate.

    `random_number`, at least 0 and below 1, breaks ties so that nodes don't all make the same
    choice.
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
    """Return the cost of a worker, as a fraction of its slots."""
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
