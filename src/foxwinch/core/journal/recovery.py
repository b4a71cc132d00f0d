"""Recovery of a shard: which replicas must be sealed, and whose log is read.

A raise lists every configuration that may be active, oldest first. Each is sealed on enough of its
replicas to meet every majority of it. The newest one that any sealed replica has accepted is the
base; the sealed replica with the highest accepted epoch and the longest log holds every record
that was ever committed.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch.core.journal.configuration import CommitPlace, Configuration, GroupMember
from foxwinch.core.journal.replica import ReplicaAnswer, ReplicaStatus
from foxwinch.core.shard.epochs import majority, seal_quorum, step_of
from foxwinch.identifiers import Epoch, NodeId


@dataclass(frozen=True, slots=True)
class SealPending:
    """Too few replicas have answered."""


@dataclass(frozen=True, slots=True)
class SealRefused:
    """A replica has promised a higher epoch."""

    promised: Epoch


@dataclass(frozen=True, slots=True)
class ReadReplica:
    """Every committed record is in the log of `node`."""

    node: NodeId
    answer: ReplicaAnswer
    loss_possible: bool
    """More replicas than the bound allows have ended; records may be lost."""


@dataclass(frozen=True, slots=True)
class ReadTable:
    """Every committed record is in the table."""

    loss_possible: bool


SealVerdict = SealPending | SealRefused | ReadReplica | ReadTable


class SealRound:
    """Collects the answers to one seal."""

    def __init__(self, epoch: Epoch, configurations: Sequence[Configuration]) -> None:
        """Seal `configurations`, oldest first, under `epoch`."""
        self.epoch = epoch
        self._configurations = tuple(configurations)
        self._sealed: dict[NodeId, ReplicaAnswer] = {}
        self._gone: set[NodeId] = set()
        self._refused: Epoch | None = None

    @property
    def answers(self) -> dict[NodeId, ReplicaAnswer]:
        """Answers of the sealed replicas."""
        return dict(self._sealed)

    def members(self) -> tuple[GroupMember, ...]:
        """Return every replica to ask, each once."""
        asked: dict[NodeId, GroupMember] = {}
        for position, configuration in enumerate(self._configurations):
            if not self._needs_no_seal(position):
                asked.update((member.node, member) for member in configuration.group)
        return tuple(asked.values())

    def on_answer(self, node: NodeId, answer: ReplicaAnswer) -> None:
        """Take the answer of a replica."""
        if answer.status is ReplicaStatus.ACCEPTED:
            self._sealed[node] = answer
        elif answer.status is ReplicaStatus.OTHER_NODE:
            self._gone.add(node)
        elif answer.status is ReplicaStatus.FENCED:
            self._refused = max(self._refused or answer.promised, answer.promised)

    def verdict(self) -> SealVerdict:
        """Decide on what has been answered so far.

        A refusal alone decides nothing: replicas that missed the term refuse a step, while the
        others may be enough.
        """
        loss_possible = False
        for position in range(len(self._configurations) - 1, -1, -1):
            configuration = self._configurations[position]
            if self._needs_no_seal(position):
                if position == 0:
                    return ReadTable(loss_possible)
                continue
            sealed = [self._sealed[node] for node in configuration.nodes() if node in self._sealed]
            if len(sealed) < self._quorum(configuration):
                if not self._all_others_gone(configuration):
                    return self._unfinished()
                loss_possible = True
            active = any(answer.accepted >= configuration.epoch for answer in sealed)
            if active or position == 0:
                return self._best(configuration, loss_possible)
        raise AssertionError("a shard has at least one configuration")

    def _needs_no_seal(self, position: int) -> bool:
        """Tell whether the compare-and-set of the row has sealed the configuration already."""
        return self._configurations[position].place is CommitPlace.TABLE

    def _quorum(self, configuration: Configuration) -> int:
        members = len(configuration.group)
        return majority(members) if step_of(self.epoch) else seal_quorum(members)

    def _all_others_gone(self, configuration: Configuration) -> bool:
        if step_of(self.epoch):
            return False
        return all(node in self._sealed or node in self._gone for node in configuration.nodes())

    def _unfinished(self) -> SealPending | SealRefused:
        return SealPending() if self._refused is None else SealRefused(self._refused)

    def _best(self, configuration: Configuration, loss_possible: bool) -> ReadReplica | ReadTable:
        sealed = {n: self._sealed[n] for n in configuration.nodes() if n in self._sealed}
        if not sealed:
            return ReadTable(loss_possible)
        node = max(sealed, key=lambda n: (sealed[n].accepted, sealed[n].last_index, n))
        return ReadReplica(node, sealed[node], loss_possible)
