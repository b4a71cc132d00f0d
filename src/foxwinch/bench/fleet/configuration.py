"""The configuration at a hollow node: the real replica, poller choice and messages.

The order of steps is that of `foxwinch.node.configuration_service`, on the simulator's time.
"""

import random

from google.protobuf.message import DecodeError

from foxwinch._generated.configuration_pb2 import (
    ConfigurationChange,
    FetchConfigurationRequest,
    FetchConfigurationResponse,
)
from foxwinch.bench.fleet.node import HollowNode
from foxwinch.bench.fleet.table import TableModel
from foxwinch.core.configuration.change import Change, decode
from foxwinch.core.configuration.document import Unreadable
from foxwinch.core.configuration.pollers import Candidate, is_poller
from foxwinch.core.configuration.replica import ConfigurationReplica
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import MemberState
from foxwinch.identifiers import Revision
from foxwinch.node.configuration_messages import GOSSIP_SLOTS, ChangeEncoder, gossip_entry
from foxwinch.node.configuration_service import POLL_SECONDS

FETCH_PAUSE_SECONDS = 0.1


class HollowConfiguration:
    """Keeps one node's configuration up to date."""

    def __init__(self, node: HollowNode, table: TableModel, seed: int) -> None:
        """Start without a configuration."""
        self.node = node
        self.replica = ConfigurationReplica()
        self.held_at_seconds: dict[int, float] = {}
        self._table = table
        self._random = random.Random(seed)
        self._encoder = ChangeEncoder()
        self._fetching = False
        self._attempts = 0
        node.on_entry.append(self._gossiped)
        node.simulator.after(0.5 * self._random.random(), self._poll)

    def accept(self, change: Change) -> None:
        """Take a change that an operator made at this node."""
        self.replica.hear(change.revision, authority=True)
        self._receive(change)

    def _poll(self) -> None:
        node = self.node
        if not node.running:
            return
        wait = POLL_SECONDS * (0.5 + 0.5 * self._random.random())
        node.simulator.after(wait, self._poll)
        if node.paused or not node.timed(self._should_poll):
            return
        self._table.operate(lambda: self._table.revision, self._polled)

    def _should_poll(self) -> bool:
        if not self.replica.is_started or self.replica.held is None:
            return True
        alive = (
            Candidate(m.node, m.zone)
            for m in self.node.engine.members()
            if m.state is MemberState.ALIVE
        )
        this = self.node.engine.this_member()
        return is_poller(Candidate(this.node, this.zone), alive)

    def _polled(self, revision: int | None) -> None:
        if revision is None:
            if not self.replica.is_started:
                self._fetch_soon()
            return
        self.replica.hear(Revision(revision), authority=True)
        if not self.replica.is_behind:
            return
        if self.replica.held is None:
            self._fetch_soon()
            return
        held = self.replica.held_revision
        self._table.operate(lambda: self._table.changes[held:], self._loaded)

    def _loaded(self, changes: list[Change] | None) -> None:
        for change in changes or ():
            self._receive(change)

    def _gossiped(self, entry: GossipEntry) -> None:
        if entry.kind is not GossipKind.CONFIGURATION:
            return
        self.node.timed(lambda: self._read(entry))

    def _read(self, entry: GossipEntry) -> None:
        try:
            message = ConfigurationChange.FromString(entry.payload)
        except DecodeError:
            return
        self.replica.hear(Revision(message.revision))
        if message.body:
            self._receive_message(message)
        if self.replica.is_behind:
            self._fetch_soon()

    def _fetch_soon(self) -> None:
        if self._fetching:
            return
        self._fetching = True
        self.node.simulator.after(FETCH_PAUSE_SECONDS * self._random.random(), self._fetch)

    def _fetch(self) -> None:
        self._fetching = False
        node = self.node
        others = [m for m in node.engine.members() if m.is_present and m.node != node.node]
        known = self.replica.is_started and not self.replica.is_behind
        if not node.running or known:
            return
        self._attempts += 1
        if self._attempts % 2 == 0 or not others:
            held = self.replica.held_revision
            self._table.operate(lambda: self._table.changes[held:], self._fetched_from_table)
            return
        target = self._random.choice(others).address
        request = FetchConfigurationRequest(held_revision=self.replica.held_revision)
        node.request(target, "configuration", request.SerializeToString(), self._fetched)

    def _fetched_from_table(self, changes: list[Change] | None) -> None:
        self._loaded(changes)
        if self.replica.is_behind:
            self._fetch_soon()

    def serve(self, payload: bytes) -> bytes:
        """Answer a fellow node's fetch."""
        request = FetchConfigurationRequest.FromString(payload)
        self.replica.hear(Revision(request.held_revision))
        changes = self.replica.changes_after(Revision(request.held_revision))
        return FetchConfigurationResponse(
            heard_revision=self.replica.heard_revision,
            changes=[self._encoder.encode(change) for change in changes],
        ).SerializeToString()

    def _fetched(self, answer: bytes | None) -> None:
        if answer is not None:
            response = FetchConfigurationResponse.FromString(answer)
            self.replica.hear(Revision(response.heard_revision), authority=not self._table.is_up)
            for message in response.changes:
                self._receive_message(message)
        if self.replica.is_behind:
            self._fetch_soon()

    def _receive_message(self, message: ConfigurationChange) -> None:
        change = decode(message)
        assert not isinstance(change, Unreadable), change
        self._receive(change)

    def _receive(self, change: Change) -> None:
        before = self.replica.held_revision
        problem = self.replica.receive(change)
        assert problem is None, problem
        after = self.replica.held_revision
        for revision in range(before + 1, after + 1):
            self.held_at_seconds[revision] = self.node.simulator.now
        if after > before:
            for newer in self.replica.changes_after(before)[-GOSSIP_SLOTS:]:
                self.node.publish(gossip_entry(newer))
