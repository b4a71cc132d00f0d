"""Choice of the worker for one request: the one where it is expected to be served best."""

from collections.abc import Collection
from dataclasses import dataclass

from foxwinch.core.routing.directory import Worker
from foxwinch.core.routing.load import LoadTable

OTHER_ZONE_COST = 0.04
"""Of a worker's slots: a call into another zone costs a little way and bytes."""
LAST_WORKER_GAIN = 0.25
"""Of a worker's slots: what the cache of the line's last worker is worth."""
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
    """The worker that served the line's last turn and may still hold its cache."""
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
    best = min(turned, key=lambda worker: cost_of(worker, loads, wish, now))
    load = loads.of(best.worker_id)
    cost = cost_of(best, loads, wish, now)
    return Choice(best, cost, len(candidates), load.in_flight)


def cost_of(worker: Worker, loads: LoadTable, wish: Wish, now: float) -> float:
    """Return the cost of a worker, in parts of its slots."""
    load = loads.of(worker.worker_id)
    cost = load.in_flight / max(1, worker.slots)
    if worker.zone != wish.zone:
        cost += OTHER_ZONE_COST
    if worker.worker_id == wish.last_worker:
        cost -= LAST_WORKER_GAIN
    if worker.cold_seconds > 0:
        cost += COLD_COST
    if load.avoided(now):
        cost += AVOIDED_COST
    return cost
