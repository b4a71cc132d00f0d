"""Worker selection: the candidate with the lowest estimated cost serves a request."""

from collections.abc import Collection
from dataclasses import dataclass

from foxwinch.core.routing.affinity import preferred_worker
from foxwinch.core.routing.directory import Worker
from foxwinch.core.routing.load import LoadTable

OTHER_ZONE_COST = 0.04
"""Latency and traffic cost of a cross-zone call, as a fraction of the worker's slots."""
LAST_WORKER_DISCOUNT = 0.25
"""Benefit of the cache at the worker of the last turn, as a fraction of the worker's slots."""
PREFERRED_WORKER_DISCOUNT = 0.2
"""Benefit of the program's cached history at its preferred worker, as a fraction of the worker's
slots."""
WAIT_COST_PER_SECOND = 2.0
"""Cost of the time to the start of a response, which reflects the load from other nodes."""
IDLE_WAIT_SECONDS = 0.06
"""Time within which a worker with free slots starts to respond."""
AVOIDED_COST = 10.0
"""Exceeds any load, so avoided workers are chosen last."""
WARMUP_COST = 0.3
SHARED_COST = 1.0
"""Cost of a worker at which a request runs that workers have ended under: as much as if it were
full."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen worker and the figures behind the choice."""

    worker: Worker
    cost: float
    candidates: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """Criteria of one request for the choice of its worker."""

    zone: str
    last_worker: str | None = None
    """Incarnation of the worker that served the last turn and may still hold its cache."""
    program: str | None = None
    """The program, if the call populates a cache; all nodes prefer the same worker for it."""
    excluded: Collection[str] = ()
    """Ids of the workers that this request has already been sent to."""
    shared: Collection[str] = ()
    """Incarnations of workers at which requests run that workers have ended under."""


def choose_worker(
    workers: list[Worker],
    loads: LoadTable,
    criteria: SelectionCriteria,
    now: float,
    random_number: float,
) -> Choice | None:
    """Return the worker with the lowest cost, or None if there is no candidate.

    `random_number`, at least 0 and below 1, breaks ties so that nodes don't all make the same
    choice.
    """
    candidates = [worker for worker in workers if worker.worker_id not in criteria.excluded]
    if not candidates:
        return None
    start = int(random_number * len(candidates))
    rotated = candidates[start:] + candidates[:start]
    costs = {worker.worker_id: worker_cost(worker, loads, criteria, now) for worker in rotated}
    if criteria.program is not None:
        preferred = preferred_worker(criteria.program, criteria.zone, rotated)
        costs[preferred.worker_id] -= PREFERRED_WORKER_DISCOUNT
    best = min(rotated, key=lambda worker: costs[worker.worker_id])
    in_flight = loads.get_load(best.incarnation).in_flight
    return Choice(best, costs[best.worker_id], len(candidates), in_flight)


def worker_cost(worker: Worker, loads: LoadTable, criteria: SelectionCriteria, now: float) -> float:
    """Return the cost of a worker, as a fraction of its slots."""
    load = loads.get_load(worker.incarnation)
    cost = load.in_flight / max(1, worker.slots)
    if worker.zone != criteria.zone:
        cost += OTHER_ZONE_COST
    if worker.incarnation == criteria.last_worker:
        cost -= LAST_WORKER_DISCOUNT
    if worker.warmup_seconds > 0:
        cost += WARMUP_COST
    cost += WAIT_COST_PER_SECOND * max(0.0, load.expected_wait_seconds(now) - IDLE_WAIT_SECONDS)
    if worker.incarnation in criteria.shared:
        cost += SHARED_COST
    if load.is_avoided(now):
        cost += AVOIDED_COST
    return cost
