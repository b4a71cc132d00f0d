"""The nodes that take notices from other nodes, registered in the shared store by address."""

from google.protobuf.message import DecodeError

from foxwinch._generated.crashes_pb2 import NodeMessage
from foxwinch.clock import Clock
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
REGISTER_RETRY_SECONDS = 1.0
UNREGISTER_SECONDS = 0.3
"""Timeout of the removal of the row during a shutdown."""
log = EventLog("nodes")


class NodeRegistry:
    """Registers this node and lists the others."""

    def __init__(self, store: ObservedStore, clock: Clock) -> None:
        """List the nodes in `store`."""
        self._store = store
        self._clock = clock
        self._refreshed_ms: dict[str, int] = {}
        """Time of the last refresh by address, on the store's clock."""
        self._address: str | None = None
        self.watch = TableWatch(store, clock, NODES_TABLE, self._on_rows, WATCH_SECONDS)

    @property
    def others(self) -> list[str]:
        """Return the addresses of the other nodes (`ip:port`)."""
        return [address for address in self._refreshed_ms if address != self._address]

    async def run(self, address: str) -> None:
        """Keep this node registered under `address` until cancelled."""
        self._address = address
        while True:
            clock = self._store.store_clock
            now_ms = clock.earliest_ms(self._clock.monotonic()) if clock.is_known else 0
            writes = [RowWrite(_row_key(address), _encode(now_ms))]
            writes += [RowWrite(_row_key(each), None) for each in self._expired(now_ms)]
            outcome = await self._store.transact((), tuple(writes), CALL_TIMEOUT_SECONDS)
            is_refused = isinstance(outcome, Refused)
            await self._clock.sleep(REGISTER_RETRY_SECONDS if is_refused else REFRESH_SECONDS)

    async def unregister(self) -> None:
        """Remove this node's row before it ends; an old row is harmless."""
        if self._address is None:
            return
        writes = (RowWrite(_row_key(self._address), None),)
        outcome = await self._store.transact((), writes, UNREGISTER_SECONDS)
        if isinstance(outcome, Refused):
            log.info("node_not_unregistered", address=self._address, detail=outcome.detail)

    def _expired(self, now_ms: int) -> list[str]:
        return [
            address
            for address, refreshed_ms in self._refreshed_ms.items()
            if address != self._address and now_ms > refreshed_ms + EXPIRY_MS
        ]

    def _on_rows(self, read: RowsRead, is_full: bool) -> None:
        if is_full:
            self._refreshed_ms.clear()
        for row in read.rows:
            address = row.row.key
            if row.value is None:
                self._refreshed_ms.pop(address, None)
                continue
            try:
                self._refreshed_ms[address] = NodeMessage.FromString(row.value).refreshed_ms
            except DecodeError as error:
                log.warning("node_row_malformed", address=address, detail=str(error))
        log.info("nodes_listed", count=len(self._refreshed_ms), full=is_full)


def _row_key(address: str) -> RowKey:
    return RowKey(NODES_TABLE, "", address)


def _encode(refreshed_ms: int) -> bytes:
    return NodeMessage(refreshed_ms=refreshed_ms).SerializeToString()
