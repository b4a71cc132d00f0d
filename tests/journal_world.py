"""A world of replicas, owners, a table and a hostile network around the pure journal cores.

It does what the drivers do and nothing cleverer; every message may wait, be lost or be doubled.
"""

from collections import deque
from dataclasses import dataclass, field

from foxwinch.core.journal.configuration import (
    CommitPlace,
    Configuration,
    GroupMember,
    ShardRecord,
)
from foxwinch.core.journal.log import JournalLog, Snapshot
from foxwinch.core.journal.recovery import ReadReplica, ReadTable, SealRefused, SealRound
from foxwinch.core.journal.replica import ReplicaStatus, ShardReplica
from foxwinch.core.journal.writer import (
    AppendMessage,
    CompactMessage,
    InstallMessage,
    ReplicatedWriter,
)
from foxwinch.core.shard.epochs import next_step, seal_quorum, term_of


@dataclass
class Raise:
    """One attempt to own the shard."""

    epoch: int
    group: tuple
    place: CommitPlace
    round: SealRound | None = None
    unsettled: str | None = None
    version: int = 0
    reading: bool = False


@dataclass
class Node:
    member: GroupMember
    replica: ShardReplica = field(default_factory=ShardReplica)
    attempt: Raise | None = None
    writer: ReplicatedWriter | None = None
    table_epoch: int | None = None
    """Epoch under which this node commits in the table."""
    table_log: JournalLog | None = None
    row_version: int = 0
    acknowledged: int = 0


@dataclass
class Message:
    source: str
    target: str
    kind: str
    body: object
    answer: object = None


class World:
    def __init__(self, slots=4, group_size=3):
        self.group_size = group_size
        self.lives = 0
        self.nodes: dict[str, Node] = {}
        self.slots = [self._new_life(slot) for slot in range(slots)]
        self.messages: list[Message] = []
        self.table_up = True
        self.record = ShardRecord()
        self.version = 0
        self.store = JournalLog()
        self.committed: dict[int, int] = {}
        self.payloads = 0
        self.highest_active = 0
        self.writes = 0
        self.sent: deque[Message] = deque(maxlen=60)
        self.open_writes: set[int] = set()

    def _new_life(self, slot):
        self.lives += 1
        name = f"n{slot}.{self.lives}"
        self.nodes[name] = Node(GroupMember(name, f"zone-{slot}", "127.0.0.1", 9000 + slot))
        return name

    # --- faults --------------------------------------------------------------------------

    def may_crash(self, slot):
        """The bound: every configuration that may be active keeps enough lives to be sealed."""
        dying = self.slots[slot]
        for configuration in self.record.configurations:
            if configuration.place is CommitPlace.TABLE:
                continue
            alive = [n for n in configuration.nodes() if n in self.slots and n != dying]
            if len(alive) < seal_quorum(len(configuration.group)):
                return False
        return True

    def crash(self, slot):
        dead = self.slots[slot]
        del self.nodes[dead]
        self.slots[slot] = self._new_life(slot)

    # --- raising -------------------------------------------------------------------------

    def raise_in_table(self, name, zones, lose_answer):
        node = self.nodes[name]
        if not self.table_up or node.attempt is not None:
            return
        others = [self.nodes[self.slots[z]].member for z in zones if self.slots[z] != name]
        group = (node.member, *others[: self.group_size - 1])
        place = CommitPlace.REPLICAS if len(group) > 1 else CommitPlace.TABLE
        claim = f"{name}-{self.version}"
        self.record = self.record.raised(node.member, group, place, claim)
        self.version += 1
        node.attempt = Raise(self.record.newest.epoch, group, place, unsettled=claim)
        if not lose_answer:
            self.settle(name)

    def settle(self, name):
        """Read back whether the raise took effect, and seal what may be active."""
        node = self.nodes[name]
        attempt = node.attempt
        if attempt is None or attempt.unsettled is None or not self.table_up:
            return
        if self.record.claim != attempt.unsettled:
            node.attempt = None
            return
        attempt.unsettled = None
        attempt.version = self.version
        attempt.round = SealRound(attempt.epoch, self.record.configurations[:-1])
        self._send_seals(name, attempt)

    def raise_on_replicas(self, name, floor=0):
        node = self.nodes[name]
        own = node.replica
        floor = max(own.promised, own.accepted, floor)
        if node.attempt is not None or not own.accepted or term_of(floor) != term_of(own.accepted):
            return
        epoch = next_step(floor)
        current = Configuration(own.accepted, node.member, own.group, CommitPlace.REPLICAS)
        node.attempt = Raise(epoch, own.group, CommitPlace.REPLICAS)
        node.attempt.round = SealRound(epoch, [current])
        self._send_seals(name, node.attempt)

    def _send_seals(self, name, attempt):
        for member in attempt.round.members():
            self.send(Message(name, member.node, "seal", attempt.epoch))
        self._decide(name)

    def _decide(self, name):
        node = self.nodes[name]
        attempt = node.attempt
        if attempt is None or attempt.round is None or attempt.reading:
            return
        verdict = self._first_verdict(attempt)
        if isinstance(verdict, SealRefused):
            node.attempt = None
        elif isinstance(verdict, ReadTable):
            self._start(name, self.store.copy())
        elif isinstance(verdict, ReadReplica):
            assert not verdict.loss_possible
            attempt.reading = True
            self.send(Message(name, verdict.node, "read", attempt.epoch))

    def _first_verdict(self, attempt):
        if not attempt.round._configurations:
            return ReadTable(False)
        return attempt.round.verdict()

    def _start(self, name, log):
        node = self.nodes[name]
        attempt = node.attempt
        node.attempt = None
        node.writer = None
        node.table_epoch = None
        if attempt.epoch > self.highest_active:
            # A slower attempt than one that is active already reads less, and is fenced.
            self.check_recovered(log)
        if attempt.place is CommitPlace.TABLE:
            self._activate_in_table(node, attempt, log)
            return
        keep = None
        answer = node.replica.install(
            attempt.epoch, attempt.group, keep, log.snapshot, log.after(log.snapshot.index)
        )
        if answer.status is not ReplicaStatus.ACCEPTED:
            return
        node.writer = ReplicatedWriter(attempt.epoch, name, attempt.group, node.replica)
        for other, sealed in attempt.round.answers.items():
            node.writer.hint(other, sealed)

    def _activate_in_table(self, node, attempt, log):
        if not self.table_up or self.version != attempt.version:
            return
        self._store(log, log.last_index)
        self.record = self.record.activated()
        self.version += 1
        node.table_epoch = attempt.epoch
        node.table_log = log
        node.row_version = self.version
        self._commit_oracle(log, log.last_index)

    # --- owners --------------------------------------------------------------------------

    def append(self, name):
        node = self.nodes[name]
        self.payloads += 1
        payload = [f"record-{self.payloads}".encode()]
        if node.writer is not None and node.writer.active:
            node.writer.submit(payload)
            self._learn_commits(node)
        elif node.table_epoch is not None and self.table_up and node.attempt is None:
            if node.row_version != self.version:
                node.table_epoch = None
                return
            node.table_log.append(payload)
            self._store(node.table_log, node.table_log.last_index)
            self.version += 1
            node.row_version = self.version
            self._commit_oracle(node.table_log, node.table_log.last_index)

    def transmit(self, name, target):
        writer = self.nodes[name].writer
        if writer is None or target not in writer._followers:
            return
        message = writer.next_message(target)
        if message is not None:
            self.writes += 1
            self.open_writes.add(self.writes)
            self.send(Message(name, target, "write", (writer, message, self.writes)))

    def flush(self, name):
        """Store what is committed; the owner of the newest term also settles the row."""
        node = self.nodes[name]
        writer = node.writer
        if writer is None or not writer.active or not self.table_up:
            return
        log = node.replica.log
        if node.replica.accepted != writer.epoch or log.snapshot.index > self.record.stored_index:
            return
        if writer.committed_index > self.record.stored_index:
            assert log.chain_at(self.record.stored_index) == self.record.stored_chain
            self._store(log, writer.committed_index)
        former = self.record
        if self.record.newest.epoch == writer.epoch:
            self.record = self.record.activated()
        self.version += 1
        for configuration in former.configurations[:-1]:
            if self.record.configurations != former.configurations:
                for old in set(configuration.nodes()) - set(self.record.newest.nodes()):
                    self.send(Message(name, old, "retire", writer.epoch))

    def compact(self, name):
        node = self.nodes[name]
        writer = node.writer
        if writer is None or not writer.active or node.replica.accepted != writer.epoch:
            return
        index = min(writer.committed_index, self.record.stored_index)
        chain = node.replica.log.chain_at(index)
        if chain is not None and index:
            snapshot = Snapshot(index, chain, (f"state-{index}".encode(),))
            node.replica.compact(writer.epoch, snapshot)

    def _store(self, log, index):
        self.store.extend([e for e in log.after(self.store.last_index) if e.index <= index])
        self.record = self.record.stored(self.store.last_index, self.store.last_chain)

    # --- network -------------------------------------------------------------------------

    def send(self, message):
        if message.source == message.target:
            self._serve(message)
        else:
            self.messages.append(message)
            self.sent.append(message)

    def replay(self, position):
        """Deliver a copy of a message that was sent long ago."""
        if self.sent:
            self._serve(self.sent[position % len(self.sent)])

    def deliver(self, position, keep_copy=False):
        message = self.messages[position] if keep_copy else self.messages.pop(position)
        if message.answer is not None:
            self._take_answer(message)
        else:
            self._serve(message)

    def lose(self, position):
        message = self.messages.pop(position)
        if message.kind == "write":
            self._answer_write(message, None)
        elif message.kind in ("seal", "read") and message.source in self.nodes:
            attempt = self.nodes[message.source].attempt
            if attempt is not None and attempt.epoch == message.body:
                self.nodes[message.source].attempt = None

    def _serve(self, message):
        node = self.nodes.get(message.target)
        if node is None:
            return
        replica = node.replica
        if message.kind == "seal":
            answer = replica.seal(message.body)
        elif message.kind == "read":
            held = replica.promised == message.body
            answer = (replica.answer(ReplicaStatus.ACCEPTED), replica.log.copy()) if held else ()
        elif message.kind == "retire":
            replica.retire(message.body)
            return
        else:
            answer = self._write(replica, message.body[1])
        back = Message(message.source, message.target, message.kind, message.body, answer)
        if message.source == message.target:
            self._take_answer(back)
        else:
            self.messages.append(back)

    def _write(self, replica, body):
        if isinstance(body, InstallMessage):
            return replica.install(body.epoch, body.group, body.keep, body.snapshot, body.entries)
        if isinstance(body, CompactMessage):
            return replica.compact(body.epoch, body.snapshot)
        assert isinstance(body, AppendMessage)
        return replica.append(body.epoch, body.previous_chain, body.entries, body.committed_index)

    def _take_answer(self, message):
        node = self.nodes.get(message.source)
        if node is None:
            return
        if message.kind == "write":
            self._answer_write(message, message.answer)
            self._learn_commits(node)
            return
        attempt = node.attempt
        if attempt is None or attempt.epoch != message.body or attempt.round is None:
            return
        if message.kind == "seal":
            attempt.round.on_answer(message.target, message.answer)
            self._decide(message.source)
        elif not message.answer:
            node.attempt = None
        else:
            self._start(message.source, message.answer[1])

    def _answer_write(self, message, answer):
        """A request is answered once: later copies of its answer are not seen by the caller."""
        writer, body, number = message.body
        if message.source in self.nodes and number in self.open_writes:
            self.open_writes.remove(number)
            writer.on_answer(message.target, body, answer)
            self._note_active()

    # --- oracle --------------------------------------------------------------------------

    def check_recovered(self, log):
        last = max(self.committed, default=0)
        assert log.last_index >= last, "a committed record is lost"
        self._agree(log)

    def _agree(self, log):
        for index, chain in self.committed.items():
            assert log.chain_at(index) in (None, chain), "a committed record was replaced"

    def _learn_commits(self, node):
        if node.writer is not None and node.replica.accepted == node.writer.epoch:
            self._commit_oracle(node.replica.log, node.writer.committed_index)

    def _commit_oracle(self, log, index):
        for position in range(1, index + 1):
            chain = log.chain_at(position)
            if chain is not None:
                assert self.committed.setdefault(position, chain) == chain, "conflicting commits"
        self._note_active()
        for other in self.nodes.values():
            writer = other.writer
            newest = writer is not None and writer.epoch == self.highest_active
            if newest and other.replica.accepted == writer.epoch:
                self._agree(other.replica.log)

    def _note_active(self):
        """Remember the highest epoch that ever was active: its owner holds every commit."""
        for node in self.nodes.values():
            if node.writer is not None and node.writer.active:
                self.highest_active = max(self.highest_active, node.writer.epoch)
            self.highest_active = max(self.highest_active, node.table_epoch or 0)
