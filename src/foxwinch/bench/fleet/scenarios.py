"""What happens to the fleet, scenario by scenario."""

import random
from collections.abc import Callable, Iterable

from foxwinch.bench.fleet.measures import Figures, Stretch
from foxwinch.bench.fleet.node import HollowNode
from foxwinch.bench.fleet.world import DAY_SECONDS, FleetWorld

WARM_UP_SPREAD_SECONDS = 30.0
WARM_UP_LIMIT_SECONDS = 600.0
SETTLE_SECONDS = 40.0
"""After the start, for shards to move to their best owners."""
STEADY_SECONDS = 60.0
MACHINE_FAILURES_PER_DAY = 85
RESTARTS_PER_DAY = 1_500
DESIGN_NODES = 570
"""The day's failures are those of a fleet of this size; a smaller one has its part of them."""
DAY_COMPRESSED_SECONDS = 60.0
DOWN_SECONDS = 20.0
"""From a node's end to the start of the next one at its place."""
OUTAGE_SECONDS = 30.0
RECOVERY_SECONDS = 40.0
HOUR_SECONDS = 3_600.0
CUT_SECONDS = 90.0
STORE_DOWN_SECONDS = 600.0
STORE_DOWN_SHORT_SECONDS = 60.0
SMALL_FLEET = 40
"""Up to so many nodes an hour of virtual time is affordable."""
ROLLING_PERIOD_SECONDS = 0.15
"""One node is replaced each period."""


def warm_up(world: FleetWorld) -> float:
    """Start everything; returns the virtual time until every view was whole."""
    world.fleet.start_all(WARM_UP_SPREAD_SECONDS)
    while world.simulator.now < WARM_UP_LIMIT_SECONDS:
        world.fleet.run(5.0)
        if world.fleet.converged() and _all_configured(world) and world.all_shards_served():
            break
    converged_at_seconds = world.simulator.now
    world.fleet.run(SETTLE_SECONDS)
    return converged_at_seconds


def steady(world: FleetWorld) -> Figures:
    """Nothing fails; operators change the configuration."""
    stretch = Stretch(world)
    world.change_regularly(STEADY_SECONDS)
    world.fleet.run(STEADY_SECONDS)
    return stretch.figures()


def day(world: FleetWorld) -> Figures:
    """An ordinary day's failures, compressed into minutes."""
    draw = random.Random(len(world.fleet.places))
    part = len(world.fleet.places) / DESIGN_NODES
    crashes = max(1, round(MACHINE_FAILURES_PER_DAY * part))
    restarts = round(RESTARTS_PER_DAY * part)
    stretch = Stretch(world)
    for index in range(crashes + restarts):
        planned = index >= crashes
        when = draw.random() * DAY_COMPRESSED_SECONDS
        world.simulator.after(when, lambda planned=planned: _fail_one(world, draw, planned))  # type: ignore[misc]
    world.change_regularly(DAY_COMPRESSED_SECONDS)
    world.fleet.run(DAY_COMPRESSED_SECONDS + RECOVERY_SECONDS)
    return stretch.figures()


def rack(world: FleetWorld) -> Figures:
    """All machines of one rack fail and come back."""
    victim = world.fleet.places[0].rack
    return _outage(world, [n for n in world.fleet.running() if n.place.rack == victim])


def zone(world: FleetWorld) -> Figures:
    """All machines of one zone fail and come back at once."""
    victim = world.fleet.places[0].zone
    return _outage(world, [n for n in world.fleet.running() if n.place.zone == victim])


def region_cut(world: FleetWorld) -> Figures:
    """One region is cut off while the configuration changes, and comes back."""
    seconds = HOUR_SECONDS if len(world.fleet.places) <= SMALL_FLEET else CUT_SECONDS
    victim = world.fleet.places[1].region
    stretch = Stretch(world)
    world.fleet.network.model.cut_regions.add(victim)
    world.fleet.run(seconds)
    world.fleet.network.model.cut_regions.clear()
    world.fleet.run(RECOVERY_SECONDS)
    figures = stretch.figures()
    assert world.fleet.converged(), "views are not whole after the cut"
    return figures


def store_down(world: FleetWorld) -> Figures:
    """The table service is down while nodes restart."""
    small = len(world.fleet.places) <= SMALL_FLEET
    seconds = STORE_DOWN_SECONDS if small else STORE_DOWN_SHORT_SECONDS
    draw = random.Random(5)
    stretch = Stretch(world)
    world.table.is_up = False
    for index in range(5):
        world.simulator.after(10.0 * (index + 1), lambda: _fail_one(world, draw, True))
    world.fleet.run(seconds)
    world.table.is_up = True
    world.fleet.run(RECOVERY_SECONDS / 2)
    assert _all_configured(world), "a node restarted without the store holds no configuration"
    return stretch.figures()


def rolling(world: FleetWorld) -> Figures:
    """Every node is replaced, one after another, as planned."""
    stretch = Stretch(world)
    nodes = list(world.fleet.running())
    for index, node in enumerate(nodes):
        world.simulator.after(
            ROLLING_PERIOD_SECONDS * index,
            lambda node=node: world.restart(node, True, 1.0),  # type: ignore[misc]
        )
    world.fleet.run(ROLLING_PERIOD_SECONDS * len(nodes) + RECOVERY_SECONDS / 2)
    return stretch.figures()


GROUPS = (("steady", "zone", "day"), ("rack", "region_cut"), ("store_down", "rolling"))
"""Scenarios that follow one another on the same fleet; each group starts a fleet of its own."""

SCENARIOS: dict[str, Callable[[FleetWorld], Figures]] = {
    "steady": steady,
    "day": day,
    "rack": rack,
    "zone": zone,
    "region_cut": region_cut,
    "store_down": store_down,
    "rolling": rolling,
}


def day_compression() -> float:
    """Return how many times faster than real the day's failures come."""
    return DAY_SECONDS / DAY_COMPRESSED_SECONDS


def _outage(world: FleetWorld, victims: Iterable[HollowNode]) -> Figures:
    stretch = Stretch(world)
    for node in list(victims):
        world.restart(node, False, OUTAGE_SECONDS)
    world.change_regularly(OUTAGE_SECONDS + RECOVERY_SECONDS)
    world.fleet.run(OUTAGE_SECONDS + RECOVERY_SECONDS)
    return stretch.figures()


def _fail_one(world: FleetWorld, draw: random.Random, planned: bool) -> None:
    world.restart(draw.choice(world.fleet.running()), planned, DOWN_SECONDS)


def _all_configured(world: FleetWorld) -> bool:
    return all(
        world.configurations[node.node].replica.held is not None for node in world.fleet.running()
    )
