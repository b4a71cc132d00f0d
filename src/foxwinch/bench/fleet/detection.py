"""How failure detection holds up under loss and pauses: one region on virtual time."""

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from foxwinch.bench.commit import current_commit
from foxwinch.bench.fleet.fleet import Fleet, FleetShape
from foxwinch.bench.fleet.network import NetworkModel
from foxwinch.bench.fleet.node import HollowNode
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.identifiers import NodeId

ZONES = 3
WARM_UP_SECONDS = 60.0
EVENT_PERIOD_SECONDS = 20.0
"""One node is paused, or killed and replaced, in each period."""
LOSSES = (0.0, 0.05, 0.2, 0.3)
PAUSES_SECONDS = (1.0, 2.0, 3.0, 5.0, 10.0)


@dataclass(frozen=True, slots=True)
class DetectionCase:
    """Loss of datagrams, and what happens to one node in each period."""

    nodes: int
    loss: float
    pause_seconds: float | None = None
    """None: the node is killed and replaced instead."""


@dataclass(frozen=True, slots=True)
class DetectionFigures:
    """What was seen in one case."""

    nodes: int
    loss: float
    pause_seconds: float | None
    virtual_seconds: float
    events: int
    false_suspicions: int
    """Suspicions of nodes that ran and were not paused."""
    false_deaths: int
    """Nodes declared dead that ran and were not paused."""
    paused_declared_dead: int
    """Pauses after which the node had been declared dead by at least one other."""
    detection_seconds_p50: float | None
    detection_seconds_p99: float | None
    """From a node's end to its death at each other member."""
    returned_seconds_max: float | None
    """From the end of a pause until no member held the node for dead."""


class _Watch:
    """Counts what the members say of one another."""

    def __init__(self, fleet: Fleet) -> None:
        self.false_suspicions = 0
        self.false_deaths: set[NodeId] = set()
        self.dead_while_paused: set[NodeId] = set()
        self.detection_seconds: list[float] = []
        self.ended_at_seconds: dict[NodeId, float] = {}
        self.paused: set[NodeId] = set()
        self.counting = False
        self._fleet = fleet
        fleet.on_start.append(self._attach)

    def _attach(self, node: HollowNode) -> None:
        node.on_member.append(lambda member: self._changed(node, member))

    def _changed(self, observer: HollowNode, member: Member) -> None:
        if not self.counting or member.node == observer.node:
            return
        ended = self.ended_at_seconds.get(member.node)
        if ended is not None:
            if member.state is MemberState.DEAD and observer.started_at_seconds < ended:
                self.detection_seconds.append(self._fleet.simulator.now - ended)
        elif member.node in self.paused:
            if member.state is MemberState.DEAD:
                self.dead_while_paused.add(member.node)
        elif observer.ticking and member.state is MemberState.SUSPECT:
            self.false_suspicions += 1
        elif observer.ticking and member.state is MemberState.DEAD:
            self.false_deaths.add(member.node)


def run_case(case: DetectionCase, virtual_seconds: float, seed: int) -> DetectionFigures:
    """Run one case."""
    model = NetworkModel(loss=case.loss)
    fleet = Fleet(FleetShape(case.nodes, 1, ZONES), seed, model)
    watch = _Watch(fleet)
    fleet.start_all(10.0)
    fleet.run(WARM_UP_SECONDS)
    watch.counting = True
    events = int(virtual_seconds / EVENT_PERIOD_SECONDS)
    dead_after_pause = 0
    returned: list[float] = []
    for index in range(events):
        node = fleet.nodes[fleet.places[index * 7 % case.nodes].address]
        if case.pause_seconds is None:
            _replace(fleet, watch, node)
        else:
            took = _pause(fleet, watch, node, case.pause_seconds)
            dead_after_pause += node.node in watch.dead_while_paused
            watch.dead_while_paused.discard(node.node)
            returned += [took] if took is not None else []
    return DetectionFigures(
        **asdict(case),
        virtual_seconds=events * EVENT_PERIOD_SECONDS,
        events=events,
        false_suspicions=watch.false_suspicions,
        false_deaths=len(watch.false_deaths),
        paused_declared_dead=dead_after_pause,
        detection_seconds_p50=_rounded(percentile(watch.detection_seconds, 0.5)),
        detection_seconds_p99=_rounded(percentile(watch.detection_seconds, 0.99)),
        returned_seconds_max=_rounded(max(returned, default=None)),
    )


def run_detection(nodes: int, virtual_seconds: float, seed: int) -> dict[str, object]:
    """Run every loss with crashes and every pause without loss and at 20%."""
    cases = [DetectionCase(nodes, loss) for loss in LOSSES]
    cases += [DetectionCase(nodes, loss, p) for loss in (0.0, 0.2) for p in PAUSES_SECONDS]
    figures = [asdict(run_case(case, virtual_seconds, seed)) for case in cases]
    command = f"foxwinch bench detection --nodes {nodes} --seconds {virtual_seconds:g}"
    command = f"{command} --seed {seed}"
    return {"command": command, "commit": current_commit(), "cases": figures}


def _replace(fleet: Fleet, watch: _Watch, node: HollowNode) -> None:
    watch.ended_at_seconds[node.node] = fleet.simulator.now
    node.kill()
    fleet.run(EVENT_PERIOD_SECONDS * 0.75)
    fleet.start(node.place)
    fleet.run(EVENT_PERIOD_SECONDS * 0.25)


def _pause(fleet: Fleet, watch: _Watch, node: HollowNode, seconds: float) -> float | None:
    """Pause a node; returns how long it took until nobody held it for dead any more."""
    watch.paused.add(node.node)
    node.pause()
    fleet.run(seconds)
    node.resume()
    woke = fleet.simulator.now
    took = None
    while fleet.simulator.now < woke + EVENT_PERIOD_SECONDS - seconds - 1.0:
        fleet.run(0.25)
        if took is None and not _held_for_dead(fleet, node):
            took = fleet.simulator.now - woke
    watch.paused.discard(node.node)
    fleet.run(1.0)
    return took


def _held_for_dead(fleet: Fleet, node: HollowNode) -> bool:
    return any(
        member.node == node.node and member.state is MemberState.DEAD
        for other in fleet.running()
        for member in other.engine.members()
    )


def _rounded(value: float | None) -> float | None:
    return round(value, 3) if value is not None else None


def percentile(values: Sequence[float], fraction: float) -> float | None:
    """Return the value below which that fraction lies (nearest rank); None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]
