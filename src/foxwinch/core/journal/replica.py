"""One replica's share of one shard: what it has promised, accepted and holds.

A replica never looks at a clock. It refuses everything under an epoch lower than the highest it
has promised; that alone keeps a paused owner from committing after it was replaced.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from foxwinch.core.journal.configuration import Group
from foxwinch.core.journal.framing import Entry
from foxwinch.core.journal.log import JournalLog, Snapshot
from foxwinch.core.shard.epochs import NO_EPOCH, step_of, term_of
from foxwinch.identifiers import Epoch


class ReplicaStatus(IntEnum):
    """How a replica answered; the numbers are those of the peer schema."""

    ACCEPTED = 0
    FENCED = 1
    GAP = 2
    OTHER_NODE = 3
    FULL = 4


@dataclass(frozen=True, slots=True)
class ReplicaAnswer:
    """State of a replica after a request."""

    status: ReplicaStatus
    promised: Epoch
    accepted: Epoch
    first_index: int
    last_index: int
    last_chain: int


@dataclass(slots=True)
class ShardReplica:
    """State of one shard on one replica; an absent one equals a new one."""

    promised: Epoch = NO_EPOCH
    accepted: Epoch = NO_EPOCH
    """Epoch whose owner last synchronised the log; 0 while there is no log."""
    group: Group = ()
    log: JournalLog = field(default_factory=JournalLog)
    committed_index: int = 0
    """As told by the owner; a lower bound."""

    def answer(self, status: ReplicaStatus) -> ReplicaAnswer:
        """Return the state as an answer."""
        return ReplicaAnswer(
            status=status,
            promised=self.promised,
            accepted=self.accepted,
            first_index=self.log.snapshot.index,
            last_index=self.log.last_index,
            last_chain=self.log.last_chain,
        )

    def seal(self, epoch: Epoch) -> ReplicaAnswer:
        """Promise to refuse every lower epoch.

        The table gives a term to one node, which may seal again under it. A step is given out by
        the promises themselves, so each is promised once and only inside the term that this
        replica's log was synchronised under.
        """
        if step_of(epoch) == 0:
            granted = epoch >= self.promised
        else:
            granted = epoch > self.promised and term_of(epoch) == term_of(self.accepted)
        if not granted:
            return self.answer(ReplicaStatus.FENCED)
        self.promised = epoch
        return self.answer(ReplicaStatus.ACCEPTED)

    def install(
        self,
        epoch: Epoch,
        group: Group,
        keep: tuple[int, int] | None,
        snapshot: Snapshot | None,
        entries: Sequence[Entry],
    ) -> ReplicaAnswer:
        """Take over the log that the owner of `epoch` recovered.

        `keep` is an index and its chain up to which this replica's own log stays, or None when
        `snapshot` replaces it. Installing twice under one epoch changes nothing: what was
        appended after the first time must not be cut off by a late copy.
        """
        if epoch < self.promised:
            return self.answer(ReplicaStatus.FENCED)
        if self.accepted == epoch:
            return self.answer(ReplicaStatus.ACCEPTED)
        if keep is not None:
            if self.accepted == NO_EPOCH or self.log.chain_at(keep[0]) != keep[1]:
                return self.answer(ReplicaStatus.GAP)
            self.log.truncate(keep[0])
        else:
            self.log = JournalLog(snapshot or Snapshot())
        self.log.extend(entries)
        self.promised = epoch
        self.accepted = epoch
        self.group = group
        return self.answer(ReplicaStatus.ACCEPTED)

    def append(
        self, epoch: Epoch, previous_chain: int, entries: Sequence[Entry], committed_index: int
    ) -> ReplicaAnswer:
        """Add entries of the epoch's owner; what is held already is left as it is."""
        if epoch < self.promised:
            return self.answer(ReplicaStatus.FENCED)
        if epoch != self.accepted:
            return self.answer(ReplicaStatus.GAP)
        if entries and not self._joins(entries[0].index, previous_chain):
            return self.answer(ReplicaStatus.GAP)
        self.log.extend([entry for entry in entries if entry.index > self.log.last_index])
        self.committed_index = max(self.committed_index, committed_index)
        return self.answer(ReplicaStatus.ACCEPTED)

    def compact(self, epoch: Epoch, snapshot: Snapshot) -> ReplicaAnswer:
        """Replace the committed start of the log by the owner's snapshot."""
        if epoch < self.promised:
            return self.answer(ReplicaStatus.FENCED)
        if epoch != self.accepted:
            return self.answer(ReplicaStatus.GAP)
        if snapshot.index > self.log.last_index:
            # Under one epoch the replica's log is a prefix of the owner's: it may jump ahead.
            self.log = JournalLog(snapshot)
        elif snapshot.index > self.log.snapshot.index and not self.log.compact(snapshot):
            return self.answer(ReplicaStatus.GAP)
        return self.answer(ReplicaStatus.ACCEPTED)

    def retire(self, epoch: Epoch) -> ReplicaAnswer:
        """Forget the log: a configuration under `epoch` without this replica is active."""
        if epoch <= self.accepted:
            return self.answer(ReplicaStatus.FENCED)
        self.promised = max(self.promised, epoch)
        self.accepted = NO_EPOCH
        self.group = ()
        self.log = JournalLog()
        self.committed_index = 0
        return self.answer(ReplicaStatus.ACCEPTED)

    def _joins(self, first_index: int, previous_chain: int) -> bool:
        """Tell whether entries from `first_index` on follow on what is held."""
        if first_index > self.log.last_index + 1:
            return False
        held = self.log.chain_at(first_index - 1)
        return held is None or held == previous_chain
