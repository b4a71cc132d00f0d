"""Failure detection: probes, indirect probes, suspicion; a node is condemned on own evidence only.

A node that another one suspects is not condemned here for it: this node probes it in its turn.
So a refutation need not reach every member in time, only the one that suspects.
"""

from dataclasses import dataclass

from foxwinch.core.membership.draws import Draws
from foxwinch.core.membership.member import Member
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.core.membership.table import MemberTable
from foxwinch.identifiers import NodeId


@dataclass(frozen=True, slots=True)
class ProbeMember:
    """Probe a member, directly and through the helpers, under one sequence number."""

    target: Member
    sequence: int
    helpers: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SuspectMember:
    """A member did not answer any probe: others should know, above all the member itself."""

    target: Member


@dataclass(frozen=True, slots=True)
class DeclareDead:
    """A suspected member has not answered for the whole suspicion."""

    target: Member


DetectorAction = ProbeMember | SuspectMember | DeclareDead


@dataclass(slots=True)
class _Probe:
    target: NodeId
    sent_at_seconds: float
    repeated: bool = False


@dataclass(slots=True)
class _Suspicion:
    condemn_at_seconds: float
    probe_at_seconds: float


class FailureDetector:
    """Probes the present members of a table in turn."""

    def __init__(self, table: MemberTable, draws: Draws, parameters: MembershipParameters) -> None:
        """Start with the first probe at the first tick."""
        self._table = table
        self._draws = draws
        self._parameters = parameters
        self._turn: list[NodeId] = []
        self._probes: dict[int, _Probe] = {}
        self._suspicions: dict[NodeId, _Suspicion] = {}
        self._sequence = 0
        self._next_probe_at_seconds = 0.0

    def tick(self, now: float, may_probe: bool) -> list[DetectorAction]:
        """Judge probes without answer, and send those that are due.

        Without `may_probe` (the byte budget is used up) no probe of a further member starts.
        """
        actions = self._judge_suspicions(now)
        actions += self._judge_probes(now)
        crowded = len(self._suspicions) >= self._parameters.suspicions_at_once
        if may_probe and not crowded and now >= self._next_probe_at_seconds:
            actions += self._probe_next(now)
        return actions

    def answered(self, sequence: int) -> NodeId | None:
        """Take an answer; returns the node whose probe it answers, if it is still awaited."""
        probe = self._probes.get(sequence)
        if probe is None:
            return None
        self.heard_from(probe.target)
        return probe.target

    def heard_from(self, node: NodeId) -> None:
        """A sign of life from the node itself: drop the evidence against it."""
        self._suspicions.pop(node, None)
        if self._probes:
            for sequence in [s for s, p in self._probes.items() if p.target == node]:
                del self._probes[sequence]

    def void_evidence(self, now: float) -> None:
        """This process was paused: silence of others in that time says nothing."""
        self._probes.clear()
        for suspicion in self._suspicions.values():
            suspicion.condemn_at_seconds = now + self._parameters.suspicion_seconds
            suspicion.probe_at_seconds = now

    def _judge_probes(self, now: float) -> list[DetectorAction]:
        actions: list[DetectorAction] = []
        for sequence, probe in list(self._probes.items()):
            target = self._table.get(probe.target)
            age_seconds = now - probe.sent_at_seconds
            if target is None or not target.is_present:
                del self._probes[sequence]
            elif age_seconds >= self._parameters.probe_failed_seconds:
                del self._probes[sequence]
                actions += self._suspect(target, now)
            elif age_seconds >= self._parameters.probe_timeout_seconds and not probe.repeated:
                probe.repeated = True
                helpers = self._helpers(target, self._parameters.indirect_probes)
                actions.append(ProbeMember(target, sequence, helpers))
        return actions

    def _suspect(self, target: Member, now: float) -> list[DetectorAction]:
        if target.node in self._suspicions:
            return []
        self._suspicions[target.node] = _Suspicion(now + self._parameters.suspicion_seconds, now)
        return [SuspectMember(target)]

    def _judge_suspicions(self, now: float) -> list[DetectorAction]:
        actions: list[DetectorAction] = []
        for node, suspicion in list(self._suspicions.items()):
            target = self._table.get(node)
            if target is None or not target.is_present:
                del self._suspicions[node]
            elif now >= suspicion.condemn_at_seconds:
                del self._suspicions[node]
                actions.append(DeclareDead(target))
            elif now >= suspicion.probe_at_seconds:
                suspicion.probe_at_seconds = now + self._parameters.reprobe_seconds
                helpers = self._helpers(target, self._parameters.reprobe_helpers)
                actions.append(self._probe(target, now, helpers))
        return actions

    def _probe_next(self, now: float) -> list[DetectorAction]:
        """Probe the next member of the turn; quicker while something is wrong."""
        hurry = bool(self._suspicions)
        period = self._parameters.tick_seconds if hurry else self._parameters.probe_period_seconds
        self._next_probe_at_seconds = now + period
        target = self._next_target()
        return [self._probe(target, now, ())] if target is not None else []

    def _next_target(self) -> Member | None:
        for _ in range(2):
            while self._turn:
                target = self._table.get(self._turn.pop())
                if target is not None and target.is_present and not self._is_probed(target.node):
                    return target
            others = [member.node for member in self._table.present_others()]
            self._turn = self._draws.pick(others, len(others))
        return None

    def _is_probed(self, node: NodeId) -> bool:
        return node in self._suspicions or any(p.target == node for p in self._probes.values())

    def _probe(self, target: Member, now: float, helpers: tuple[Member, ...]) -> ProbeMember:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(target.node, now, repeated=bool(helpers))
        return ProbeMember(target, self._sequence, helpers)

    def _helpers(self, target: Member, count: int) -> tuple[Member, ...]:
        others = [m for m in self._table.present_others() if m.node != target.node]
        return tuple(self._draws.pick(others, count))
