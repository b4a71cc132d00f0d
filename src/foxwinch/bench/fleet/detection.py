"""Measure failure detection in one region under packet loss and pauses, in virtual time."""

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from foxwinch.bench.commit import current_commit
from foxwinch.bench.fleet.fleet import Fleet, FleetShape
from foxwinch.bench.fleet.network import NetworkModel
from foxwinch.bench.fleet.node import SimulatedNode
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.identifiers import NodeId

ZONES = 3
WARM_UP_SECONDS = 60.0
EVENT_PERIOD_SECONDS = 20.0
"""Period in which one node is paused, or killed and replaced."""
LOSSES = (0.0, 0.05, 0.2, 0.3)
PAUSES_SECONDS = (1.0, 2.0, 3.0, 5.0, 10.0)


@dataclass(frozen=True, slots=True)
class DetectionCase:
    """Datagram loss rate and the fault injected into one node per period."""

    nodes: int
    loss: float
    pause_seconds: float | None = None
    """Length of the pause; None kills and replaces the node instead."""


@dataclass(frozen=True, slots=True)
class DetectionFigures:
    """Results of one case."""

    nodes: int
    loss: float
    pause_seconds: float | None
    virtual_seconds: float
    events: int
    false_suspicions: int
    """Suspicions of nodes that were running and not paused."""
    false_deaths: int
    """Nodes declared dead that were running and not paused."""
    paused_declared_dead: int
    """Pauses after which at least one other node had declared the node dead."""
    detection_seconds_p50: float | None
    detection_seconds_p99: float | None
    """Time from the kill of a node until each other member declares it dead."""
    returned_seconds_max: float | None
    """Longest time from the end of a pause until no member considers the node dead."""


class _DetectionRecorder:
    """Records the state changes that members observe of each other."""

    def __init__(self, fleet: Fleet) -> None:
        self.false_suspicions = 0
        self.false_deaths: set[NodeId] = set()
        self.dead_while_paused: set[NodeId] = set()
        self.detection_seconds: list[float] = []
        self.ended_at_seconds: dict[NodeId, float] = {}
        self.paused: set[NodeId] = set()
        self.is_recording = False
        self._fleet = fleet
        fleet.on_start.append(self._attach)

    def _attach(self, node: SimulatedNode) -> None:
        node.on_member.append(lambda member: self._record_change(node, member))

    def _record_change(self, observer: SimulatedNode, member: Member) -> None:
        if not self.is_recording or member.node == observer.node:
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
    """Run one case for the given virtual time, rounded down to full event periods."""
    model = NetworkModel(loss=case.loss)
    fleet = Fleet(FleetShape(case.nodes, 1, ZONES), seed, model)
    recorder = _DetectionRecorder(fleet)
    fleet.start_all(10.0)
    fleet.run(WARM_UP_SECONDS)
    recorder.is_recording = True
    events = int(virtual_seconds / EVENT_PERIOD_SECONDS)
    dead_after_pause = 0
    returned: list[float] = []
    for index in range(events):
        node = fleet.nodes[fleet.locations[index * 7 % case.nodes].address]
        if case.pause_seconds is None:
            _replace(fleet, recorder, node)
        else:
            recovery_seconds = _pause(fleet, recorder, node, case.pause_seconds)
            dead_after_pause += node.node in recorder.dead_while_paused
            recorder.dead_while_paused.discard(node.node)
            returned += [recovery_seconds] if recovery_seconds is not None else []
    return DetectionFigures(
        **asdict(case),
        virtual_seconds=events * EVENT_PERIOD_SECONDS,
        events=events,
        false_suspicions=recorder.false_suspicions,
        false_deaths=len(recorder.false_deaths),
        paused_declared_dead=dead_after_pause,
        detection_seconds_p50=_round_milliseconds(percentile(recorder.detection_seconds, 0.5)),
        detection_seconds_p99=_round_milliseconds(percentile(recorder.detection_seconds, 0.99)),
        returned_seconds_max=_round_milliseconds(max(returned, default=None)),
    )


def run_detection(nodes: int, virtual_seconds: float, seed: int) -> dict[str, object]:
    """Run crashes at every loss rate, and every pause without loss and at 20% loss."""
    cases = [DetectionCase(nodes, loss) for loss in LOSSES]
    cases += [DetectionCase(nodes, loss, p) for loss in (0.0, 0.2) for p in PAUSES_SECONDS]
    figures = [asdict(run_case(case, virtual_seconds, seed)) for case in cases]
    command = f"foxwinch bench detection --nodes {nodes} --seconds {virtual_seconds:g}"
    command = f"{command} --seed {seed}"
    return {"command": command, "commit": current_commit(), "cases": figures}


def _replace(fleet: Fleet, recorder: _DetectionRecorder, node: SimulatedNode) -> None:
    recorder.ended_at_seconds[node.node] = fleet.simulator.now
    node.kill()
    fleet.run(EVENT_PERIOD_SECONDS * 0.75)
    fleet.start(node.location)
    fleet.run(EVENT_PERIOD_SECONDS * 0.25)


def _pause(
    fleet: Fleet, recorder: _DetectionRecorder, node: SimulatedNode, seconds: float
) -> float | None:
    """Pause a node; return the seconds from its resumption until no member considers it dead.

    None means that a member still considered it dead 1 s before the end of the event period.
    """
    recorder.paused.add(node.node)
    node.pause()
    fleet.run(seconds)
    node.resume()
    resumed_at_seconds = fleet.simulator.now
    recovery_seconds = None
    while fleet.simulator.now < resumed_at_seconds + EVENT_PERIOD_SECONDS - seconds - 1.0:
        fleet.run(0.25)
        if recovery_seconds is None and not _is_considered_dead(fleet, node):
            recovery_seconds = fleet.simulator.now - resumed_at_seconds
    recorder.paused.discard(node.node)
    fleet.run(1.0)
    return recovery_seconds


def _is_considered_dead(fleet: Fleet, node: SimulatedNode) -> bool:
    return any(
        member.node == node.node and member.state is MemberState.DEAD
        for other in fleet.running()
        for member in other.engine.members()
    )


def _round_milliseconds(value: float | None) -> float | None:
    return round(value, 3) if value is not None else None


def percentile(values: Sequence[float], fraction: float) -> float | None:
    """Return the nearest-rank percentile for a fraction of 0 to 1, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]
