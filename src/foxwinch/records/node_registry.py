"""The nodes that take notices from other nodes, registered in the shared store by name."""

from math import isfinite
from typing import NamedTuple

from google.protobuf.message import DecodeError

from foxwinch._generated.crashes_pb2 import NodeMessage
from foxwinch.clock import Clock
from foxwinch.core.records.witness_ring import WITNESS_ZONES, Peer, WitnessRing
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.ports import RowKey, RowsRead, RowWrite
from foxwinch.records.retry import CALL_TIMEOUT_SECONDS
from foxwinch.records.store_state import ObservedStore
from foxwinch.records.watch import TableWatch

NODES_TABLE = "nodes"
WATCH_SECONDS = 25.0
"""Time for which the store holds a watch call; an old address costs only a lost datagram."""
REFRESH_SECONDS = 300.0
"""Interval at which a node rewrites its row."""
EXPIRY_MS = 1_000_000
"""Age from which the row of a node that ended without removing it is removed by another one."""
MAX_REMOVALS = 50
"""Maximum number of rows that one transaction removes."""
CLOCK_POLL_SECONDS = 0.05
"""Interval at which a starting node checks whether the store's clock is known."""
REGISTER_RETRY_SECONDS = 1.0
MEMORY_MS = 60_000
"""Time after its start from which on a node remembers: that for which witnesses keep sends."""
SIMULTANEOUS_MS = 10_000
"""Time within which all nodes start when the system first starts."""
UNREGISTER_SECONDS = 0.3
"""Timeout of the removal of the row during a shutdown."""
log = EventLog("nodes")


class _Node(NamedTuple):
    peer: Peer
    refreshed_ms: int
    """Time of the last refresh on the store's clock."""


class NodeRegistry:
    """Registers this node and lists the others."""

    def __init__(self, store: ObservedStore, clock: Clock, name: str, zone: str = "") -> None:
        """List the nodes in `store`; `name` is unique to this node and outlives its process."""
        self._store = store
        self._clock = clock
        self._name = name
        self._zone = zone
        self._nodes: dict[str, _Node] = {}
        self._ring = WitnessRing({})
        self._is_registered = False
        self._started_ms: int | None = None
        """Start of this node on the store's clock; 0 among the first nodes, None if not known."""
        self.watch = TableWatch(store, clock, NODES_TABLE, self._on_rows, WATCH_SECONDS)

    @property
    def others(self) -> list[str]:
        """Return the addresses of the other nodes (`ip:port`)."""
        return [node.peer.address for name, node in self._nodes.items() if name != self._name]

    def witnesses(self, fingerprint: str) -> list[str]:
        """Return the addresses of the witnesses of a request that this node sends."""
        return self._ring.choose(fingerprint, self._name)

    @property
    def remembers(self) -> bool:
        """Whether this node knows what nodes were told in the last `MEMORY_MS`.

        When the system first starts, there is nothing that its nodes could have been told.
        """
        if self._started_ms is None:
            return False
        now_ms = self._store.store_clock.earliest_ms(self._clock.monotonic())
        return not self._started_ms or now_ms >= self._started_ms + MEMORY_MS

    def first_witnesses(self, fingerprint: str) -> list[str]:
        """Return the addresses of the nodes that all senders of a request tell, but for itself."""
        return self._ring.choose(fingerprint, "")[:WITNESS_ZONES]

    def is_first_witness(self, fingerprint: str) -> bool:
        """Return whether all senders of a request tell this node, but for itself."""
        own = self._nodes.get(self._name)
        return own is not None and own.peer.address in self.first_witnesses(fingerprint)

    def _is_among_first(self, now_ms: int) -> bool:
        """Return whether no node has been registered before this start of the system."""
        return all(
            name != self._name and now_ms <= node.refreshed_ms + SIMULTANEOUS_MS
            for name, node in self._nodes.items()
        )

    async def run(self, address: str) -> None:
        """Keep this node registered with `address` until cancelled."""
        clock = self._store.store_clock
        while not clock.is_known or not isfinite(self.watch.age_seconds()):
            await self._clock.sleep(CLOCK_POLL_SECONDS)
        now_ms = clock.earliest_ms(self._clock.monotonic())
        self._started_ms = 0 if self._is_among_first(now_ms) else now_ms
        while True:
            now_ms = clock.earliest_ms(self._clock.monotonic())
            value = NodeMessage(
                refreshed_ms=now_ms, address=address, zone=self._zone
            ).SerializeToString()
            writes = [RowWrite(_row_key(self._name), value)]
            writes += [RowWrite(_row_key(name), None) for name in self._expired(now_ms)]
            outcome = await self._store.transact((), tuple(writes), CALL_TIMEOUT_SECONDS)
            is_refused = isinstance(outcome, Refused)
            self._is_registered = self._is_registered or not is_refused
            await self._clock.sleep(REGISTER_RETRY_SECONDS if is_refused else REFRESH_SECONDS)

    async def unregister(self) -> None:
        """Remove this node's row before it ends; a row that stays is harmless."""
        if not self._is_registered:
            return
        writes = (RowWrite(_row_key(self._name), None),)
        outcome = await self._store.transact((), writes, UNREGISTER_SECONDS)
        if isinstance(outcome, Refused):
            log.info("node_not_unregistered", name=self._name, detail=outcome.detail)

    def _expired(self, now_ms: int) -> list[str]:
        expired = [
            name
            for name, node in self._nodes.items()
            if name != self._name and now_ms > node.refreshed_ms + EXPIRY_MS
        ]
        return expired[:MAX_REMOVALS]

    def _on_rows(self, read: RowsRead, is_full: bool) -> None:
        if is_full:
            self._nodes.clear()
        for row in read.rows:
            name = row.row.key
            self._nodes.pop(name, None)
            if row.value is None:
                continue
            try:
                message = NodeMessage.FromString(row.value)
            except DecodeError as error:
                log.warning("node_row_malformed", name=name, detail=str(error))
                continue
            peer = Peer(message.address, message.zone)
            self._nodes[name] = _Node(peer, message.refreshed_ms)
        self._ring = WitnessRing({name: node.peer for name, node in self._nodes.items()})
        log.info("nodes_listed", count=len(self._nodes), full=is_full)


def _row_key(name: str) -> RowKey:
    return RowKey(NODES_TABLE, "", name)
