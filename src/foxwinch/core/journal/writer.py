"""The owner's side of a replicated journal: what each replica still needs, and what is committed.

A record is committed once a majority of the group, the owner included, holds it under the owner's
epoch. A replica counts only after it was given the recovered log under that epoch.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch.core.journal.configuration import Group
from foxwinch.core.journal.framing import Entry
from foxwinch.core.journal.log import Snapshot
from foxwinch.core.journal.replica import ReplicaAnswer, ReplicaStatus, ShardReplica
from foxwinch.core.shard.epochs import majority
from foxwinch.identifiers import Epoch, NodeId

MESSAGE_BYTES = 256 * 1024
"""Entries in one message; larger ones would hold up small ones on the same stream."""
WINDOW_MESSAGES = 4
"""Messages on their way to one replica at a time."""


@dataclass(frozen=True, slots=True)
class InstallMessage:
    """Give a replica the recovered log."""

    epoch: Epoch
    group: Group
    keep: tuple[int, int] | None
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class AppendMessage:
    """Give a replica the entries that follow."""

    epoch: Epoch
    first_index: int
    previous_chain: int
    entries: tuple[Entry, ...]
    committed_index: int


@dataclass(frozen=True, slots=True)
class CompactMessage:
    """Give a replica a snapshot in place of its oldest entries."""

    epoch: Epoch
    snapshot: Snapshot


WriterMessage = InstallMessage | AppendMessage | CompactMessage


@dataclass(slots=True)
class _Follower:
    installed: bool = False
    keep: tuple[int, int] | None = None
    held_index: int = 0
    """Known to be held under this epoch."""
    sent_index: int = 0
    snapshot_index: int = 0
    outstanding: int = 0


class ReplicatedWriter:
    """Appends to the owner's own replica and follows the others."""

    def __init__(self, epoch: Epoch, this: NodeId, group: Group, own: ShardReplica) -> None:
        """Start on `own`, which holds the recovered log under `epoch` already."""
        assert own.accepted == epoch, "the owner's replica must hold the log under its epoch"
        nodes = [member.node for member in group]
        assert this in nodes, "the owner is one of its replicas"
        self.epoch = epoch
        self.group = group
        self.fenced = False
        self._own = own
        self._followers = {node: _Follower() for node in nodes if node != this}
        self._committed_index = 0
        self._advance()

    @property
    def committed_index(self) -> int:
        """Index of the last committed record, 0 before the epoch is active."""
        return self._committed_index

    @property
    def active(self) -> bool:
        """Whether a majority holds the recovered log under this epoch; serving starts then."""
        return 1 + sum(f.installed for f in self._followers.values()) >= majority(len(self.group))

    @property
    def last_index(self) -> int:
        """Index of the last record, committed or not."""
        return self._own.log.last_index

    def lag_records(self) -> dict[NodeId, int]:
        """Return how many records each other replica lacks, as far as is known."""
        return {node: self.last_index - f.held_index for node, f in self._followers.items()}

    def hint(self, node: NodeId, answer: ReplicaAnswer) -> None:
        """Use a seal's answer: where the replica's log agrees with ours it may keep it."""
        follower = self._followers.get(node)
        if follower is None or follower.installed:
            return
        if answer.accepted and self._own.log.chain_at(answer.last_index) == answer.last_chain:
            follower.keep = (answer.last_index, answer.last_chain)

    def submit(self, payloads: Sequence[bytes]) -> int | None:
        """Append records and return the index of the last one, or None when fenced."""
        if self._is_fenced():
            return None
        self._own.log.append(payloads)
        self._advance()
        return self.last_index

    def next_message(self, node: NodeId) -> WriterMessage | None:
        """Return what to send to a replica next, or None while there is nothing or no room."""
        follower = self._followers[node]
        if self._is_fenced() or follower.outstanding >= WINDOW_MESSAGES:
            return None
        if not follower.installed:
            return self._install(follower)
        if follower.sent_index < self._own.log.snapshot.index:
            return self._compact(follower)
        return self._append(follower) or self._compact(follower)

    def on_answer(self, node: NodeId, message: WriterMessage, answer: ReplicaAnswer | None) -> None:
        """Take a replica's answer to a message; None when it was lost or the replica is away."""
        follower = self._followers[node]
        follower.outstanding -= 1
        if answer is None or answer.status in (ReplicaStatus.OTHER_NODE, ReplicaStatus.FULL):
            follower.sent_index = follower.held_index
            return
        if answer.status is ReplicaStatus.FENCED:
            self.fenced = self.fenced or answer.promised > self.epoch
            return
        if answer.status is ReplicaStatus.GAP:
            self._on_gap(follower, message)
            return
        if isinstance(message, InstallMessage):
            follower.installed = True
            follower.snapshot_index = answer.first_index
            follower.sent_index = max(follower.sent_index, answer.last_index)
        if isinstance(message, CompactMessage):
            follower.snapshot_index = max(follower.snapshot_index, message.snapshot.index)
        follower.held_index = max(follower.held_index, answer.last_index)
        follower.sent_index = max(follower.sent_index, follower.held_index)
        self._advance()

    def _on_gap(self, follower: _Follower, message: WriterMessage) -> None:
        if isinstance(message, InstallMessage):
            follower.keep = None
        follower.sent_index = follower.held_index

    def _install(self, follower: _Follower) -> WriterMessage | None:
        if follower.outstanding:
            return None
        follower.outstanding += 1
        log = self._own.log
        keep = follower.keep
        if keep is not None and log.chain_at(keep[0]) != keep[1]:
            keep = None
        if keep is not None:
            return InstallMessage(self.epoch, self.group, keep, None, log.after(keep[0]))
        entries = log.after(log.snapshot.index)
        return InstallMessage(self.epoch, self.group, None, log.snapshot, entries)

    def _append(self, follower: _Follower) -> WriterMessage | None:
        log = self._own.log
        entries = log.after(follower.sent_index, MESSAGE_BYTES)
        if not entries:
            return None
        chain = log.chain_at(follower.sent_index)
        assert chain is not None
        message = AppendMessage(
            self.epoch, follower.sent_index + 1, chain, entries, self._committed_index
        )
        follower.outstanding += 1
        follower.sent_index = entries[-1].index
        return message

    def _compact(self, follower: _Follower) -> WriterMessage | None:
        snapshot = self._own.log.snapshot
        if snapshot.index <= follower.snapshot_index or follower.outstanding:
            return None
        follower.outstanding += 1
        return CompactMessage(self.epoch, snapshot)

    def _advance(self) -> None:
        """Move the commit index to what a majority holds; only once the epoch is active."""
        if not self.active:
            return
        held = [self.last_index]
        held += [f.held_index if f.installed else 0 for f in self._followers.values()]
        held.sort(reverse=True)
        candidate = held[majority(len(self.group)) - 1]
        self._committed_index = max(self._committed_index, candidate)
        self._own.committed_index = max(self._own.committed_index, self._committed_index)

    def _is_fenced(self) -> bool:
        self.fenced = self.fenced or self._own.promised > self.epoch
        return self.fenced
