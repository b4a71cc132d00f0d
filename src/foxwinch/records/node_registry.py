"""The nodes that take notices from other nodes, registered in the shared store by name.

The registry also tells which nodes know all sends that they were told of. A node that has started
again does not, until it has taken them over from other nodes. The first nodes do: a row in the
store tells whether any send was made before a node was registered.
"""

from math import isfinite
from typing import NamedTuple

from google.protobuf.message import DecodeError

from foxwinch._generated.crashes_pb2 import NodeMessage
from foxwinch.clock import Clock
from foxwinch.core.records.witness_ring import Peer, WitnessRing
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.ports import (
    ABSENT_VERSION,
    Conflict,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    StoredRow,
    Written,
)
from foxwinch.records.retry import CALL_TIMEOUT_SECONDS
from foxwinch.records.store_state import ObservedStore
from foxwinch.records.watch import TableWatch

NODES_TABLE = "nodes"
OPENED_KEY = "/opened"
"""Key of the row that is written before the first send of the system. No node has this name."""
WATCH_SECONDS = 25.0
"""Time for which the store holds a watch call; an old address costs only a lost datagram."""
REFRESH_SECONDS = 300.0
"""Interval at which a node rewrites its row."""
EXPIRY_MS = 1_000_000
"""Age from which the row of a node that has ended is removed by another one."""
MAX_REMOVALS = 50
"""Maximum number of rows that one transaction removes."""
CLOCK_POLL_SECONDS = 0.05
"""Interval at which a starting node checks whether the store's clock is known."""
REGISTER_RETRY_SECONDS = 1.0
MEMORY_MS = 60_000
"""Time for which witnesses keep sends. A node that has run for longer knows all that it was told,
as it was told nothing older that is still kept."""
MAX_PORT = 65_535
UNREGISTER_SECONDS = 0.3
"""Timeout of the last write of the row during a shutdown."""
log = EventLog("nodes")


class _Node(NamedTuple):
    peer: Peer
    refreshed_ms: int
    """Time of the last refresh on the store's clock."""
    is_stopped: bool


class NodeRegistry:
    """Registers this node and lists the others."""

    def __init__(
        self, store: ObservedStore, clock: Clock, name: str, zone: str = "", run: int = 0
    ) -> None:
        """List the nodes in `store`.

        `name` is unique to this node and outlives its process, which `run` identifies.
        """
        self._store = store
        self._clock = clock
        self._name = name
        self._zone = zone
        self._run = run
        self._address = ""
        self._nodes: dict[str, _Node] = {}
        self._by_address: dict[str, _Node] = {}
        self._ring = WitnessRing({})
        self._is_opened = False
        self._is_registered = False
        self._registered_version = ABSENT_VERSION
        self._may_be_first = True
        """Whether no send was made before this node was registered, as far as is known."""
        self._started_ms = 0
        """Start of this node on the store's clock."""
        self._remembers = False
        self.watch = TableWatch(store, clock, NODES_TABLE, self._on_rows, WATCH_SECONDS)

    @property
    def others(self) -> list[str]:
        """Return the addresses of the other nodes that have not stopped (`ip:port`)."""
        return [
            node.peer.address
            for name, node in self._nodes.items()
            if name != self._name and not node.is_stopped
        ]

    @property
    def address(self) -> str:
        """Return the address of this node; empty before `run`."""
        return self._address

    @property
    def is_registered(self) -> bool:
        """Whether other nodes may know this one."""
        return self._is_registered

    @property
    def registered_version(self) -> int:
        """Return a version of the store that has this node's row."""
        return self._registered_version

    @property
    def remembers(self) -> bool:
        """Whether this node knows all sends that its name was told of in the last `MEMORY_MS`."""
        if not self._is_registered or self._remembers:
            return self._is_registered
        now_ms = self._store.store_clock.earliest_ms(self._clock.monotonic())
        return now_ms >= self._started_ms + MEMORY_MS

    def set_remembering(self) -> None:
        """Note that this node has taken over what it was told before it started."""
        self._remembers = True

    def is_own(self, address: str) -> bool:
        """Return whether an address is that of this node."""
        return address == self._address

    def is_stopped(self, address: str) -> bool:
        """Return whether the node at an address has stopped in order."""
        node = self._by_address.get(address)
        return node is not None and node.is_stopped

    def witnesses(self, fingerprint: str) -> list[str]:
        """Return the addresses of the witnesses of a request, this node's among them."""
        return [self._nodes[name].peer.address for name in self._ring.choose(fingerprint)]

    def partners(self) -> list[str]:
        """Return the addresses of the nodes that are witnesses of some request beside this one."""
        return [self._nodes[name].peer.address for name in self._ring.partners(self._name)]

    async def open(self, timeout_seconds: float) -> bool:
        """Note that sends are made from now on; return whether that is stored and the nodes known.

        No node that is registered later is taken for one of the first.
        """
        if not self._is_opened:
            value = NodeMessage().SerializeToString()
            writes = (RowWrite(_row_key(OPENED_KEY), value),)
            outcome = await self._store.transact((), writes, timeout_seconds)
            if isinstance(outcome, Refused) or not await self.watch.confirm():
                return False
        return self._is_opened

    async def run(self, address: str) -> None:
        """Keep this node registered with `address` until cancelled."""
        clock = self._store.store_clock
        self._address = address
        while not clock.is_known or not isfinite(self.watch.age_seconds()):
            await self._clock.sleep(CLOCK_POLL_SECONDS)
        self._started_ms = clock.earliest_ms(self._clock.monotonic())
        while True:
            now_ms = clock.earliest_ms(self._clock.monotonic())
            writes = [RowWrite(_row_key(self._name), self._encode(now_ms))]
            writes += [RowWrite(_row_key(name), None) for name in self._expired(now_ms)]
            conditions = self._first_conditions()
            outcome = await self._store.transact(conditions, tuple(writes), CALL_TIMEOUT_SECONDS)
            if isinstance(outcome, Conflict):
                self._on_conflict(outcome.rows)
                continue
            is_written = not isinstance(outcome, Refused)
            if isinstance(outcome, Written):
                self._note_registered(outcome.version)
            await self._clock.sleep(REFRESH_SECONDS if is_written else REGISTER_RETRY_SECONDS)

    def _first_conditions(self) -> tuple[RowCondition, ...]:
        """Return what holds for a node that is registered before any send."""
        if not self._may_be_first or self._is_registered:
            return ()
        return tuple(
            RowCondition(_row_key(key), ABSENT_VERSION) for key in (self._name, OPENED_KEY)
        )

    def _on_conflict(self, rows: tuple[StoredRow, ...]) -> None:
        """Note that this node is not among the first, unless its row is of a lost response."""
        for row in rows:
            if row.row.key == self._name and self._is_of_this_run(row.value):
                self._note_registered(row.version)
                return
        self._may_be_first = False

    def _is_of_this_run(self, value: bytes | None) -> bool:
        if value is None:
            return False
        try:
            return NodeMessage.FromString(value).run == self._run
        except DecodeError:
            return False

    def _note_registered(self, version: int) -> None:
        if not self._is_registered:
            self._is_registered, self._remembers = True, self._may_be_first
            self._registered_version = version
            log.info("node_registered", name=self._name, first=self._may_be_first)

    async def unregister(self) -> None:
        """Tell the other nodes that this one has ended; it stays a witness."""
        if not self._is_registered:
            return
        now_ms = self._store.store_clock.earliest_ms(self._clock.monotonic())
        writes = (RowWrite(_row_key(self._name), self._encode(now_ms, is_stopped=True)),)
        outcome = await self._store.transact((), writes, UNREGISTER_SECONDS)
        if isinstance(outcome, Refused):
            log.info("node_not_unregistered", name=self._name, detail=outcome.detail)

    def _encode(self, now_ms: int, is_stopped: bool = False) -> bytes:
        return NodeMessage(
            refreshed_ms=now_ms,
            address=self._address,
            zone=self._zone,
            run=self._run,
            stopped=is_stopped,
        ).SerializeToString()

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
            if name == OPENED_KEY:
                self._is_opened = row.value is not None
                continue
            self._nodes.pop(name, None)
            if row.value is None:
                continue
            try:
                message = NodeMessage.FromString(row.value)
            except DecodeError as error:
                log.warning("node_row_malformed", name=name, detail=str(error))
                continue
            if not _is_address(message.address):
                log.warning("node_row_malformed", name=name, detail="no ip:port")
                continue
            if name == self._name and message.run == self._run:
                self._note_registered(row.version)
            peer = Peer(message.address, message.zone)
            self._nodes[name] = _Node(peer, message.refreshed_ms, message.stopped)
        by_age = sorted(self._nodes.values(), key=lambda node: node.refreshed_ms)
        self._by_address = {node.peer.address: node for node in by_age}
        self._ring = WitnessRing({name: node.peer for name, node in self._nodes.items()})
        log.info("nodes_listed", count=len(self._nodes), full=is_full)


def _is_address(address: str) -> bool:
    """Return whether datagrams can be sent to an address."""
    host, _, port = address.rpartition(":")
    is_numeric = address.isascii() and port.isdigit()
    return bool(host) and is_numeric and int(port) <= MAX_PORT


def _row_key(name: str) -> RowKey:
    return RowKey(NODES_TABLE, "", name)
