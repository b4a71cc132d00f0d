"""SWIM failure detection: direct probes, indirect probes and suspicion.

A node declares a member dead only after its own probes have failed. A suspicion received from
another node does not count, so a refutation needs to reach only the node that raised it.
"""

from dataclasses import dataclass

from foxwinch.core.membership.member import Member
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.core.membership.seeded_random import SeededRandom
from foxwinch.core.membership.table import MemberTable
from foxwinch.identifiers import NodeId


@dataclass(frozen=True, slots=True)
class ProbeMember:
    """Probe a member directly and through the helpers, under one sequence number."""

    target: Member
    sequence: int
    helpers: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SuspectMember:
    """A member has not responded to its probes; the gossiped suspicion lets it refute this."""

    target: Member


@dataclass(frozen=True, slots=True)
class DeclareDead:
    """A suspected member has not responded within the suspicion timeout."""

    target: Member


DetectorAction = ProbeMember | SuspectMember | DeclareDead


@dataclass(slots=True)
class _Probe:
    target: NodeId
    sent_at_seconds: float
    repeated: bool = False


@dataclass(slots=True)
class _Suspicion:
    declare_dead_at_seconds: float
    probe_at_seconds: float


class FailureDetector:
    """Probes the present members of a table in random round-robin order."""

    def __init__(
        self, table: MemberTable, rng: SeededRandom, parameters: MembershipParameters
    ) -> None:
        self._table = table
        self._rng = rng
        self._parameters = parameters
        self._probe_order: list[NodeId] = []
        self._probes: dict[int, _Probe] = {}
        self._suspicions: dict[NodeId, _Suspicion] = {}
        self._sequence = 0
        self._next_probe_at_seconds = 0.0

    def tick(self, now: float, may_probe: bool) -> list[DetectorAction]:
        """Expire unacknowledged probes and start those that are due.

        No probe of another member starts while `may_probe` is False (byte budget exhausted).
        """
        actions = self._check_suspicions(now)
        actions += self._check_probes(now)
        at_suspicion_limit = len(self._suspicions) >= self._parameters.max_suspicions
        if may_probe and not at_suspicion_limit and now >= self._next_probe_at_seconds:
            actions += self._probe_next(now)
        return actions

    def record_response(self, sequence: int) -> NodeId | None:
        """Record a response and return the probed node, or None if the probe is not pending."""
        probe = self._probes.get(sequence)
        if probe is None:
            return None
        self.record_contact(probe.target)
        return probe.target

    def record_contact(self, node: NodeId) -> None:
        """Drop pending probes and suspicion of a node from which a datagram arrived."""
        self._suspicions.pop(node, None)
        if self._probes:
            for sequence in [s for s, p in self._probes.items() if p.target == node]:
                del self._probes[sequence]

    def discard_evidence(self, now: float) -> None:
        """Discard failure evidence after a pause, in which responses may have been missed."""
        self._probes.clear()
        for suspicion in self._suspicions.values():
            suspicion.declare_dead_at_seconds = now + self._parameters.suspicion_seconds
            suspicion.probe_at_seconds = now

    def _check_probes(self, now: float) -> list[DetectorAction]:
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

    def _check_suspicions(self, now: float) -> list[DetectorAction]:
        actions: list[DetectorAction] = []
        for node, suspicion in list(self._suspicions.items()):
            target = self._table.get(node)
            if target is None or not target.is_present:
                del self._suspicions[node]
            elif now >= suspicion.declare_dead_at_seconds:
                del self._suspicions[node]
                actions.append(DeclareDead(target))
            elif now >= suspicion.probe_at_seconds:
                suspicion.probe_at_seconds = now + self._parameters.reprobe_seconds
                helpers = self._helpers(target, self._parameters.reprobe_helpers)
                actions.append(self._probe(target, now, helpers))
        return actions

    def _probe_next(self, now: float) -> list[DetectorAction]:
        """Probe the next member, at a shorter interval while any member is suspected."""
        has_suspicions = bool(self._suspicions)
        period = (
            self._parameters.tick_seconds
            if has_suspicions
            else self._parameters.probe_period_seconds
        )
        self._next_probe_at_seconds = now + period
        target = self._next_target()
        return [self._probe(target, now, ())] if target is not None else []

    def _next_target(self) -> Member | None:
        for _ in range(2):
            while self._probe_order:
                target = self._table.get(self._probe_order.pop())
                if target is not None and target.is_present and not self._is_probed(target.node):
                    return target
            others = [member.node for member in self._table.present_others()]
            self._probe_order = self._rng.sample(others, len(others))
        return None

    def _is_probed(self, node: NodeId) -> bool:
        return node in self._suspicions or any(p.target == node for p in self._probes.values())

    def _probe(self, target: Member, now: float, helpers: tuple[Member, ...]) -> ProbeMember:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(target.node, now, repeated=bool(helpers))
        return ProbeMember(target, self._sequence, helpers)

    def _helpers(self, target: Member, count: int) -> tuple[Member, ...]:
        others = [m for m in self._table.present_others() if m.node != target.node]
        return tuple(self._rng.sample(others, count))
