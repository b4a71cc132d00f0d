"""Builds datagrams with their required fields and piggybacked updates within the byte budget."""

from collections.abc import Sequence

from foxwinch._generated.membership_pb2 import GossipDatagram
from foxwinch.core.limits.token_bucket import TokenBucket
from foxwinch.core.membership.actions import SendDatagram
from foxwinch.core.membership.entry import GossipKind
from foxwinch.core.membership.outbox import Outbox
from foxwinch.core.membership.parameters import MAX_DATAGRAM_BYTES, UDP_HEADER_BYTES
from foxwinch.core.membership.state import GossipState
from foxwinch.core.membership.wire import sender_field
from foxwinch.identifiers import PeerAddress

ALL_RANKS = max(GossipKind)
URGENT_RANK = int(GossipKind.CONFIGURATION)
"""Updates up to this rank may overdraw the budget, because the probes that detect a dead node
must not delay the update that reports it."""
MIN_UPDATE_BYTES = 300
"""Minimum balance at which a datagram is sent for updates alone."""


class DatagramSender:
    """Sends all datagrams of a node and charges every byte to one token bucket.

    Probes and responses may overdraw the bucket, since only few are due at a time, and urgent
    updates may overdraw it by half as much. Other updates and repairs wait for a balance.
    """

    def __init__(self, state: GossipState, now: float) -> None:
        self._state = state
        parameters = state.parameters
        self._overdraft = parameters.budget_overdraft_bytes / 2
        self._bucket = TokenBucket.full(
            parameters.budget_bytes_per_second, parameters.budget_burst_bytes, now
        )

    def has_burst_balance(self, now: float) -> bool:
        """Return whether more than half of the burst budget is available."""
        return self._bucket.available(now) > self._state.parameters.budget_burst_bytes / 2

    def may_send_updates(self, outbox: Outbox, now: float) -> bool:
        """Return whether a queued update may be sent now."""
        balance = self._bucket.available(now)
        if balance >= MIN_UPDATE_BYTES:
            return len(outbox) > 0
        return balance >= MIN_UPDATE_BYTES - self._overdraft and outbox.has_urgent(URGENT_RANK)

    def has_balance(self, now: float) -> bool:
        """Return whether the balance allows updates and repairs of any rank."""
        return self._bucket.available(now) >= MIN_UPDATE_BYTES

    def send(
        self,
        address: PeerAddress,
        body: GossipDatagram,
        now: float,
        fields: Sequence[bytes] = (),
        outbox: Outbox | None = None,
    ) -> None:
        """Send `body` with as many of `fields`, then of the queued updates, as fit."""
        counters = self._state.counters
        balance = self._bucket.available(now)
        if balance <= -self._state.parameters.budget_overdraft_bytes:
            counters.over_budget += 1
            return
        parts = [sender_field(self._state.table.this), body.SerializeToString()]
        size = sum(map(len, parts))
        for field in fields:
            if size + len(field) <= MAX_DATAGRAM_BYTES:
                parts.append(field)
                size += len(field)
        if outbox is not None:
            taken = self._take_updates(
                outbox, MAX_DATAGRAM_BYTES - size, balance - size - UDP_HEADER_BYTES
            )
            parts += taken
            size += sum(map(len, taken))
        self._bucket.charge(size + UDP_HEADER_BYTES, now)
        counters.datagrams_sent += 1
        counters.bytes_sent += size + UDP_HEADER_BYTES
        self._state.actions.append(SendDatagram(address, b"".join(parts)))

    def _take_updates(self, outbox: Outbox, room: float, balance: float) -> list[bytes]:
        """Return updates for a datagram: any rank within the balance, urgent ones beyond it."""
        if balance > 0:
            return outbox.take(min(room, balance), ALL_RANKS)
        return outbox.take(min(room, balance + self._overdraft), URGENT_RANK)

    def send_fields(
        self, address: PeerAddress, fields: Sequence[bytes], datagrams: int, now: float
    ) -> None:
        """Send fields in at most `datagrams` datagrams, each only while there is a balance."""
        head = len(sender_field(self._state.table.this))
        pending = list(fields)
        for _ in range(datagrams):
            if not pending or not self.has_balance(now):
                return
            size, count = head, 0
            while count < len(pending) and size + len(pending[count]) <= MAX_DATAGRAM_BYTES:
                size += len(pending[count])
                count += 1
            self.send(address, GossipDatagram(), now, pending[:count])
            del pending[: max(1, count)]
